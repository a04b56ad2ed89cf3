package mesh

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// uploadBytes is the size of the bodies: more than is buffered.
const uploadBytes = 3 * maxBufferedBody

// newUploadSite returns a site whose servers answer with the hash of the body; node 0 has another service than the others, whose route is pay.
func newUploadSite(t *testing.T) *site {
	t.Cleanup(func() { time.Sleep(time.Second) }) // net/http keeps a connection for half a second after an answer to an unread body
	s := newMemorySite(t)
	s.add("front", "z0", 10)
	for i := range 3 {
		s.add("a", fmt.Sprint("z", i), 10)
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a"), route("pay", desired.AtMostOnce, "a")}})
	s.waitUntilKnown(1)
	time.Sleep(startupWait) // requests wait until then
	s.handleAll(func(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		if _, err := io.Copy(h, r.Body); err == nil {
			fmt.Fprintf(w, "%x", h.Sum(nil))
		}
	})
	return s
}

// upload sends a body to a node as a client, and returns the status, the body of the answer and its header.
func (s *site) upload(i int, id string, body io.Reader) (int, string, http.Header) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+s.servers[i].outboundAddr+"/pay/x", body)
	req.Host, req.ContentLength = "h", uploadBytes
	req.Header.Set(testNames.AttemptID, id)
	req.Header.Set(testNames.TimeLeft, "5000")
	res, err := s.clients.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	qt.Check(s.t, err, qt.IsNil)
	return res.StatusCode, string(text), res.Header
}

// gateOf returns the state of a node's gate.
func (s *site) gateOf(i int) (running int, success float64) {
	s.nodes[i].gateMu.Lock()
	defer s.nodes[i].gateMu.Unlock()
	g := s.nodes[i].gate.Snapshot()
	return g.Running, g.SuccessShare
}

// checkUnharmed checks that no slot or buffer is held any more, and that neither a server nor a peer counts as failed.
func (s *site) checkUnharmed() {
	for i, n := range s.nodes {
		running, success := s.gateOf(i)
		qt.Check(s.t, running, qt.Equals, 0)
		qt.Check(s.t, success, qt.Equals, 1.0)
		qt.Check(s.t, n.bodyBytes.held.Load(), qt.Equals, int64(0))
		var text strings.Builder
		n.metrics.writeText(&text)
		qt.Check(s.t, text.String(), qt.Not(qt.Contains), "\nrockspoke_server_ends_total ")
		qt.Check(s.t, text.String(), qt.Not(qt.Contains), "\nrockspoke_peers_aside_total ")
	}
}

// A request whose gate refused it after its body had begun to move failed, although other servers had room.
func TestRefusedUploadGoesToTheNextServer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newUploadSite(t)
		for _, i := range []int{1, 2} {
			s.nodes[i].gateMu.Lock()
			s.nodes[i].gate.Close()
			s.nodes[i].gateMu.Unlock()
		}
		body := bytes.Repeat([]byte("upload"), uploadBytes/6+1)[:uploadBytes]
		for k := range 8 {
			status, text, _ := s.upload(k%4, fmt.Sprint("u", k), bytes.NewReader(body))
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(text, qt.Equals, fmt.Sprintf("%x", sha256.Sum256(body)))
		}
		c.Check(s.allRan(), qt.HasLen, 8)
		s.nodes[3].gateMu.Lock()
		s.nodes[3].gate.Close()
		s.nodes[3].gateMu.Unlock()
		status, _, h := s.upload(0, "v", bytes.NewReader(body))
		c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("all refused it"))
		c.Check(h.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(s.allRan(), qt.HasLen, 8)
		s.checkUnharmed()
	})
}

// A node of the previous release asks for the body at once, before its gate.
func TestUploadToANodeThatIgnoresExpect(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newUploadSite(t)
		for i := 1; i < 4; i++ {
			s.nodes[i].halt()
			n := s.newNode(i)
			next := n.servers[0].Handler
			n.servers[0].Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Header.Del("Expect")
				next.ServeHTTP(w, r)
			})
			c.Assert(n.Start(context.Background()), qt.IsNil)
			s.nodes[i] = n
			s.heartbeat(i, false)
		}
		time.Sleep(3 * time.Second)
		body := bytes.Repeat([]byte("b"), uploadBytes)
		for k := range 4 {
			status, text, _ := s.upload(0, fmt.Sprint("u", k), bytes.NewReader(body))
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(text, qt.Equals, fmt.Sprintf("%x", sha256.Sum256(body)))
		}
		c.Check(s.allRan(), qt.HasLen, 4)
	})
}

