// Command review-standin-2 plays one case of the second review: a small deployment of real rockspoked processes on loopback, with a
// stand-in of the platform's store, of backends and of clients. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(s *site, trouble bool) (verdict, error){
	"surplus-refusal":  surplusRefusal,
	"crash-reset":      crashAfterReset,
	"left-in-outage":   leftInOutage,
	"left-behind-cut":  leftBehindCut,
	"left-restarting":  leftWhileRestarting,
	"quota-two-owners": quotaTwoOwners,
	"revoked-in-drill": revokedInDrill,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case", name, "with the disruption:", trouble)
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.stopAll()
	v, err := cases[name](s, trouble)
	if err != nil {
		rec.add("case", "couldn't run:", err)
		fmt.Println("couldn't run:", err)
		return 2
	}
	rec.add("verdict", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}

// load sends requests at an even rate from a set of clients until stop is closed.
type load struct {
	mu   sync.Mutex
	sent []sent
	wg   sync.WaitGroup
	stop chan struct{}
}

// startLoad has each client send one request every period.
func startLoad(clients []*client, period time.Duration, send func(c *client) sent) *load {
	l := &load{stop: make(chan struct{})}
	for i, c := range clients {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			time.Sleep(period * time.Duration(i) / time.Duration(len(clients)))
			t := time.NewTicker(period)
			defer t.Stop()
			for {
				select {
				case <-l.stop:
					return
				case <-t.C:
				}
				l.wg.Add(1)
				go func() {
					defer l.wg.Done()
					x := send(c)
					l.mu.Lock()
					l.sent = append(l.sent, x)
					l.mu.Unlock()
				}()
			}
		}()
	}
	return l
}

// end stops the load and returns all attempts by id.
func (l *load) end() map[string]sent {
	close(l.stop)
	l.wg.Wait()
	all := map[string]sent{}
	for _, x := range l.sent {
		all[x.id] = x
	}
	return all
}
