package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

// site is a server on a loopback socket and what its handler has seen.
type site struct {
	addr     string
	s        *Server
	arrived  chan string   // paths, when their handlers begin
	canceled chan string   // paths, when their contexts end before they are released
	release  chan struct{} // closed to let the handlers of /wait end
	running  atomic.Int64
	delay    time.Duration // of each request
}

// newSite starts a server; without ahead it is a plain http.Server.
func newSite(t testing.TB, ahead bool) *site {
	x := &site{arrived: make(chan string, 1000), canceled: make(chan string, 1000), release: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	h := &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	x.addr = ln.Addr().String()
	x.s = &Server{HTTP: h, MayRunAhead: func(_, uri string) bool { return !strings.HasPrefix(uri, "/once") }}
	serve := h.Serve
	if ahead {
		x.s.Init()
		serve = x.s.Serve
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = serve(ln) }()
	t.Cleanup(func() {
		_ = h.Close()
		<-ended
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return x
}

// ServeHTTP answers with the query's n bytes; the path says what else it does.
func (x *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x.arrived == nil {
		return // for benchmarks
	}
	if RunsAhead(r.Context()) && strings.HasPrefix(r.URL.Path, "/once") {
		panic("it ran ahead")
	}
	x.running.Add(1)
	defer x.running.Add(-1)
	x.arrived <- r.URL.Path
	time.Sleep(x.delay)
	if strings.HasSuffix(r.URL.Path, "/wait") {
		select {
		case <-x.release:
		case <-r.Context().Done():
			x.canceled <- r.URL.Path
		}
	}
	got, _ := io.ReadAll(r.Body)
	n, _ := strconv.Atoi(r.URL.Query().Get("n"))
	w.Header().Set("Content-Type", "text/plain")
	switch {
	case strings.HasSuffix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	case strings.HasSuffix(r.URL.Path, "/abort"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/empty"):
		w.WriteHeader(http.StatusNoContent)
		return
	case strings.HasSuffix(r.URL.Path, "/length"):
		w.Header().Set("Content-Length", strconv.Itoa(n+len(got)+len(r.URL.Path)))
	}
	_, _ = io.WriteString(w, r.URL.Path)
	_, _ = w.Write(got)
	for ; n > 0; n -= min(n, 1000) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), min(n, 1000)))
	}
}

// client is a connection to a site.
type client struct {
	*qt.C
	net.Conn
	r *bufio.Reader
}

func (x *site) dial(t testing.TB) *client {
	nc, err := net.Dial("tcp", x.addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = nc.Close() })
	qt.Assert(t, nc.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &client{qt.New(t), nc, bufio.NewReader(nc)}
}

// get is the text of a GET request.
func get(uri string) string { return "GET " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func (c *client) send(text ...string) {
	for _, s := range text {
		_, err := io.WriteString(c.Conn, s)
		c.Assert(err, qt.IsNil)
	}
}

// read returns the status and body of the next answer; its error is that of the connection.
func (c *client) read(method string) (string, error) {
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(res.Body)
	return fmt.Sprintln(res.StatusCode, res.Header.Get("Content-Type"), res.Header.Get("Connection"), string(b)), err
}

// expect reads an answer to a GET and checks the end of its body.
func (c *client) expect(body string) {
	c.Helper()
	got, err := c.read(http.MethodGet)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasSuffix(got, " "+body+"\n"), qt.IsTrue, qt.Commentf("got %.100q, want %.100q", got, body))
}

// expectClosed checks that no further answer comes.
func (c *client) expectClosed() {
	c.Helper()
	_, err := c.read(http.MethodGet)
	c.Assert(err, qt.Not(qt.IsNil))
}

// expectArrivals waits for requests to begin, in any order.
func (x *site) expectArrivals(c *client, n int) {
	c.Helper()
	for range n {
		select {
		case <-x.arrived:
		case <-time.After(10 * time.Second):
			c.Fatal("no further request began")
		}
	}
}

