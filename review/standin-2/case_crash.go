package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// crashAfterReset: five of nine servers of a service lose two in five of their answers by a reset, in spells of 4 s. Meanwhile requests
// come that crash the server that begins to run them. No request that isn't idempotent may run twice.
func crashAfterReset(s *site, trouble bool) (verdict, error) {
	var fronts, desks []*machine
	for i := range 9 {
		zone := fmt.Sprintf("zone-%c", 'a'+i%3)
		if i < 3 {
			fronts = append(fronts, s.add("front", zone, 100, 10*time.Millisecond))
		}
		desks = append(desks, s.add("desk", zone, 60, 6*time.Millisecond))
	}
	s.configure(1, []route{{name: "r-desk", host: "desk.example", prefix: "/assign/", kind: "unsafe", service: "desk", timeout: "1000ms"}})
	var crashes atomic.Int64
	var spell atomic.Bool
	deadly := func(req *http.Request) bool { return strings.HasPrefix(req.URL.Path, "/assign/deadly-") }
	share := func(i int) float64 {
		if trouble && spell.Load() && i < 5 {
			return 0.4
		}
		return 0
	}
	var old []*backend
	back := make(chan func(), 1000)
	for i, m := range desks {
		m.app.deadly = deadly
		m.app.crashed = func() {
			crashes.Add(1)
			time.AfterFunc(2*time.Second, func() { back <- func() { old = append(old, m.app); m.startNext(); m.app.resetShare = share(i) } })
		}
	}
	if err := s.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	var clients []*client
	for i := range 18 {
		clients = append(clients, fronts[i%3].newClient())
	}
	l := startLoad(clients, 50*time.Millisecond, sendAssign)
	time.Sleep(2 * time.Second)
	deadlyLoad := map[string]sent{}
	results := make(chan sent, 1000)
	sentDeadly := 0
	setShare := func(on bool) {
		spell.Store(on)
		for i, m := range desks {
			m.app.mu.Lock()
			m.app.resetShare = share(i)
			m.app.mu.Unlock()
		}
	}
	for range 10 {
		setShare(true)
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
			sentDeadly++
			path := fmt.Sprintf("/assign/deadly-%d", rand.Uint32())
			c := clients[sentDeadly%len(clients)]
			go func() { results <- c.send(http.MethodPost, "desk.example", path, "", 1200*time.Millisecond) }()
			for wait := time.Now().Add(400 * time.Millisecond); time.Now().Before(wait); time.Sleep(10 * time.Millisecond) {
				select {
				case f := <-back:
					f()
				default:
				}
			}
		}
		setShare(false)
		for wait := time.Now().Add(4 * time.Second); time.Now().Before(wait); time.Sleep(10 * time.Millisecond) {
			select {
			case f := <-back:
				f()
			default:
			}
		}
	}
	for range sentDeadly {
		x := <-results
		deadlyLoad[x.id] = x
	}
	all := l.end()
	for id, x := range deadlyLoad {
		all[id] = x
	}
	for _, b := range old {
		b.mu.Lock()
		desks[0].app.runs = append(desks[0].app.runs, b.runs...)
		b.mu.Unlock()
	}
	return judgeRuns(s, all, fmt.Sprintf("; %d deadly requests, %d crashes", sentDeadly, crashes.Load()))
}
