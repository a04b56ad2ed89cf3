package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// uploadCase is how clients and backends behave in a case of uploads.
type uploadCase struct {
	count, atOnce int
	answerBytes   int
	piece         int           // the client sends as many bytes
	pause         time.Duration // and then waits for so long
	resetAfter    int           // if above 0, answers carry no length, and their connection is reset after as many bytes
}

// content returns n bytes that depend on the id, no two pieces of which are alike.
func content(id string, n int) []byte {
	out := make([]byte, 0, n+32)
	for i := 0; len(out) < n; i++ {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", id, i))
		out = append(out, sum[:]...)
	}
	return out[:n]
}

// upload is what a backend got of a long body.
type upload struct {
	id      string
	got     []byte
	whole   bool // the body ended as HTTP/1.1 says; otherwise the connection ended
	chunked bool
	early   bool // it was answered before all of it was read
}

// earlyBackend serves requests one at a time on each connection. It answers two of five of them after earlyAfter bytes of a body, unless that is
// 0, keeps the connection and goes on reading later. It answers the others after all of the body.
type earlyBackend struct {
	m *machine
	uploadCase
	earlyAfter int
	until      time.Time // no answer is early from then on

	mu      sync.Mutex
	begun   int
	uploads []upload
}

// isEarly counts a request and reports whether it is answered early.
func (b *earlyBackend) isEarly() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun++
	return b.earlyAfter > 0 && b.begun%5 < 2 && time.Now().Before(b.until)
}

func (b *earlyBackend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id, own := r.Header.Get("Rockspoke-Attempt-Id"), b.m.id
		if t := r.Header.Get("Rockspoke-Target-Instance"); t != "" && t != own {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRockspoke-Attempt-Id: %s\r\nRockspoke-Instance-Id: %s\r\nRockspoke-Not-Executed: 1\r\n"+
				"Connection: close\r\nContent-Length: 0\r\n\r\n", id, own)
			return
		}
		b.m.s.rec.say("RUN   %s %s by %s (%s)", id, r.URL.Path, b.m.service, b.m.name)
		b.m.s.noteRun(run{at: time.Now(), id: id, uri: r.URL.Path, service: b.m.service, server: b.m.name})
		var got bytes.Buffer
		early := b.isEarly()
		if early {
			if _, err := io.CopyN(&got, r.Body, int64(b.earlyAfter)); err != nil {
				b.m.s.rec.say("BODY  %s broke off after %d bytes, before any answer", id, got.Len())
				return
			}
		} else if _, err := io.Copy(&got, r.Body); err != nil {
			b.m.s.rec.say("BODY  %s broke off after %d bytes, before any answer", id, got.Len())
			return
		}
		answer := content("answer to "+id, b.answerBytes)
		if b.resetAfter > 0 {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRockspoke-Attempt-Id: %s\r\nRockspoke-Response-Seal: seal-%s\r\nConnection: close\r\n\r\n%s", id, id,
				answer[:b.resetAfter])
			time.Sleep(30 * time.Millisecond)
			if early {
				_ = c.(*net.TCPConn).SetLinger(0) // the reset; the rest of the answer isn't sent
				return
			}
			_, _ = c.Write(answer[b.resetAfter:])
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRockspoke-Attempt-Id: %s\r\nRockspoke-Response-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(answer), answer)
		if early {
			b.m.s.rec.say("EARLY %s is answered after %d bytes of its body", id, got.Len())
			time.Sleep(20 * time.Millisecond)
			_, err = io.Copy(&got, r.Body)
		}
		b.mu.Lock()
		b.uploads = append(b.uploads, upload{id, got.Bytes(), err == nil, len(r.TransferEncoding) > 0, early})
		b.mu.Unlock()
		if err != nil {
			b.m.s.rec.say("BODY  %s broke off after %d bytes: %v", id, got.Len(), err)
			return
		}
	}
}

// uploadBody sends one upload, in pieces, and reads the answer meanwhile.
func (c *client) uploadBody(u uploadCase, host, path, id, key string, body []byte, chunked bool) attempt {
	a := attempt{id: id, uri: path, machine: c.m.name, sent: time.Now()}
	d := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.m.ip)}}
	conn, err := d.Dial("tcp", c.m.at("outbound"))
	if err != nil {
		a.err = err.Error()
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	c.m.s.rec.say("SEND  %s POST %s at %s, %d bytes, %s", id, path, c.m.name, len(body), framing)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nRockspoke-Attempt-Id: %s\r\nRockspoke-Deadline-Ms: 3000\r\n%s\r\n\r\n",
		path, host, key, id, framing)
	sent := make(chan error, 1)
	go func() {
		for rest := body; len(rest) > 0; {
			n := min(u.piece, len(rest))
			var err error
			if chunked {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", n, rest[:n])
			} else {
				_, err = conn.Write(rest[:n])
			}
			if err != nil {
				sent <- err
				return
			}
			rest = rest[n:]
			time.Sleep(u.pause)
		}
		if chunked {
			_, err = io.WriteString(conn, "0\r\n\r\n")
		}
		sent <- err
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var got []byte
		got, err = io.ReadAll(res.Body)
		a.status, a.reason = res.StatusCode, res.Header.Get("Rockspoke-Reason")
		a.whole = err == nil && bytes.Equal(got, content("answer to "+id, u.answerBytes))
		a.bytes, a.sealed = len(got), res.Header.Get("Rockspoke-Response-Seal") != ""
	}
	if err != nil {
		a.err = err.Error()
	}
	a.ended = time.Now()
	c.m.s.rec.say("END   %s %d %s %s after %v, the whole answer: %v", id, a.status, a.reason, a.err, a.ended.Sub(a.sent).Round(time.Millisecond), a.whole)
	if err := <-sent; err != nil {
		c.m.s.rec.say("      %s: its body could not be sent to its end: %v", id, err)
	}
	return a
}

