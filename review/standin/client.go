package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// attempt is one client attempt and what the client saw of it.
type attempt struct {
	id, uri     string
	machine     string
	sent, ended time.Time
	status      int    // 0: the connection ended without an answer
	reason      string // of the node, for the record
	sealed      bool
	whole       bool
	bytes       int // of the answer's body
	err         string
}

// client sends requests to the outbound address of its machine on connections that it keeps.
type client struct {
	m    *machine
	http *http.Client
}

func newClient(m *machine) *client {
	d := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.ip)}}
	return &client{m: m, http: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// do sends one request and records it.
func (c *client) do(method, host, path, id string, limit time.Duration) attempt {
	return c.send(method, host, path, id, limit, nil)
}

// send is do with further headers.
func (c *client) send(method, host, path, id string, limit time.Duration, header http.Header) attempt {
	return c.sendBody(method, host, path, id, limit, header, nil)
}

// sendBody is send with a body.
func (c *client) sendBody(method, host, path, id string, limit time.Duration, header http.Header, body []byte) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+c.m.at("outbound")+path, bytes.NewReader(body))
	req.Host = host
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Rockspoke-Attempt-Id", id)
	req.Header.Set("Rockspoke-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	a := attempt{id: id, uri: path, machine: c.m.name, sent: time.Now()}
	c.m.s.rec.say("SEND  %s %s %s at %s", id, method, path, c.m.name)
	res, err := c.http.Do(req)
	if err == nil {
		var got []byte
		got, err = io.ReadAll(res.Body)
		res.Body.Close()
		a.status, a.reason = res.StatusCode, res.Header.Get("Rockspoke-Reason")
		a.sealed = res.Header.Get("Rockspoke-Response-Seal") != ""
		a.whole = err == nil && len(got) > 0
		if err != nil {
			a.status = 0
		}
	}
	if err != nil {
		a.err = err.Error()
	}
	a.ended = time.Now()
	c.m.s.rec.say("END   %s %d %s %s after %v", id, a.status, a.reason, a.err, a.ended.Sub(a.sent).Round(time.Millisecond))
	return a
}
