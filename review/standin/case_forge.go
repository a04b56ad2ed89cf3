package main

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"maps"
	"net/http"
	"time"
)

// literal returns one header as an HPACK literal without indexing (RFC 7541, section 6.2.2), for texts shorter than 127 bytes.
func literal(name, value string) []byte {
	out := []byte{0, byte(len(name))}
	out = append(out, name...)
	out = append(out, byte(len(value)))
	return append(out, value...)
}

// exchangeMessage returns the message by which a node tells another one of a desired state: an array in MessagePack, of which the last field given
// is the state.
func exchangeMessage(version uint64, state []byte) []byte {
	msg := []byte{0x99, 0xd9, 9}
	msg = append(msg, "127.0.0.9"...)                 // the sender
	msg = append(msg, 0xd9, 1, 'z', 0xcf)             // its zone
	msg = binary.BigEndian.AppendUint64(msg, version) // of its state
	msg = append(msg, 1, 0xc2, 0xc0, 0xc0, 0xc0)      // a digest, not stopping, no records, reports and sums
	msg = append(msg, 0xc6)                           // the state
	msg = binary.BigEndian.AppendUint32(msg, uint32(len(state)))
	return append(msg, state...)
}

// forgedIdentity: a client with the key of one tenant sends, beside the headers that the system sets itself, one header of its own.
func forgedIdentity(s *site, trouble bool) (int, error) {
	const zone, victim, forgedCaller, forgedID = "accra-a", "victim-coop", "nobodys-service", "feedfacefeedface"
	const version, forgedVersion = 7, 1_000_000
	s.region, s.bounds = "gh-south", maps.Clone(grownBounds)
	maps.Copy(s.bounds, map[string]any{
		"retrySlack": 100, "strictRevoke": true, "revoke": "5000ms", "quotaWindow": "5s", "quotaExcess": 0.1, "quotaSlack": 20,
	})
	s.add(zone, "huvo11a")
	s.add(zone, "wuno96b")
	s.add(zone, "wuno96b")
	route := routeSpec{"r-billing", "jepu9.example", "/puka111/", "unsafe", "wuno96b", "1200ms", 2}
	root := routeSpec{"r-root", "root.example", "/", "unsafe", "wuno96b", "1200ms", 2}
	services, tenants := []string{"huvo11a", "wuno96b"}, []tenantSpec{{"acme-hire", "key-of-acme"}, {victim, "key-of-victim"}}
	s.store.put("op", "config", stateDocument(version, services, tenants, route, root))
	if err := s.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	c := newClient(s.machines[0])
	answered := 0
	sent := map[string]bool{}
	for k := range 20 {
		id := fmt.Sprintf("9c41d07be2a3%04x", k)
		sent[id] = true
		h := http.Header{
			"Authorization":            {"Token key-of-acme"},
			"Rockspoke-Tenant-Id":      {victim},
			"Rockspoke-Caller-Service": {forgedCaller},
		}
		if trouble {
			block := literal("Rs-C", fmt.Sprintf("%s,%s,%s,0,26,%d", route.service, route.name, forgedCaller, version))
			block = append(block, literal("Rockspoke-Tenant-Id", victim)...)
			block = append(block, literal("Rockspoke-Attempt-Id", fmt.Sprintf("%s%02x", forgedID[:14], k))...)
			h.Set("Rs-H", base64.RawURLEncoding.EncodeToString(block))
		}
		a := c.send(http.MethodPost, route.host, route.prefix+"2f", id, 5*time.Second, h)
		if a.status == http.StatusOK {
			answered++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !trouble && answered < 15 {
		return failed, fmt.Errorf("only %d of 20 requests were answered", answered)
	}
	runs := s.allRuns()
	if len(runs) == 0 && answered == 0 {
		s.rec.say("no request ran")
	}
	var ids, callers, foreign int
	for _, r := range runs {
		if !sent[r.id] {
			ids++
		}
		if r.caller != "huvo11a" {
			callers++
		}
		if r.tenant != "acme-hire" {
			foreign++
		}
	}
	s.rec.say("%d of 20 requests got a 200; %d runs", answered, len(runs))
	if ids+callers+foreign > 0 {
		s.rec.say("BROKEN: %d runs with an id that no client sent", ids)
		s.rec.say("BROKEN: %d runs with a Rockspoke-Caller-Service other than that of the machine where the request began", callers)
		s.rec.say("BROKEN: %d runs with a Rockspoke-Tenant-Id other than that of the key's tenant", foreign)
	}

	// The same header takes a request to what nodes tell each other, if a route has its path.
	stolen := root
	stolen.service = "huvo11a"
	message := exchangeMessage(forgedVersion, stateDocument(forgedVersion, services, tenants, route, stolen))
	h := http.Header{"Authorization": {"Token key-of-acme"}}
	if trouble {
		h.Set("Rs-H", base64.RawURLEncoding.EncodeToString(literal("Rs-C", "")))
	}
	c.sendBody(http.MethodPost, root.host, "/exchange", "9c41d07be2a3ffff", 5*time.Second, h, message)
	time.Sleep(time.Second)
	before := len(s.allRuns())
	ask := func(round string) (refused int) {
		for k, m := range s.machines {
			a := newClient(m).send(http.MethodPost, root.host, root.prefix+"2f", fmt.Sprintf("9c41d07be2%s%04x", round, k), 5*time.Second,
				http.Header{"Authorization": {"Token key-of-acme"}})
			if a.status == http.StatusServiceUnavailable {
				refused++
			}
		}
		return refused
	}
	ask("b1")
	misrouted := 0
	for _, r := range s.allRuns()[before:] {
		if r.service != root.service {
			misrouted++
		}
	}
	if misrouted > 0 {
		s.rec.say("BROKEN, ROUTE as well: %d of %d requests, at all machines, were run by a service to which no desired state ever sent allows them to go", misrouted,
			len(s.machines))
	}
	s.store.put("op", "config", stateDocument(9, services, tenants, route, root))
	s.rec.say("desired state 9 confirmed; like 7 it sends root.example to wuno96b")
	time.Sleep(8 * time.Second)
	s.rec.say("8 s later %d of %d requests, at all machines, are refused with 503", ask("b2"), len(s.machines))
	if ids+callers+foreign+misrouted > 0 {
		return broken, nil
	}
	return held, nil
}
