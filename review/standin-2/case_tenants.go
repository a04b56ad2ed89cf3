package main

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"time"
)

// The bounds of the sheet of vft-accra-now-grown.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

// quotaTwoOwners: a machine is cut off from all other machines of the system, while the store reaches it. Meanwhile its process is killed
// and starts again. Each of some tenants sends more than its limit at all machines.
func quotaTwoOwners(s *site, trouble bool) (verdict, error) {
	s.proxies = true
	s.mesh = []string{`quotaWindow: "5s"`, "quotaExcess: 0.1", "quotaSlack: 20", `zones: ["zone-a"]`}
	var all []*machine
	for range 4 {
		all = append(all, s.add("ledger", "zone-a", 100, 5*time.Millisecond))
	}
	const rate, burst, count = 20.0, 20.0, 16
	var tenants []tenant
	for i := range count {
		tenants = append(tenants, tenant{name: fmt.Sprintf("tenant-%02d", i), keys: []string{fmt.Sprintf("key-%02d-5f2a", i)}, rate: rate, burst: burst})
	}
	s.configure(1, []route{{name: "r-ledger", host: "ledger.example", prefix: "/lock/", kind: "unsafe", service: "ledger", timeout: "1000ms"}}, tenants...)
	if err := s.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	victim := all[0]
	var loads []*load
	for _, t := range tenants { // one and a half times its limit at the victim, and as much at the others together
		send := func(c *client) sent {
			return c.send(http.MethodPost, "ledger.example", "/lock/engine", t.keys[0], 5*time.Second)
		}
		loads = append(loads, startLoad([]*client{victim.newClient()}, 33*time.Millisecond, send),
			startLoad([]*client{all[1].newClient(), all[2].newClient(), all[3].newClient()}, 100*time.Millisecond, send))
	}
	time.Sleep(6 * time.Second)
	if trouble {
		victim.setCut(true)
	}
	time.Sleep(4 * time.Second)
	victim.kill()
	time.Sleep(500 * time.Millisecond)
	if err := victim.restart(); err != nil {
		return verdict{}, err
	}
	time.Sleep(7500 * time.Millisecond)
	victim.setCut(false) // 12 s after it began
	time.Sleep(4 * time.Second)
	attempts := map[string]sent{}
	for _, l := range loads {
		for id, x := range l.end() {
			attempts[id] = x
		}
	}
	return judgeQuota(s, attempts, rate, burst)
}

// judgeQuota checks QUOTA: in each window, the requests of a tenant that were both sent and arrived at a backend that ran them.
func judgeQuota(s *site, attempts map[string]sent, rate, burst float64) (verdict, error) {
	allowed := (rate*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	byTenant := map[string][]run{}
	foreign := 0
	for _, m := range s.machines {
		for _, r := range m.app.allRuns() {
			byTenant[r.tenant] = append(byTenant[r.tenant], r)
			if _, known := attempts[r.attempt]; !known {
				foreign++
			}
		}
	}
	if len(byTenant) < 2 {
		return verdict{}, errors.New("no tenant was served")
	}
	broken, most := 0, 0
	for name, runs := range byTenant {
		sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
		worst, from := 0, time.Time{}
		for i := range runs {
			start, n := attempts[runs[i].attempt].at, 0 // a window begins when a request was sent
			for _, r := range runs[i:] {
				if r.at.After(start.Add(quotaWindow)) {
					break
				}
				if !attempts[r.attempt].at.Before(start) {
					n++
				}
			}
			if n > worst {
				worst, from = n, start
			}
		}
		s.rec.add("quota", name, fmt.Sprintf("at most %d in 5 s, from %.2f s; allowed: %.0f", worst, since(from), allowed))
		if float64(worst) > allowed {
			broken++
			s.rec.add("QUOTA", name, "ran", worst, "requests in 5 s, more than", allowed)
		}
		most = max(most, worst)
	}
	return verdict{
		broken: broken > 0,
		text: fmt.Sprintf("%d requests sent; QUOTA: %d of %d tenants ran more than the %.0f requests that are allowed in 5 s, the most %d; ids that no client sent: %d",
			len(attempts), broken, len(byTenant), allowed, most, foreign),
	}, nil
}

func revokedInDrill(s *site, trouble bool) (verdict, error) { return verdict{}, errors.New("todo") }