// expectNoArrival checks that no further request begins.
func (x *site) expectNoArrival(c *client) {
	c.Helper()
	select {
	case p := <-x.arrived:
		c.Fatalf("%s began", p)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against answers out of order and requests served one after the other, whether they come in one packet or in many pieces.
func TestRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	for _, size := range []int{1, 7, 50, 1 << 20} {
		x := newSite(t, true)
		c := x.dial(t)
		all := get("/1/wait") + get("/2?n=300000") + get("/3/wait") + get("/4/length?n=70000") + get("/5")
		for len(all) > 0 {
			n := min(size, len(all))
			c.send(all[:n])
			all = all[n:]
		}
		x.expectArrivals(c, 5)
		close(x.release)
		c.expect("/1/wait")
		c.expect("/2" + strings.Repeat("x", 300000))
		c.expect("/3/wait")
		c.expect("/4/length" + strings.Repeat("x", 70000))
		c.expect("/5")
		c.send(get("/6")) // the connection goes on
		c.expect("/6")
	}
}

// Guards against requests that overtake one which may run at most once or has a body, and against those running ahead themselves.
func TestRequestsWaitBehindThoseThatMayNotRunAhead(t *testing.T) {
	post := "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	chunked := "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for second, body := range map[string]string{get("/once/2"): "/once/2", post: "/2body", chunked: "/2body"} {
		x := newSite(t, true)
		c := x.dial(t)
		c.send(get("/1/wait") + second + get("/3"))
		x.expectArrivals(c, 1)
		x.expectNoArrival(c)
		close(x.release)
		c.expect("/1/wait")
		c.expect(body)
		c.expect("/3")
	}
	x := newSite(t, true)
	c := x.dial(t)
	c.send(get("/once/wait") + get("/2"))
	x.expectArrivals(c, 1)
	x.expectNoArrival(c)
	close(x.release)
	c.expect("/once/wait")
	c.expect("/2")
}

// Guards against answers after one that closes the connection, and against requests that go on behind it.
func TestNothingIsAnsweredBehindAnAnswerThatCloses(t *testing.T) {
	for _, uri := range []string{"/close", "/2/close", "/2/abort"} {
		x := newSite(t, true)
		c := x.dial(t)
		if uri == "/close" {
			c.send(get("/close/wait/close") + get("/3/wait"))
			x.expectArrivals(c, 1)
		} else {
			c.send(get("/1") + get(uri) + get("/3/wait") + get("/once"))
			c.expect("/1")
		}
		if strings.HasSuffix(uri, "/close") {
			_, err := c.read(http.MethodGet)
			c.Assert(err, qt.IsNil)
		}
		c.expectClosed()
		for x.running.Load() > 0 { // a request that had begun is canceled; it needn't have
			time.Sleep(time.Millisecond)
		}
		for len(x.arrived) > 0 {
			c.Assert(<-x.arrived, qt.Not(qt.Equals), "/once")
		}
	}
}

// Guards against work for a client that has left, also while an answer behind the first is awaited.
func TestClientThatLeavesCancelsAllRequests(t *testing.T) {
	for _, first := range []string{"/1/wait", "/1"} {
		x := newSite(t, true)
		c := x.dial(t)
		c.send(get(first) + get("/2/wait") + get("/3/wait"))
		x.expectArrivals(c, 3)
		_ = c.Close()
		for range strings.Count(first+"/wait/wait", "wait") {
			select {
			case <-x.canceled:
			case <-time.After(10 * time.Second):
				c.Fatal("a request wasn't canceled")
			}
		}
	}
}

// Guards against many connections whose answers, each within its limit, are buffered without a bound of their sum.
func TestBufferedBytesOfAllConnectionsAreBounded(t *testing.T) {
	x := newSite(t, true)
	const conns = 2 * maxBufferedAnswers / maxBufferedAnswer / maxAhead
	var clients []*client
	for range conns {
		c := x.dial(t)
		clients = append(clients, c)
		c.send(get("/0/wait"))
		for range maxAhead {
			c.send(get("/a?n=100000"))
		}
	}
	x.expectArrivals(clients[0], conns*(1+maxAhead))
	time.Sleep(50 * time.Millisecond)
	most := int64(maxBufferedAnswers + conns*maxAhead*minBufferedAnswer)
	c := clients[0]
	c.Check(x.s.buffered.Load() <= most, qt.IsTrue, qt.Commentf("%d bytes are buffered", x.s.buffered.Load()))
	c.Check(x.s.buffered.Load() >= maxBufferedAnswers, qt.IsTrue, qt.Commentf("%d bytes are buffered", x.s.buffered.Load()))
	close(x.release)
	for _, c := range clients {
		c.expect("/0/wait")
		for range maxAhead {
			c.expect("/a" + strings.Repeat("x", 100000))
		}
	}
	c.Check(x.s.buffered.Load(), qt.Equals, int64(0))
}

// Guards against a request that stays in progress for good, since its client left while its answer was being written.
func TestClientThatLeavesDuringAnAnswerEndsItsRequest(t *testing.T) {
	x := newSite(t, true)
	c := x.dial(t)
	c.send(get("/a/wait"))
	x.expectArrivals(c, 1)
	c.send(get("/b?n=200000000"))
	x.expectArrivals(c, 1)
	close(x.release)
	c.expect("/a/wait")
	time.Sleep(50 * time.Millisecond) // the second answer fills the socket's buffers
	c.Assert(c.Close(), qt.IsNil)
	for end := time.Now().Add(5 * time.Second); x.running.Load() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	c.Check(x.running.Load(), qt.Equals, int64(0))
}

// Guards against bytes lost when net/http ends its background read in the middle of a request.
func TestPartOfARequestIsKeptBetweenAnswers(t *testing.T) {
	x := newSite(t, true)
	c := x.dial(t)
	last := get("/3")
	c.send(get("/1/wait") + get("/2") + last[:9])
	x.expectArrivals(c, 2)
	close(x.release)
	c.expect("/1/wait")
	c.expect("/2")
	c.send(last[9:])
	c.expect("/3")
}

// Guards against a connection that runs more than maxAhead requests, and against an answer buffered without bound.
func TestRequestsAndBufferedBytesAreBounded(t *testing.T) {
	x := newSite(t, true)
	c := x.dial(t)
	c.send(get("/0/wait"))
	for range maxAhead + 8 {
		c.send(get("/a?n=1000000"))
	}
	x.expectArrivals(c, 1+maxAhead)
	x.expectNoArrival(c)
	c.Assert(int(x.running.Load()), qt.Equals, 1+maxAhead, qt.Commentf("long answers wait for the ones before"))
	close(x.release)
	c.expect("/0/wait")
	for range maxAhead + 8 {
		c.expect("/a" + strings.Repeat("x", 1000000))
	}
}

// Guards against a header above the limit that is accepted because it was pipelined.
func TestHeaderLimitHoldsForPipelinedRequests(t *testing.T) {
	x := newSite(t, true)
	c := x.dial(t)
	c.send(get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n")
	c.expect("/1")
	got, err := c.read(http.MethodGet)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Contains, "431")
}

// Guards against connections with answers to write being taken for idle ones, which are closed when there are many.
func TestConnectionIsNotIdleWhileAnswersWait(t *testing.T) {
	var e, plain []http.ConnState
	x := &Server{HTTP: &http.Server{ConnState: func(_ net.Conn, s http.ConnState) { plain = append(plain, s) }}}
	x.Init()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	nc := newConn(x, a)
	nc.queue = []*answer{newAnswer(nil, nil, nil, &atomic.Int64{})}
	x.HTTP.ConnState(nc, http.StateIdle)
	qt.Assert(t, plain, qt.DeepEquals, e)
	nc.queue = nil
	nc.showIdle()
	qt.Assert(t, plain, qt.DeepEquals, []http.ConnState{http.StateIdle})
}

// randomRequests returns the texts of requests and their methods, and whether the connection may be closed before the last one.
func randomRequests(r *rand.Rand) (texts, methods []string, closes bool) {
	for i := range 1 + r.IntN(12) {
		uri := fmt.Sprintf("/%d%s?n=%d", i, []string{"", "/length", "/empty"}[r.IntN(3)], r.IntN(6)*r.IntN(3000))
		if r.IntN(8) == 0 {
			uri = "/once" + uri
		}
		text, method := get(uri), http.MethodGet
		switch r.IntN(16) {
		case 0:
			text, method = strings.Replace(text, "GET", "HEAD", 1), http.MethodHead
		case 1:
			text = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nGET / HTT", uri)
		case 2:
			text = fmt.Sprintf("POST %s HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n5\r\nGET /\r\n0\r\n\r\n", uri)
		case 3:
			text = fmt.Sprintf("OPTIONS * HTTP/1.1\r\nHost: h\r\nX-N: %d\r\n\r\n", i)
		case 4:
			closes = true
			text = []string{
				get(uri + " x"), "GET / HTTP/1.1\r\n\r\n", strings.Replace(text, "1.1", "1.0", 1), "\r\n" + text,
				strings.Replace(text, "Host: h", "Host: h\r\nConnection: close", 1), get("/abort"), get("/close"),
			}[r.IntN(7)]
		}
		texts, methods = append(texts, text), append(methods, method)
	}
	return texts, methods, closes
}

// answers sends the requests in the pieces and returns all answers up to the end of the connection.
func (x *site) answers(t *testing.T, pieces, methods []string) (out []string) {
	c := x.dial(t)
	go func() {
		for _, p := range pieces {
			if _, err := io.WriteString(c.Conn, p); err != nil {
				return
			}
			time.Sleep(time.Duration(len(p)) * time.Microsecond)
		}
	}()
	for _, m := range methods {
		got, err := c.read(m)
		if err != nil {
			return append(out, "end")
		}
		out = append(out, fmt.Sprintf("%.60s, %d bytes, sum %x", got, len(got), crc32.ChecksumIEEE([]byte(got))))
	}
	return out
}

// Guards against any difference from a server that serves requests one after the other.
func TestRandomRequestsAreAnsweredAsByAPlainServer(t *testing.T) {
	ahead, plain := newSite(t, true), newSite(t, false)
	ahead.delay = 2 * time.Millisecond // so that further requests arrive meanwhile
	var pipelined atomic.Int64
	ahead.s.OnPipelined = func(net.Addr, bool) { pipelined.Add(1) }
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		texts, methods, closes := randomRequests(r)
		pieces := []string{strings.Join(texts, "")}
		for !closes && len(pieces[len(pieces)-1]) > 0 { // bytes after the close would reset the connection and may discard answers
			last := pieces[len(pieces)-1]
			n := min(1+r.IntN(1+r.IntN(400)), len(last))
			pieces = append(pieces[:len(pieces)-1], last[:n], last[n:])
		}
		want := plain.answers(t, pieces, methods)
		qt.Assert(t, ahead.answers(t, pieces, methods), qt.DeepEquals, want, qt.Commentf("seed %d: %q", seed, texts))
		for len(ahead.arrived)+len(plain.arrived) > 0 {
			select {
			case <-ahead.arrived:
			case <-plain.arrived:
			}
		}
	}
	qt.Assert(t, pipelined.Load() > 100, qt.IsTrue, qt.Commentf("%d", pipelined.Load()))
}

