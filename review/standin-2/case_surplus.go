package main

import (
	"fmt"
	"net/http"
	"time"
)

// shedAnswer is the answer of a server that sheds, in the form in which `fleetbench wire` shows it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nRockspoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// surplusRefusal: one of two servers of a service sends a surplus answer behind 3 in 100 of its answers for 5 s, late, in the place where
// the next one is due. The surplus answer belongs to no request. No request that isn't idempotent may run twice.
func surplusRefusal(s *site, trouble bool) (verdict, error) {
	front := s.add("front", "zone-a", 100, 10*time.Millisecond)
	faulty := s.add("orders", "zone-a", 100, 20*time.Millisecond)
	s.add("orders", "zone-a", 100, 20*time.Millisecond)
	s.configure(1, []route{{name: "r-orders", host: "orders.example", prefix: "/orders/", kind: "unsafe", service: "orders", timeout: "1000ms"}})
	if err := s.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second) // traffic starts some seconds after the machines do
	var clients []*client
	for range 10 {
		clients = append(clients, front.newClient())
	}
	l := startLoad(clients, 50*time.Millisecond, func(c *client) sent {
		return c.send(http.MethodPost, "orders.example", "/orders/new", "", 5*time.Second)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.add("trouble", "3 in 100 answers of", faulty.app.name, "are followed by a surplus one")
		faulty.app.mu.Lock()
		faulty.app.surplus, faulty.app.surplusEvery = shedAnswer, 34
		faulty.app.mu.Unlock()
	}
	time.Sleep(5 * time.Second)
	faulty.app.mu.Lock()
	faulty.app.surplusEvery = 0
	faulty.app.mu.Unlock()
	time.Sleep(2 * time.Second)
	all := l.end()
	return judgeRuns(s, all, "")
}

// judgeRuns checks TWICE and REFUSED for requests that aren't idempotent.
func judgeRuns(s *site, all map[string]sent, more string) (verdict, error) {
	runs := map[string][]run{}
	for _, m := range s.machines {
		for _, r := range m.app.allRuns() {
			runs[r.attempt] = append(runs[r.attempt], r)
		}
	}
	twice, refused, served, unknown := 0, 0, 0, 0
	for id, x := range all {
		n := len(runs[id])
		if n > 1 {
			twice++
			s.rec.add("TWICE", id, "ran", n, "times, at", runs[id][0].backend, "and", runs[id][1].backend, "and was answered", x.status)
		}
		switch x.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if n > 0 {
				refused++
				s.rec.add("REFUSED", id, "was answered", x.status, "and ran", n, "times")
			}
		default:
			unknown++
		}
	}
	return verdict{
		broken: twice+refused > 0,
		text: fmt.Sprintf("%d requests sent, %d served, %d answered with neither success nor refusal; TWICE: %d ran twice; REFUSED: %d ran although refused%s",
			len(all), served, unknown, twice, refused, more),
	}, nil
}
