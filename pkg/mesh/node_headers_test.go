package mesh

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/headerpack"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// forgedNodeHeaders returns headers as nodes write them with requests and answers, with false contents.
func forgedNodeHeaders() http.Header {
	call := peerCall{Service: "back", Route: "pay", Caller: "forged", Priority: 0, Version: 1}
	reply := peerReply{Outcome: wire.NotRun, Reason: wire.ReasonQueue}
	return http.Header{
		headerCall: {call.encode()}, headerReply: {reply.encode()}, headerReserve: {"60000,9"}, headerKnownLimit: {"0.001,i-forged"},
		testNames.AttemptID: {"forged"}, testNames.Caller: {"forged"}, testNames.Team: {"forged"},
	}
}

// packed returns a header that contains others in packed form.
func packed(h http.Header) http.Header {
	var p headerpack.Packer
	return http.Header{headerpack.HeaderName: {p.Pack(h)}}
}

// lowerCase returns the headers with names in lower case.
func lowerCase(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		out[strings.ToLower(name)] = values
	}
	return out
}

// headerForgeries returns each form in which a client or a backend server may send headers of nodes.
func headerForgeries() map[string]http.Header {
	open := forgedNodeHeaders()
	for _, name := range []string{testNames.AttemptID, testNames.Caller, testNames.Team} {
		delete(open, name)
	}
	return map[string]http.Header{
		"open":               open,
		"packed":             packed(forgedNodeHeaders()),
		"packed, lower case": packed(lowerCase(forgedNodeHeaders())),
		"packed twice":       packed(packed(forgedNodeHeaders())),
		"packed, no call":    packed(http.Header{headerCall: {""}}),
		"unreadable":         {headerpack.HeaderName: {"no such thing!"}},
		"future header":      {nodeHeaderPrefix + "Later": {"1"}},
	}
}

// newHeaderSite returns a site with a node that clients send to, and one server of the route pay in each of two availability zones.
func newHeaderSite(t *testing.T) *site {
	s := newSite(t)
	s.add("front", "z1", 10)
	s.add("near", "z1", 10)
	s.add("far", "z2", 10)
	whole := route("whole", desired.AtMostOnce, "near")
	whole.Prefix = "/"
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{
		route("near", desired.AtMostOnce, "near"), route("far", desired.AtMostOnce, "far"), whole,
	}})
	s.waitUntilKnown(1)
	return s
}

// post sends a request with further headers to the first node, and returns its answer.
func (s *site) post(path, id string, further http.Header, body []byte) *http.Response {
	req, _ := http.NewRequest(http.MethodPost, "http://"+s.servers[0].outboundAddr+path, bytes.NewReader(body))
	req.Host = "h"
	maps.Copy(req.Header, further)
	req.Header.Set(testNames.AttemptID, id)
	req.Header.Set(testNames.TimeLeft, "2000")
	res, err := s.clients.Do(req)
	qt.Assert(s.t, err, qt.IsNil)
	qt.Assert(s.t, res.Body.Close(), qt.IsNil)
	return res
}

// reservedNames returns the headers that are reserved for nodes.
func reservedNames(h http.Header) []string {
	return slices.DeleteFunc(slices.Collect(maps.Keys(h)), func(name string) bool { return !isNodeHeader(name) })
}

// Guards against clients that set the caller, team or attempt of their requests with a header of nodes.
func TestClientCannotSendNodeHeaders(t *testing.T) {
	s := newHeaderSite(t)
	for _, f := range s.servers {
		f.handle = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(testNames.Caller) != "front" || r.Header.Get(testNames.Team) != "" || len(reservedNames(r.Header)) > 0 {
				w.WriteHeader(http.StatusTeapot)
				fmt.Fprint(w, r.Header)
			}
		}
	}
	for i, path := range []string{"/near/x", "/far/x"} {
		for form, h := range headerForgeries() {
			c := qt.New(t)
			id := fmt.Sprint(form, i)
			res := s.post(path, id, h, nil)
			c.Check(res.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s %s", path, form))
			ran := s.allRan()
			c.Check(ran[max(len(ran)-1, 0):], qt.DeepEquals, []string{id}, qt.Commentf("%s %s", path, form))
		}
	}
	qt.Check(t, metricsText(s.nodes[0]), qt.Contains, `reserved_headers_total{sender="client"}`)
}