// playUploads plays uploads that begin beside the backends of a service, of which two in three answer early for six seconds if there is trouble.
func playUploads(s *site, trouble bool, u uploadCase) (backends []*earlyBackend, bodies map[string][]byte, attempts []attempt, err error) {
	const earlyFor = 6 * time.Second
	s.region, s.bounds = "kingston", maps.Clone(grownBounds)
	maps.Copy(s.bounds, map[string]any{"strictRevoke": true, "revoke": "5000ms", "quotaWindow": "5s", "quotaExcess": 0.1, "quotaSlack": 20})
	for _, zone := range []string{"kgn-a", "kgn-b", "kgn-c"} {
		m := s.add(zone, "wuno96b")
		b := &earlyBackend{m: m, uploadCase: u}
		m.raw = b.serve
		backends = append(backends, b)
	}
	s.add("kgn-a", "huvo11a")
	route := routeSpec{"r-upload", "jepu9.example", "/puka111/", "upload", "wuno96b", "3000ms", 2}
	s.store.put("op", "config", stateDocument(7, []string{"huvo11a", "wuno96b"}, []tenantSpec{{"shipper", "key-of-shipper"}}, route))
	if err := s.startAll(); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.say("TROUBLE: for %v, two of the three backends answer two in five uploads early", earlyFor)
		for _, b := range backends[:2] {
			b.until, b.earlyAfter = time.Now().Add(earlyFor), 140_000
		}
	}
	bodies = map[string][]byte{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	free := make(chan bool, u.atOnce)
	for k := range u.count {
		free <- true
		clients.Go(func() {
			defer func() { <-free }()
			id := fmt.Sprintf("9c41d07be2a3%04x", k)
			body := content(id, 300_000)
			a := newClient(backends[k%3].m).uploadBody(u, route.host, route.prefix+"2f", id, "key-of-shipper", body, k/3%2 == 0)
			mu.Lock()
			defer mu.Unlock()
			bodies[id], attempts = body, append(attempts, a)
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	answered := 0
	for _, a := range attempts {
		if a.status == http.StatusOK && a.whole {
			answered++
		}
	}
	s.rec.say("%d of %d uploads got their whole answer", answered, u.count)
	if !trouble && 10*answered < 9*u.count {
		err = fmt.Errorf("only %d of %d uploads were answered", answered, u.count)
	}
	return backends, bodies, attempts, err
}

// earlyAnswers: backends answer before they have read all of a long body, keep the connection and go on reading.
func earlyAnswers(s *site, trouble bool) (int, error) {
	u := uploadCase{count: 240, atOnce: 6, answerBytes: 200_000, piece: 8 << 10, pause: 5 * time.Millisecond}
	backends, bodies, _, err := playUploads(s, trouble, u)
	if err != nil {
		return failed, err
	}
	counts := map[string]int{}
	for _, b := range backends {
		b.mu.Lock()
		for _, u := range b.uploads {
			sent, n := bodies[u.id], 0
			for n < len(u.got) && n < len(sent) && u.got[n] == sent[n] {
				n++
			}
			if u.early {
				counts["answered early"]++
			}
			framing := "with a length"
			if u.chunked {
				framing = "in chunks"
			}
			switch {
			case n == len(sent) && len(u.got) == len(sent):
				counts["whole"]++
			case n < len(u.got):
				counts["BROKEN: other bytes"]++
				s.rec.say("BROKEN: %s, %s: from byte %d on the backend got other bytes than were sent (%d in all, ended well: %v)", u.id, framing, n, len(u.got), u.whole)
			case u.whole:
				counts["BROKEN: a shorter body that ended well"]++
				s.rec.say("BROKEN: %s, %s: the backend got a body that ended well after %d of %d bytes", u.id, framing, len(u.got), len(sent))
			default:
				counts["broke off, which is allowed"]++
			}
		}
		b.mu.Unlock()
	}
	status := held
	for what, n := range counts {
		s.rec.say("%d uploads: %s", n, what)
		if strings.HasPrefix(what, "BROKEN") {
			status = broken
		}
	}
	return status, nil
}

// resetAnswers: backends answer before they have read all of a long body, without a length, and their connection is reset in the middle of the answer.
func resetAnswers(s *site, trouble bool) (int, error) {
	u := uploadCase{count: 800, atOnce: 12, answerBytes: 6000, piece: 2 << 10, pause: 500 * time.Microsecond, resetAfter: 4500}
	_, _, attempts, err := playUploads(s, trouble, u)
	if err != nil {
		return failed, err
	}
	cut := 0
	for _, a := range attempts {
		if a.status == http.StatusOK && a.err == "" && !a.whole {
			cut++
			s.rec.say("BROKEN: %s got a success with a complete answer of %d bytes; the backend's has %d (receipt: %v)", a.id, a.bytes, u.answerBytes, a.sealed)
		}
	}
	s.rec.say("%d of %d uploads got a cut answer as a whole one", cut, u.count)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
