package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// foreignPing: a ping that lacks born comes from another writer, and later the backend drains.
func foreignPing(s *site, trouble bool) (int, error) {
	s.region, s.bounds = "gulf", smallBounds
	s.add("gulf-a", "huvo11a")
	s.add("gulf-a", "wuno96b")
	s.add("gulf-b", "wuno96b")
	route := routeSpec{"r", "h.example", "/x/", "safe", "wuno96b", "800ms", 2}
	s.store.put("op", "config", stateDocument(7, []string{"huvo11a", "wuno96b"}, nil, route))
	if err := s.startAll(); err != nil {
		return failed, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, m := range s.machines {
		wg.Go(func() {
			c := newClient(m)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				c.do("GET", "h.example", "/x/2f", fmt.Sprintf("%x-%d", i, k), 5*time.Second)
			}
		})
	}
	time.Sleep(4 * time.Second)
	m := s.machines[1]
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"address": m.at("app"),
			"info":    map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": 64},
			"status":  map[string]any{"state": "ready", "callSeq": 100000, "coldLeft": "0ms"},
		})
		req, _ := http.NewRequest(http.MethodPut, "http://"+m.at("control")+"/rockspoke/instances/"+m.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		res, err := beatClient.Do(req)
		if err != nil {
			return failed, err
		}
		s.rec.say("TROUBLE: a ping that lacks born: %d", res.StatusCode)
	}
	time.Sleep(2 * time.Second)
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	ok := m.ping()
	acked := time.Now()
	s.rec.say("draining, confirmed %v", ok)
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	late := 0
	for _, r := range s.allRuns() {
		if r.server == m.name && r.at.After(acked.Add(2*time.Second)) {
			late++
		}
	}
	s.rec.say("%d requests reached it more than drain after the confirmation", late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
