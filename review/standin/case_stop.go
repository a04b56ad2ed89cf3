package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopCutsRequests: a node is stopped by SIGTERM, as in planned work, while clients of its machine go on.
func stopCutsRequests(s *site, trouble bool) (int, error) {
	const grace = 6 * time.Second
	s.region, s.bounds = "lower-mainland", grownBounds
	s.add("surrey-yard", "huvo11a") // the only machine of its zone
	for _, zone := range []string{"delta-depot", "abby-office"} {
		for range 2 {
			m := s.add(zone, "wuno96b")
			m.work = func(*http.Request) time.Duration { return 2600 * time.Millisecond }
		}
	}
	route := routeSpec{"r-tip", "jepu9.example", "/puka111/", "unsafe", "wuno96b", "3000ms", 2}
	s.store.put("op", "config", stateDocument(7, []string{"huvo11a", "wuno96b"}, nil, route))
	if err := s.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	m := s.machines[0]
	var mu sync.Mutex
	var attempts []attempt
	var clients sync.WaitGroup
	send := func(id string) {
		clients.Go(func() {
			a := newClient(m).do(http.MethodPost, route.host, route.prefix+"2f", id, 6*time.Second)
			mu.Lock()
			attempts = append(attempts, a)
			mu.Unlock()
		})
	}
	for k := range 20 { // a calm time first
		send(fmt.Sprintf("calm%012x", k))
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	term := time.Now()
	if trouble {
		m.signal(syscall.SIGTERM)
	}
	ended := make(chan struct{})
	go s.askReady(ended)
	for k := range 36 {
		time.Sleep(time.Until(term.Add(time.Duration(k) * 100 * time.Millisecond)))
		if s.mayStart(m) {
			send(fmt.Sprintf("stop%012x", k))
		}
	}
	close(ended)
	time.Sleep(time.Until(term.Add(grace)))
	if trouble {
		m.signal(syscall.SIGKILL)
	}
	clients.Wait()
	ran := map[string]run{}
	for _, r := range s.allRuns() {
		ran[r.id] = r
	}
	lost, excused := 0, 0
	for _, a := range attempts {
		r, is := ran[a.id]
		if a.status != 0 || !is {
			continue
		}
		limit := a.ended.Sub(a.sent) >= 3*time.Second
		if limit {
			continue
		}
		after := a.sent.Sub(term)
		if after <= 3*time.Second && a.ended.After(term.Add(grace*5/6)) {
			excused++
			continue
		}
		lost++
		s.rec.say("BROKEN: %s was sent %.3f s after SIGTERM, began to run %.3f s after it at %s, and its connection ended without an answer at %.3f s", a.id,
			after.Seconds(), r.at.Sub(term).Seconds(), r.server, a.ended.Sub(term).Seconds())
	}
	s.rec.say("%d requests that had begun to run were cut; %d more were sent up to 3 s after SIGTERM and are not counted", lost, excused)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
