package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// drain and contact are the bounds of the sheet.
const (
	drain   = 2 * time.Second
	contact = 3 * time.Second
)

// judgeDrain checks DRAIN: requests that a client sent after the time from which the machines are in touch again, at machines in touch, and
// that reached the backend later than drain after its leaving was confirmed.
func judgeDrain(s *site, all map[string]sent, left *backend, confirmed, inTouch time.Time) (verdict, error) {
	late, lost := 0, 0
	for _, r := range left.allRuns() {
		x, known := all[r.attempt]
		if !known || r.at.Before(confirmed.Add(drain)) || x.at.Before(inTouch) {
			continue
		}
		if late++; late <= 5 {
			s.rec.add("DRAIN", r.attempt, fmt.Sprintf("reached %s %.2f s after its leaving was confirmed", left.name, r.at.Sub(confirmed).Seconds()))
		}
		if x.status != http.StatusOK {
			lost++
			s.rec.add("DRAIN", r.attempt, "ran there and was lost: its client got", x.status)
		}
	}
	served := 0
	for _, x := range all {
		if x.status == http.StatusOK {
			served++
		}
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("%d requests sent, %d served; DRAIN: %d requests sent at machines in touch reached a backend later than drain (2 s) after its leaving was confirmed, %d of them were lost as it ended",
			len(all), served, late, lost),
	}, nil
}

// leavingSite starts a deployment of three machines in three zones: one of a front service and two of a desk service.
func leavingSite(s *site) (leaver *machine, clients []*client, err error) {
	front := s.add("front", "zone-a", 100, 10*time.Millisecond)
	leaver = s.add("desk", "zone-b", 100, 60*time.Millisecond)
	s.add("desk", "zone-c", 100, 60*time.Millisecond)
	s.configure(1, []route{{name: "r-desk", host: "desk.example", prefix: "/assign/", kind: "unsafe", service: "desk", timeout: "1000ms"}})
	if err := s.startAll(); err != nil {
		return nil, nil, err
	}
	for range 6 {
		clients = append(clients, front.newClient())
	}
	return leaver, clients, nil
}

func sendAssign(c *client) sent {
	return c.send(http.MethodPost, "desk.example", "/assign/field", "", 1200*time.Millisecond)
}

// stay is how long the leaving backend goes on serving (scale_in, how = "stay", for_s = 15).
const stay = 15 * time.Second

// shortStay is the same with "drain plus a little more (sometimes many seconds)".
const shortStay = 7 * time.Second

// leftInOutage: a backend leaves by DELETE while the store is down; then all processes of the system are killed at the same moment and
// start again, and the store returns.
func leftInOutage(s *site, trouble bool) (verdict, error) {
	leaver, clients, err := leavingSite(s)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	l := startLoad(clients, 60*time.Millisecond, sendAssign)
	time.Sleep(2 * time.Second)
	if trouble {
		s.store.setDown(true)
	}
	time.Sleep(time.Second)
	ok := leaver.app.sayGone()
	confirmed := time.Now()
	s.rec.add(leaver.app.name, "DELETE confirmed:", ok)
	if !ok {
		l.end()
		return verdict{}, fmt.Errorf("the leaving was not confirmed")
	}
	time.AfterFunc(stay, leaver.app.end)
	time.Sleep(500 * time.Millisecond)
	for _, m := range s.machines {
		m.kill()
	}
	time.Sleep(time.Second) // herd_kill, for_s = 1.0
	for _, m := range s.machines {
		if err := m.restart(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		s.store.setDown(false) // 3.5 s after it went
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(confirmed.Add(stay + 2*time.Second)))
	return judgeDrain(s, l.end(), leaver.app, confirmed, inTouch)
}

// leftBehindCut: a machine is cut off from all other machines of the system, while the store reaches it. Its backend leaves by DELETE, and
// the store has the confirmed word. Then the machine's process is killed, the cut heals, and the process starts again.
func leftBehindCut(s *site, trouble bool) (verdict, error) {
	s.proxies = true
	leaver, clients, err := leavingSite(s)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	l := startLoad(clients, 60*time.Millisecond, sendAssign)
	time.Sleep(18 * time.Second)
	if trouble {
		leaver.setCut(true)
	}
	time.Sleep(1500 * time.Millisecond)
	ok := leaver.app.sayGone()
	confirmed := time.Now()
	s.rec.add(leaver.app.name, "DELETE confirmed:", ok)
	if !ok {
		l.end()
		return verdict{}, fmt.Errorf("the leaving was not confirmed")
	}
	time.AfterFunc(shortStay, leaver.app.end)
	time.Sleep(500 * time.Millisecond)
	leaver.kill()
	time.Sleep(500 * time.Millisecond)
	leaver.setCut(false)
	time.Sleep(500 * time.Millisecond)
	if err := leaver.restart(); err != nil {
		return verdict{}, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(confirmed.Add(shortStay + 2*time.Second)))
	return judgeDrain(s, l.end(), leaver.app, confirmed, inTouch)
}

// leftWhileRestarting: a node's process is killed. While it is down the backend beside it begins to leave: it repeats its DELETE until
// that is confirmed. The process starts again, with seeds whose machines are down.
func leftWhileRestarting(s *site, trouble bool) (verdict, error) {
	leaver, clients, err := leavingSite(s)
	if err != nil {
		return verdict{}, err
	}
	if err := leaver.release(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	l := startLoad(clients, 60*time.Millisecond, sendAssign)
	time.Sleep(2 * time.Second)
	if os.Getenv("LIVE") == "" {
		for host := 20; host < 23; host++ {
			if err := listenSilently(s.addr(host, portInbound)); err != nil {
				return verdict{}, err
			}
			leaver.staleSeeds = append(leaver.staleSeeds, s.addr(host, portControl))
		}
	}
	if trouble {
		leaver.kill()
		time.AfterFunc(time.Second, func() { _ = leaver.restart() })
	}
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	for !leaver.app.sayGoneBare() {
		if time.Since(begun) > 5*time.Second {
			l.end()
			return verdict{}, errors.New("the leaving was not confirmed")
		}
		time.Sleep(100 * time.Millisecond)
	}
	confirmed := time.Now()
	s.rec.add(leaver.app.name, "DELETE confirmed")
	time.AfterFunc(shortStay, leaver.app.end)
	if err := s.waitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(confirmed.Add(shortStay + 2*time.Second)))
	return judgeDrain(s, l.end(), leaver.app, confirmed, inTouch)
}
