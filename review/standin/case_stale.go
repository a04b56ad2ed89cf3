package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// staleState: the open connections to the store on which a call waits go silent, and later a desired state moves, adds and drops routes.
func staleState(s *site, trouble bool) (int, error) {
	const contact, apply = 3 * time.Second, 2 * time.Second
	s.region, s.bounds = "gulf", smallBounds
	for _, zone := range []string{"gulf-a", "gulf-b"} {
		s.add(zone, "huvo11a")
		s.add(zone, "wuno96b")
	}
	services := []string{"huvo11a", "wuno96b"}
	moved := routeSpec{"r-moved", "hulo84.example", "/moved/", "safe", "huvo11a", "800ms", 2}
	dropped := routeSpec{"r-dropped", "hulo84.example", "/dropped/", "safe", "huvo11a", "800ms", 2}
	added := routeSpec{"r-added", "hulo84.example", "/added/", "safe", "huvo11a", "800ms", 2}
	s.store.put("op", "config", stateDocument(7, services, nil, moved, dropped))
	if err := s.startAll(); err != nil {
		return failed, err
	}
	s.rec.say("ready")
	var mu sync.Mutex
	var attempts []attempt
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range s.machines {
		clients.Go(func() {
			c := newClient(m)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				for _, path := range []string{"/moved/", "/dropped/", "/added/"} {
					a := c.do(http.MethodGet, "hulo84.example", path+"2f", fmt.Sprintf("%x-%s-%d", i+1, path[1:2], k), 6*time.Second)
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		silenced, open := s.proxy.silence()
		s.rec.say("TROUBLE: %d of %d open connections to the store, those on which a call waits, go silent for good; new ones work", silenced, open)
	}
	time.Sleep(contact + time.Second)
	moved.service = "wuno96b"
	s.store.put("op", "config", stateDocument(9, services, nil, moved, added))
	confirmed := time.Now()
	s.rec.say("desired state 9 confirmed: /moved/ goes from huvo11a to wuno96b, /added/ is there, /dropped/ is gone")
	time.Sleep(30 * time.Second)
	close(stop)
	clients.Wait()
	due := confirmed.Add(apply)
	byID := map[string]run{}
	for _, r := range s.allRuns() {
		byID[r.id] = r
	}
	stale, asked, last := map[string]int{}, 0, time.Time{}
	for _, a := range attempts {
		if !a.sent.After(due) {
			continue
		}
		asked++
		r, ran := byID[a.id]
		what := ""
		switch {
		case a.uri == "/moved/2f" && ran && r.service == "huvo11a":
			what = "run by the old service"
		case a.uri == "/dropped/2f" && ran:
			what = "run with a dropped route"
		case a.uri == "/added/2f" && a.status == http.StatusNotFound:
			what = "refused with 404 though the route is there"
		}
		if what != "" {
			stale[what]++
			last = a.sent
		}
	}
	s.rec.say("%d requests were sent more than apply after the confirmation", asked)
	for what, n := range stale {
		s.rec.say("BROKEN: %d %s", n, what)
	}
	if len(stale) > 0 {
		s.rec.say("the last of them was sent %.1f s after the confirmation", last.Sub(confirmed).Seconds())
		return broken, nil
	}
	return held, nil
}
