package awaited

import "sync"

// InProgress is the set of requests in progress at this node. Its zero value is empty. It is safe for concurrent use.
type InProgress struct {
	mu  sync.Mutex
	ids map[string]int // number of requests by id
}

// Start adds a request; the function that it returns removes it.
func (p *InProgress) Start(id string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids == nil {
		p.ids = make(map[string]int)
	}
	p.ids[id]++
	return func() { p.end(id) }
}

func (p *InProgress) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids[id]--; p.ids[id] == 0 {
		delete(p.ids, id)
	}
}

// Missing returns the ids of which no request is in progress here.
func (p *InProgress) Missing(ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var missing []string
	for _, id := range ids {
		if p.ids[id] == 0 {
			missing = append(missing, id)
		}
	}
	return missing
}
