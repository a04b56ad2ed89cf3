package main

import "time"

// askReady asks each node once a second whether it is ready, as the platform does, until ended is closed.
func (s *site) askReady(ended chan struct{}) {
	for {
		for _, m := range s.machines {
			go func() {
				ok := m.ready()
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.misses++; ok {
					m.misses = 0
				}
				if m.misses == 2 {
					s.rec.say("%s: two misses, the platform takes the node out", m.name)
				}
			}()
		}
		select {
		case <-time.After(time.Second):
		case <-ended:
			return
		}
	}
}

// isIn reports whether the platform counts the node as in.
func (m *machine) isIn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.misses < 2
}

// mayStart reports whether clients on the machine get new work: its node is in, or fewer than half of its zone's nodes are.
func (s *site) mayStart(m *machine) bool {
	in, all := 0, 0
	for _, o := range s.machines {
		if o.zone == m.zone {
			all++
			if o.isIn() {
				in++
			}
		}
	}
	return m.isIn() || 2*in < all
}
