package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a backend has begun to work on.
type run struct {
	attempt string
	backend string
	tenant  string
	at      time.Time
}

// backend is a backend server of the users' platform (PROTOCOL.md, "Backends" and "Service discovery").
type backend struct {
	rec      *record
	name     string // for the record
	id       string
	service  string
	zone     string
	addr     string
	control  string // control address of the node on its machine
	slots    int
	born     int64
	workTime time.Duration

	// surplusEvery makes it a faulty server: behind each answer of that number it sends a surplus one, late, in the place where the
	// next answer on the connection is due. 0: it is sound.
	surplusEvery int
	surplus      string

	// resetShare is the share of its answers that are lost: the request has run, and the connection is reset.
	resetShare float64
	// deadly reports whether a request crashes the server as soon as it begins to run it; nil: none does. crashed is called then.
	deadly  func(req *http.Request) bool
	crashed func()

	mu       sync.Mutex
	runs     []run
	answers  int
	seq      int64
	silent   bool // it sends no pings any more
	ended    bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// heartbeat is how often a backend sends its ping.
const heartbeat = 1500 * time.Millisecond

func (b *backend) start() error {
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.listener, b.conns = ln, map[net.Conn]bool{}
	b.born = time.Now().UnixMilli()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return nil
}

// end ends the process: its listener and all connections close.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended, b.silent = true, true
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.rec.add(b.name, "ends")
}

// serve serves one connection, one request at a time.
func (b *backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	surplusDue := false
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if surplusDue {
			surplusDue = false
			b.rec.add(b.name, "sends a surplus answer, late, on a connection on which", req.Header.Get("Rockspoke-Attempt-Id"), "has just arrived")
			if _, err := io.WriteString(c, b.surplus); err != nil {
				return
			}
		}
		if !b.answer(c, req) {
			return
		}
		b.mu.Lock()
		b.answers++
		surplusDue = b.surplusEvery > 0 && b.answers%b.surplusEvery == 0
		b.mu.Unlock()
	}
}

// answer runs one request and writes its answer; it returns false if the connection is broken.
func (b *backend) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Rockspoke-Attempt-Id")
	var out bytes.Buffer
	if target := req.Header.Get("Rockspoke-Target-Instance"); target != "" && target != b.id {
		fmt.Fprintf(&out, "HTTP/1.1 421 Misdirected Request\r\nRockspoke-Attempt-Id: %s\r\nRockspoke-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, b.id)
		_, err := c.Write(out.Bytes())
		return err == nil
	}
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return false
	}
	b.runs = append(b.runs, run{attempt: id, backend: b.name, tenant: req.Header.Get("Rockspoke-Tenant-Id"), at: time.Now()})
	b.mu.Unlock()
	if b.deadly != nil && b.deadly(req) {
		b.rec.add(b.name, "runs", id, "and crashes")
		b.end()
		b.crashed()
		return false
	}
	b.rec.add(b.name, "runs", id)
	time.Sleep(b.workTime)
	b.mu.Lock()
	lost := rand.Float64() < b.resetShare
	b.mu.Unlock()
	if lost {
		b.rec.add(b.name, "loses the answer to", id)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closing resets the connection
		}
		return false
	}
	body := "done " + id + " by " + b.id + "\n"
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nRockspoke-Attempt-Id: %s\r\nRockspoke-Response-Seal: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, b.id, id, len(body), body)
	_, err := c.Write(out.Bytes())
	return err == nil
}

// allRuns returns what it has run.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// ping sends one ping and reports whether it was confirmed.
func (b *backend) ping(state string) bool {
	b.mu.Lock()
	b.seq++
	seq := b.seq
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address": b.addr, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "callSeq": seq, "coldLeft": "0ms"},
	})
	return b.call(http.MethodPut, body)
}

// sayGone sends the DELETE by which a backend leaves without having said that it is draining; it reports whether it was confirmed.
func (b *backend) sayGone() bool {
	b.mu.Lock()
	b.silent = true
	b.seq++
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": b.born})
	return b.call(http.MethodDelete, body)
}

// sayGoneBare does the same in the form that `fleetbench wire` shows, without a body.
func (b *backend) sayGoneBare() bool {
	b.mu.Lock()
	b.silent = true
	b.mu.Unlock()
	return b.call(http.MethodDelete, nil)
}

// call makes a call to the control address; only a 2xx within a second is a confirmation.
func (b *backend) call(method string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+b.control+"/rockspoke/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode/100 == 2
}

// keepPinging sends pings until the backend falls silent.
func (b *backend) keepPinging() {
	for {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent {
			return
		}
		wait := heartbeat
		if !b.ping("ready") {
			wait = 200 * time.Millisecond
		}
		time.Sleep(wait)
	}
}
