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

// revoke is the bound of the sheet.
const revoke = 5 * time.Second

// revokedInDrill: a key is taken away. Some seconds later the store goes away for a moment, all processes of the system are killed at the
// same moment and start again, and the store comes back from a copy that is older than the change. The operator writes it again.
func revokedInDrill(s *site, trouble bool) (verdict, error) {
	s.mesh = []string{"strictRevoke: true", `revoke: "5000ms"`}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		s.add("ledger", zone, 100, 10*time.Millisecond)
	}
	routes := []route{{name: "r-ledger", host: "ledger.example", prefix: "/lock/", kind: "unsafe", service: "ledger", timeout: "1000ms"}}
	const kept, taken = "key-kept-81c3", "key-taken-5f2a"
	s.configure(1, routes, tenant{name: "tenant-1", keys: []string{kept, taken}}, tenant{name: "tenant-2", keys: []string{"key-other-77"}})
	if err := s.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	var clients []*client
	for _, m := range s.machines {
		clients = append(clients, m.newClient())
	}
	send := func(key string) func(c *client) sent {
		return func(c *client) sent {
			return c.send(http.MethodPost, "ledger.example", "/lock/engine", key, 1200*time.Millisecond)
		}
	}
	good, bad := startLoad(clients, 50*time.Millisecond, send(kept)), startLoad(clients, 50*time.Millisecond, send(taken))
	time.Sleep(2 * time.Second)
	s.store.takeCopy()
	time.Sleep(500 * time.Millisecond)
	change := func(version int64) {
		s.configure(version, routes, tenant{name: "tenant-1", keys: []string{kept}}, tenant{name: "tenant-2", keys: []string{"key-other-77"}})
	}
	change(2)
	confirmed := time.Now()
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		s.store.goAway()
	}
	time.Sleep(300 * time.Millisecond)
	for _, m := range s.machines {
		m.kill()
	}
	time.Sleep(time.Second)
	for _, m := range s.machines {
		if err := m.restart(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		s.store.returnFromCopy()
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		change(2)
	}
	time.Sleep(4 * time.Second)
	served := 0
	for _, x := range good.end() {
		if x.status == http.StatusOK {
			served++
		}
	}
	attempts := bad.end()
	before, late, last := 0, 0, time.Duration(0)
	for _, m := range s.machines {
		for _, r := range m.app.allRuns() {
			x, known := attempts[r.attempt]
			if !known {
				continue
			}
			after := x.at.Sub(confirmed)
			if after <= revoke {
				before++
				continue
			}
			if late++; late <= 5 {
				s.rec.add("CONFIG", r.attempt, fmt.Sprintf("was sent %.2f s after its key was taken away, and ran at %s", after.Seconds(), r.backend))
			}
			last = max(last, after)
		}
	}
	if served == 0 || before == 0 {
		return verdict{}, errors.New("no request was served")
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("%d requests with the good key served; %d with the other one ran before it was taken away or within 5 s after; CONFIG: %d that were sent later ran, the last one %.2f s after",
			served, before, late, last.Seconds()),
	}, nil
}