// BenchmarkSequentialRequests measures clients that don't pipeline, with this package and without it.
func BenchmarkSequentialRequests(b *testing.B) {
	for name, ahead := range map[string]bool{"plain": false, "ahead": true} {
		b.Run(name, func(b *testing.B) {
			x := newSite(b, ahead)
			x.arrived = nil
			c := x.dial(b)
			_ = c.SetDeadline(time.Time{})
			req, buf := []byte(get("/")), make([]byte, 4096)
			b.ReportAllocs()
			before := cpuTime(b)
			for b.Loop() {
				_, _ = c.Write(req)
				_, _ = c.Conn.Read(buf)
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the processor time of the process.
func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	qt.Assert(b, unix.Getrusage(unix.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against a request whose end is seen elsewhere than by net/http, so that parts of one are taken for another.
func FuzzHeaderEndIsThatOfNetHTTP(f *testing.F) {
	for _, s := range []string{get("/"), "GET / HTTP/1.1\nHost: h\n\nGET", "\r\n\n" + get("/"), "GET / HTTP/1.0\r\nA: b\r\n c\r\n\r\r\n\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rest := bytes.NewReader(data)
		r := bufio.NewReader(rest)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		var whole, parts headerEnd
		n, ended := whole.next(data)
		qt.Assert(t, ended, qt.IsTrue)
		qt.Assert(t, n, qt.Equals, len(data)-rest.Len()-r.Buffered())
		for i := range n {
			_, ended = parts.next(data[i : i+1])
			qt.Assert(t, ended, qt.Equals, i == n-1)
		}
	})
}