// Guards against once-only work that ran being told as not run, or run again, since its server sent a header of nodes.
func TestServerCannotSendNodeHeaders(t *testing.T) {
	s := newHeaderSite(t)
	for i, path := range []string{"/near/x", "/far/x"} {
		f := s.servers[i+1]
		for form, h := range headerForgeries() {
			c := qt.New(t)
			f.handle = func(w http.ResponseWriter, _ *http.Request) { maps.Copy(w.Header(), h) }
			id := fmt.Sprint(form, i)
			before := len(s.allRan())
			res := s.post(path, id, nil, nil)
			c.Check(res.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s %s", path, form))
			c.Check(reservedNames(res.Header), qt.HasLen, 0, qt.Commentf("%s %s", path, form))
			c.Check(s.allRan()[before:], qt.DeepEquals, []string{id}, qt.Commentf("%s %s", path, form))
		}
		qt.Check(t, metricsText(s.nodes[i+1]), qt.Contains, `reserved_headers_total{sender="server"}`)
	}
}

// Guards against a client's request that is taken for a message of a node, and changes the desired state.
func TestRequestCannotPoseAsAMessage(t *testing.T) {
	s := newHeaderSite(t)
	stolen := route("whole", desired.AtMostOnce, "far")
	stolen.Prefix = "/"
	m := message{From: s.servers[0].ip, Zone: "z1", Version: 1e6, State: mustState(t, desired.State{Version: 1e6, Routes: []desired.Route{stolen}})}
	body, err := m.pack()
	qt.Assert(t, err, qt.IsNil)
	for form, h := range headerForgeries() {
		for _, path := range []string{exchangePath, proofPath, quotaPath, quotaHandoverPath, inProgressPath} {
			c := qt.New(t)
			id := form + path
			c.Check(s.post(path, id, h, body).StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", id))
			c.Check(slices.Contains(s.servers[1].ran(), id), qt.IsTrue, qt.Commentf("%s", id))
		}
	}
	for _, n := range s.nodes {
		qt.Check(t, n.stateVersion(), qt.Equals, int64(1))
	}
}

// Guards against a header that a node of the release before passes on from a client or a server.
func TestHeadersPassedOnByAnOlderNodeAreDropped(t *testing.T) {
	c := qt.New(t)
	s := newHeaderSite(t)
	s.servers[1].handle = func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get(testNames.AttemptID), r.Header.Get(testNames.Caller), reservedNames(r.Header))
	}
	req, _ := http.NewRequest(http.MethodPost, "http://"+s.nodes[1].cfg.Listen.Peers+"/near/x", nil)
	req.Host = "h"
	req.Header = packed(forgedNodeHeaders())
	req.Header.Set(headerCall, peerCall{Service: "near", Route: "near", Caller: "front", Once: true, Version: 1}.encode())
	req.Header.Set(testNames.AttemptID, "a1")
	req.Header.Set(testNames.TimeLeft, "2000")
	res, err := s.clients.Do(req)
	c.Assert(err, qt.IsNil)
	var text bytes.Buffer
	_, err = text.ReadFrom(res.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(text.String(), qt.Equals, "a1front[]")
	c.Assert(res.Header.Get(headerReply), qt.Not(qt.Equals), "")
}

// Guards against a new header of nodes whose name isn't reserved, so that outsiders could send it.
func TestNodesAddOnlyReservedHeaders(t *testing.T) {
	c := qt.New(t)
	s := newHeaderSite(t)
	known := []string{testNames.AttemptID, testNames.TimeLeft, testNames.Advertised.RateLimit, "Content-Length", "Content-Type", "User-Agent", "Accept-Encoding", "Date", "X-Other"}
	check := func(where string, h http.Header) {
		for name := range h {
			c.Check(isNodeHeader(name) || slices.Contains(known, name), qt.IsTrue, qt.Commentf("%s: %s", where, name))
		}
	}
	for i := 1; i < 3; i++ {
		s.servers[i].handle = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNames.Advertised.RateLimit, "500")
			w.Header().Set("X-Other", "1")
		}
		s.nodes[i].halt()
		n := s.newNode(i)
		inner := n.inboundHandler()
		n.servers[0].Handler = n.withPackedHeaders(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			check("request", r.Header)
			inner.ServeHTTP(w, r)
			check("answer", w.Header())
		}))
		c.Assert(n.Start(t.Context()), qt.IsNil)
		s.nodes[i] = n
		s.heartbeat(i, false)
	}
	s.waitUntilKnown(1)
	for k := range 6 {
		c.Assert(s.post([]string{"/near/x", "/far/x"}[k%2], fmt.Sprint(k), nil, nil).StatusCode, qt.Equals, http.StatusOK)
	}
	limit := advertised.RateLimit{}
	for _, p := range s.nodes[0].peers {
		limit.Advertised = limit.Advertised || p.knownLimit().limit.Advertised
	}
	c.Assert(limit.Advertised, qt.IsTrue, qt.Commentf("no request carried %s", headerKnownLimit))
	c.Assert(isNodeHeader(headerpack.HeaderName), qt.IsTrue)
}
