package main

import (
	"encoding/base64"
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

// forgedIdentity: a client with the key of one tenant sends, beside the headers that the system sets itself, one header of its own.
func forgedIdentity(s *site, trouble bool) (int, error) {
	const zone, victim, forgedCaller, forgedID = "accra-a", "victim-coop", "nobodys-service", "feedfacefeedface"
	s.region, s.bounds = "gh-south", maps.Clone(grownBounds)
	maps.Copy(s.bounds, map[string]any{
		"retrySlack": 100, "strictRevoke": true, "revoke": "5000ms", "quotaWindow": "5s", "quotaExcess": 0.1, "quotaSlack": 20,
	})
	s.add(zone, "huvo11a")
	s.add(zone, "wuno96b")
	s.add(zone, "wuno96b")
	route := routeSpec{"r-billing", "jepu9.example", "/puka111/", "unsafe", "wuno96b", "1200ms", 2}
	s.store.put("op", "config", stateDocument(7, []string{"huvo11a", "wuno96b"}, []tenantSpec{{"acme-hire", "key-of-acme"}, {victim, "key-of-victim"}}, route))
	if err := s.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	c := newClient(s.machines[0])
	const version = 7
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
	var ids, callers, tenants int
	for _, r := range runs {
		if !sent[r.id] {
			ids++
		}
		if r.caller != "huvo11a" {
			callers++
		}
		if r.tenant != "acme-hire" {
			tenants++
		}
	}
	s.rec.say("%d of 20 requests got a 200; %d runs", answered, len(runs))
	if ids+callers+tenants == 0 {
		return held, nil
	}
	s.rec.say("BROKEN: %d runs with an id that no client sent", ids)
	s.rec.say("BROKEN: %d runs with a Rockspoke-Caller-Service other than that of the machine where the request began", callers)
	s.rec.say("BROKEN: %d runs with a Rockspoke-Tenant-Id other than that of the key's tenant", tenants)
	return broken, nil
}