// senderConn sends an upload to the node of a server as another node does, and returns the connection once the node has asked for the body.
func (s *site) senderConn(i int, id string) net.Conn {
	c := qt.New(s.t)
	conn, err := s.network.dial(context.Background(), s.servers[0].ip, s.at(s.servers[i].ip, 0), 0)
	c.Assert(err, qt.IsNil)
	head := "POST /pay/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: " + strconv.Itoa(uploadBytes) + "\r\n" +
		headerCall + ": " + peerCall{Service: "a", Route: "pay", Once: true, Version: 1}.encode() + "\r\n" +
		testNames.AttemptID + ": " + id + "\r\n" + testNames.TimeLeft + ": 5000\r\n\r\n"
	_, err = io.WriteString(conn, head)
	c.Assert(err, qt.IsNil)
	const asked = "HTTP/1.1 100 Continue\r\n\r\n"
	got := make([]byte, len(asked))
	_, err = io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, asked)
	return conn
}

// A sender that dies must not leave a slot in use, and its loss isn't the server's fault.
func TestSenderDiesDuringAnUpload(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newUploadSite(t)
		conn := s.senderConn(1, "before")
		running, _ := s.gateOf(1)
		c.Check(running, qt.Equals, 1, qt.Commentf("it passed the gate before its body was read"))
		conn.Close()
		time.Sleep(50 * time.Millisecond)
		c.Check(s.allRan(), qt.HasLen, 0, qt.Commentf("without its body it isn't sent to the server"))
		s.checkUnharmed()

		conn = s.senderConn(1, "during")
		_, err := conn.Write(make([]byte, 2*maxBufferedBody))
		c.Assert(err, qt.IsNil)
		conn.Close()
		time.Sleep(50 * time.Millisecond)
		c.Check(s.allRan(), qt.DeepEquals, []string{"during"})
		s.checkUnharmed()
	})
}

// stallingReader returns n bytes and then nothing until it is closed.
type stallingReader struct {
	n      int
	closed chan struct{}
}

func (r *stallingReader) Read(p []byte) (int, error) {
	if r.n == 0 {
		<-r.closed
		return 0, io.ErrUnexpectedEOF
	}
	k := min(r.n, len(p))
	r.n -= k
	return k, nil
}

// A body that stalls must end only its own request, soon, and with a true answer: before the server got any of it the request hasn't run.
func TestStalledUploadFreesItsSlot(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct {
		sent, entry int
		statuses    []int
		ran         []string
	}{
		"at the entry": {maxBufferedBody / 2, 0, []int{http.StatusRequestTimeout}, nil},
		// net/http cancels the request when its body can't be read, so that either may come first.
		"at another node's server": {2 * maxBufferedBody, 0, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, []string{"u"}},
		"at the local server":      {2 * maxBufferedBody, 1, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, []string{"u"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newUploadSite(t)
				body := &stallingReader{x.sent, make(chan struct{})}
				defer close(body.closed)
				begun := time.Now()
				status, _, h := s.upload(x.entry, "u", body)
				took := time.Since(begun)
				c.Check(x.statuses, qt.Contains, status)
				c.Check(h.Get("Retry-After"), qt.Equals, "")
				c.Check(took > bodyStallTime-2*stallPrecision && took < bodyStallTime+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
				time.Sleep(50 * time.Millisecond)
				c.Check(s.allRan(), qt.DeepEquals, x.ran)
				s.checkUnharmed()
			})
		})
	}
}

// A sender that falls silent without closing its connection must not hold a slot until the request's time limit.
func TestSilentSenderFreesItsSlot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newUploadSite(t)
		conn := s.senderConn(1, "u")
		defer conn.Close()
		go io.Copy(io.Discard, conn)
		time.Sleep(bodyStallTime + 50*time.Millisecond)
		qt.Check(t, s.allRan(), qt.HasLen, 0)
		s.checkUnharmed()
	})
}

// Bodies must not use up the memory of a small VM.
func TestBodiesOverTheBoundAreRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newUploadSite(t)
		s.nodes[0].bodyBytes.take(maxHeldBodyBytes - uploadBytes/2 + 1)
		status, _, _ := s.upload(0, "u", bytes.NewReader(make([]byte, uploadBytes)))
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("of a long body only the start is held"))
		s.nodes[0].bodyBytes.take(uploadBytes/2 - 1 - maxBufferedBody)
		status, _, h := s.upload(0, "v", bytes.NewReader(make([]byte, uploadBytes)))
		c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(h.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(h.Get(wire.HeaderReason), qt.Equals, string(wire.ReasonBodyBytes))
		s.nodes[0].bodyBytes.held.Store(0)
		s.nodes[1].bodyBytes.take(maxHeldBodyBytes)
		s.nodes[2].bodyBytes.take(maxHeldBodyBytes)
		for k := range 6 {
			status, _, _ = s.upload(0, fmt.Sprint("w", k), bytes.NewReader(make([]byte, uploadBytes)))
			c.Check(status == http.StatusOK || status == http.StatusServiceUnavailable, qt.IsTrue)
		}
		c.Check(len(s.servers[1].ran())+len(s.servers[2].ran()) <= 1, qt.IsTrue, qt.Commentf("they run nothing whose body they can't hold"))
	})
}
