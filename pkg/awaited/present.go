package awaited

import "sync"

// InProgress is the requests that are in progress here. Its zero value is empty; it is safe for concurrent use.
type InProgress struct {
	mu  sync.Mutex
	ids map[string]int // how many have the id
}

// Start notes a request; the function that it returns notes its end.
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

// Missing returns those that aren't in progress here.
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
