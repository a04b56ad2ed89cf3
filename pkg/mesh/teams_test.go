package mesh

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// newTeamSite returns nodes in zones, with a backend server each, whose settings allow teams and strict revocation.
func newTeamSite(t testing.TB, zones, perZone int, revoke time.Duration) *site {
	s := newMemorySite(t)
	s.firstStart = true
	var names []string
	for z := range zones {
		names = append(names, fmt.Sprint("z", z))
	}
	s.tune = func(m *settings.Mesh) {
		m.StrictRevoke, m.Revoke = true, revoke
		m.QuotaWindow, m.QuotaExcess, m.QuotaSlack, m.Zones = 5*time.Second, 0.1, 20, names
	}
	for z := range zones {
		for range perZone {
			s.add("a", names[z], 50)
		}
	}
	return s
}

// publicRoute returns the route as a public one.
func publicRoute(r desired.Route) desired.Route {
	r.Public = true
	return r
}

// teamState returns a state with two teams and a public route, after the given change.
func teamState(version int64, change func(s *desired.State)) desired.State {
	s := desired.State{
		Version: version,
		Routes:  []desired.Route{route("read", desired.Repeatable, "a"), publicRoute(route("open", desired.Repeatable, "a"))},
		Teams: []desired.Team{
			{Name: "blue", Keys: []desired.Key{"kb1", "kb2"}, Priority: 1},
			{Name: "red", Keys: []desired.Key{"kr1"}},
		},
	}
	if change != nil {
		change(&s)
	}
	return s
}

// send sends a request with extra headers to a node; it returns the status, 0 if the connection broke, and the header of the answer.
func (s *site) send(i int, path, id string, header http.Header) (int, http.Header) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+s.servers[i].outboundAddr+path, nil)
	req.Host = "h"
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set(testNames.AttemptID, id)
	req.Header.Set(testNames.TimeLeft, strconv.Itoa(5000))
	res, err := s.clients.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	return res.StatusCode, res.Header
}

// withKey returns a header with the given keys.
func withKey(keys ...string) http.Header {
	h := http.Header{}
	for _, k := range keys {
		h.Add(testNames.Key, testNames.KeyScheme+" "+k)
	}
	return h
}

// waitUntilAccepted waits until every node accepts a key.
func (s *site) waitUntilAccepted(key string) {
	s.t.Helper()
	s.waitFor("all nodes accept the key", func() bool {
		for i := range s.nodes {
			if status, _ := s.send(i, "/read/x", fmt.Sprint("first", i), withKey(key)); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// newServingTeamSite returns a team site whose nodes accept the keys of the first state.
func newServingTeamSite(t testing.TB, zones, perZone int, revoke time.Duration) *site {
	s := newTeamSite(t, zones, perZone, revoke)
	s.store.put(teamState(1, nil))
	s.waitUntilKnown(1)
	s.waitUntilAccepted("kb1")
	return s
}

// recordedHeaders records the headers that backend servers receive.
type recordedHeaders struct {
	mu  sync.Mutex
	all []http.Header
}

// record is a handler that records the header of a request and answers it.
func (s *recordedHeaders) record(f *fakeServer, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, r.Header.Clone())
	fmt.Fprint(w, "ok")
}

// last returns the header of the latest request.
func (s *recordedHeaders) last() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[len(s.all)-1]
}

func TestServersSeeTheTeamAndNeverTheKey(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testServersSeeTheTeamAndNeverTheKey)
}

func testServersSeeTheTeamAndNeverTheKey(t *testing.T) {
	c := qt.New(t)
	s := newServingTeamSite(t, 2, 1, 5*time.Second)
	var seen recordedHeaders
	s.handleAll(seen.record)
	forged := func(h http.Header) http.Header {
		h["X-Team"] = []string{"red"}
		h["x-team"] = []string{"red"}
		h["X-TEAM"] = []string{"red"}
		h["X_Team"] = []string{"red"}
		return h
	}
	for i := range 4 { // at each node, and at the server of the other one
		status, _ := s.send(i%2, "/read/x", fmt.Sprint("t", i), forged(withKey("kb2")))
		c.Assert(status, qt.Equals, http.StatusOK)
		h := seen.last()
		c.Check(h[testNames.Team], qt.DeepEquals, []string{"blue"})
		c.Check(h["X_team"], qt.IsNil)
		c.Check(fmt.Sprint(h), qt.Not(qt.Contains), "kb")
		status, _ = s.send(i%2, "/open/x", fmt.Sprint("p", i), forged(withKey("kb2")))
		c.Assert(status, qt.Equals, http.StatusOK)
		h = seen.last()
		c.Check(h[testNames.Team], qt.IsNil)
		c.Check(fmt.Sprint(h), qt.Not(qt.Contains), "kb")
	}
}

func TestRequestsWithoutAValidKeyDoNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testRequestsWithoutAValidKeyDoNotRun)
}

func testRequestsWithoutAValidKeyDoNotRun(t *testing.T) {
	c := qt.New(t)
	s := newServingTeamSite(t, 1, 2, 5*time.Second)
	for name, h := range map[string]http.Header{
		"none": {}, "unknown": withKey("nobody"), "empty": withKey(""), "twice": withKey("kr1", "kr1"),
		"other scheme": {testNames.Key: {"Bearer kr1"}}, "no scheme": {testNames.Key: {"kr1"}},
		"long": withKey(strings.Repeat("k", 9000)), "blank behind": withKey("kr1 "), "two": withKey("kr1 kb1"), "comma": withKey("kr1,kb1"),
	} {
		id := strings.ReplaceAll(name, " ", "-")
		status, header := s.send(0, "/read/x?key=kr1", id, h)
		if name == "blank behind" { // the protocol takes blanks off the end of a header
			c.Check(status, qt.Equals, http.StatusOK)
			continue
		}
		c.Check(status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%s", name))
		c.Check(header.Get("Retry-After"), qt.Equals, "")
		c.Check(slices.Contains(s.allRan(), id), qt.IsFalse)
	}
	status, _ := s.send(0, "/open/x", "public", http.Header{})
	c.Check(status, qt.Equals, http.StatusOK)
}

func TestKeyMovesToAnotherTeamAndTeamsAreRemoved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testKeyMovesToAnotherTeamAndTeamsAreRemoved)
}

func testKeyMovesToAnotherTeamAndTeamsAreRemoved(t *testing.T) {
	c := qt.New(t)
	s := newServingTeamSite(t, 1, 2, 5*time.Second)
	var seen recordedHeaders
	s.handleAll(seen.record)
	s.store.put(teamState(2, func(st *desired.State) {
		st.Teams[0].Keys = []desired.Key{"kb2"}
		st.Teams[1].Keys = []desired.Key{"kr1", "kb1"}
	}))
	s.waitUntilKnown(2)
	status, _ := s.send(0, "/read/x", "moved", withKey("kb1"))
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(seen.last()[testNames.Team], qt.DeepEquals, []string{"red"})
	s.store.put(teamState(3, func(st *desired.State) { st.Teams = nil }))
	s.waitUntilKnown(3)
	s.waitFor("keys of no team are refused", func() bool {
		status, _ := s.send(0, "/read/x", "gone", withKey("kr1"))
		return status == http.StatusUnauthorized
	})
}

// While the store rejects all nodes, a removed key is accepted for no longer than the revocation bound. Keys are accepted again soon after the
// store is back, and public routes are served throughout.
func TestKeysFailClosedWhileTheStoreIsUnreachable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testKeysFailClosedWhileTheStoreIsUnreachable)
}

func testKeysFailClosedWhileTheStoreIsUnreachable(t *testing.T) {
	c := qt.New(t)
	const revoke = 1500 * time.Millisecond
	s := newServingTeamSite(t, 2, 2, revoke)
	for _, n := range s.nodes {
		s.store.setRejected(n.ip, true)
	}
	s.store.put(teamState(2, func(st *desired.State) { st.Teams[0].Keys = nil }))
	confirmed := time.Now()
	served := 0
	for time.Since(confirmed) < 2*revoke {
		for i := range s.nodes {
			sent := time.Now()
			id := fmt.Sprint("r", i, sent.UnixNano())
			status, _ := s.send(i, "/read/x", id, withKey("kb1"))
			late := sent.Sub(confirmed) > revoke
			c.Assert(late && status == http.StatusOK, qt.IsFalse, qt.Commentf("node %d served the key %v after it was removed", i, sent.Sub(confirmed)))
			c.Assert(status, qt.Not(qt.Equals), http.StatusUnauthorized)
			if status == http.StatusOK {
				served++
			}
			status, _ = s.send(i, "/open/x", id+"p", http.Header{})
			c.Assert(status, qt.Equals, http.StatusOK)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(served > 0, qt.IsTrue) // served for as long as is safe
	for _, n := range s.nodes {
		s.store.setRejected(n.ip, false)
	}
	back := time.Now()
	s.waitUntilAccepted("kr1")
	c.Check(time.Since(back) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(back)))
	status, _ := s.send(0, "/read/x", "old", withKey("kb1"))
	c.Check(status, qt.Equals, http.StatusUnauthorized)
}

// A node that the store rejects keeps accepting keys with the freshness proofs of other nodes.
func TestNodesRejectedByTheStoreUseProofsOfPeers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testNodesRejectedByTheStoreUseProofsOfPeers)
}

func testNodesRejectedByTheStoreUseProofsOfPeers(t *testing.T) {
	c := qt.New(t)
	const revoke = 1500 * time.Millisecond
	s := newServingTeamSite(t, 2, 3, revoke)
	for _, n := range s.nodes[:3] {
		s.store.setRejected(n.ip, true) // all nodes of one zone
	}
	for end := time.Now().Add(2 * revoke); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range s.nodes {
			status, _ := s.send(i, "/read/x", fmt.Sprint("r", i, time.Now().UnixNano()), withKey("kb1"))
			c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("node %d", i))
		}
	}
}

// A team's requests stay within its quota over all nodes, and other teams aren't affected.
func TestQuotaOverAllNodes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testQuotaOverAllNodes)
}

func testQuotaOverAllNodes(t *testing.T) {
	c := qt.New(t)
	s := newTeamSite(t, 3, 4, 5*time.Second)
	s.store.put(teamState(1, func(st *desired.State) {
		st.Teams[0].Rate, st.Teams[0].Burst = 100, 50
		st.Teams[1].Rate, st.Teams[1].Burst = 100, 50
	}))
	s.waitUntilKnown(1)
	s.waitUntilAccepted("kb1")
	time.Sleep(3 * time.Second) // the buckets fill
	const span = 5 * time.Second
	var ran, refusedOther, sent [2]int
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(time.Millisecond) {
		due := int(time.Since(begun).Seconds() * 330)
		for ; sent[0] < due; sent[0]++ {
			status, h := s.send(sent[0]%len(s.nodes), "/read/x", fmt.Sprint("b", sent[0]), withKey("kb1"))
			switch status {
			case http.StatusOK:
				ran[0]++
			case http.StatusTooManyRequests:
				c.Assert(h.Get("Retry-After"), qt.Not(qt.Equals), "")
			default:
				t.Fatalf("status %d", status)
			}
			if sent[0]%4 == 0 { // 82 a second
				if status, _ := s.send(sent[0]%len(s.nodes), "/read/x", fmt.Sprint("r", sent[0]), withKey("kr1")); status != http.StatusOK {
					refusedOther[0]++
				}
			}
		}
	}
	c.Check(ran[0] <= 625, qt.IsTrue, qt.Commentf("%d ran", ran[0]))
	c.Check(ran[0] >= 475, qt.IsTrue, qt.Commentf("%d ran", ran[0]))
	c.Check(refusedOther[0], qt.Equals, 0)
}

// Keys appear neither in logs nor in a dump.
func TestKeysAreNotShown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testKeysAreNotShown)
}

func testKeysAreNotShown(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	s := newMemorySite(t)
	s.log, s.firstStart = &log, true
	s.tune = func(m *settings.Mesh) { m.StrictRevoke, m.Revoke = true, 2*time.Second }
	s.add("a", "z", 5)
	s.store.put(teamState(1, func(st *desired.State) { st.Teams[0].Keys = []desired.Key{"very-secret"} }))
	s.waitUntilKnown(1)
	s.waitUntilAccepted("very-secret")
	s.store.put(teamState(2, func(st *desired.State) {
		st.Teams[0].Keys, st.Teams[1].Keys = []desired.Key{"very-secret"}, []desired.Key{"very-secret"}
	}))
	s.waitFor("the fault is logged", func() bool { return strings.Contains(log.String(), "can't be read") })
	c.Check(log.String(), qt.Contains, "red key")
	c.Check(log.String(), qt.Not(qt.Contains), "very-secret")
	c.Check(fmt.Sprintf("%+v", s.nodes[0].Dump()), qt.Not(qt.Contains), "very-secret")
	c.Check(s.nodes[0].stateVersion(), qt.Equals, int64(1))
	status, _ := s.send(0, "/read/x", "still", withKey("very-secret"))
	c.Check(status, qt.Equals, http.StatusOK)
}

// Without teams the key header is passed on like any other.
func TestWithoutTeamsHeadersPassThrough(t *testing.T) {
	c := qt.New(t)
	s := newThreeServerSite(t)
	var seen recordedHeaders
	s.handleAll(seen.record)
	h := withKey("k")
	h[testNames.Team] = []string{"x"}
	status, _ := s.send(0, "/read/x", "plain", h)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(seen.last()[testNames.Key], qt.DeepEquals, h[testNames.Key])
	c.Check(seen.last()[testNames.Team], qt.DeepEquals, []string{"x"})
}

// BenchmarkAuthenticate measures the check of a key, by the number of keys in the desired state.
func BenchmarkAuthenticate(b *testing.B) {
	for _, keys := range []int{0, 1, 100_000} {
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			st := desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}}
			for i := range keys {
				st.Teams = append(st.Teams, desired.Team{Name: fmt.Sprint("t", i), Keys: []desired.Key{desired.Key(fmt.Sprint("k", i))}})
			}
			state, err := desired.New(st)
			qt.Assert(b, err, qt.IsNil)
			n := &Node{names: testNames, cfg: settings.Settings{Mesh: &settings.Mesh{}}}
			r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://h/read/x", nil)
			r.Header = withKey("k0")
			b.ReportAllocs()
			for range b.N {
				if _, refusal := n.authenticate(r, state, &state.Routes[0]); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// A quota owner in a planned stop hands its remaining tokens over, so that the next owner needn't wait.
func TestStoppingQuotaOwnerHandsOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testStoppingQuotaOwnerHandsOver)
}

func testStoppingQuotaOwnerHandsOver(t *testing.T) {
	c := qt.New(t)
	s := newTeamSite(t, 1, 3, 5*time.Second)
	s.store.put(teamState(1, func(st *desired.State) { st.Teams[0].Rate, st.Teams[0].Burst = 10, 10 }))
	s.waitUntilKnown(1)
	s.waitUntilAccepted("kb1")
	ownsTeam := func(n *Node) bool {
		n.quotas.mu.Lock()
		defer n.quotas.mu.Unlock()
		return n.quotas.owner.Owns("blue")
	}
	var first, next *Node
	s.waitFor("one node owns the team", func() bool {
		owning := 0
		for _, n := range s.nodes {
			if ownsTeam(n) {
				first = n
				owning++
			}
		}
		return owning == 1
	})
	time.Sleep(2 * time.Second) // its bucket fills
	var stopping sync.WaitGroup
	stopping.Go(func() { c.Check(first.Stop(context.Background()), qt.IsNil) })
	s.waitFor("another node owns the team", func() bool {
		for _, n := range s.nodes {
			if n != first && ownsTeam(n) {
				next = n
				return true
			}
		}
		return false
	})
	taken := 0
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end) && taken == 0; time.Sleep(10 * time.Millisecond) {
		taken = next.grantTokens(&quotaRequest{Team: "blue", Want: 1, Zone: next.cfg.Zone}).Tokens
	}
	c.Check(taken, qt.Equals, 1)
	stopping.Wait()
}

// After a suspension of the VM no key is accepted with an older freshness proof, from the first request on, and the tokens that the node
// holds have expired.
func TestSuspensionInvalidatesFreshnessProofAndTokens(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testSuspensionInvalidatesFreshnessProofAndTokens)
}

func testSuspensionInvalidatesFreshnessProofAndTokens(t *testing.T) {
	c := qt.New(t)
	s := newMemorySite(t)
	s.firstStart = true
	s.tune = func(m *settings.Mesh) {
		m.StrictRevoke, m.Revoke = true, 5*time.Second
		m.QuotaWindow, m.QuotaExcess, m.QuotaSlack, m.Zones = 5*time.Second, 0.1, 20, []string{"z0"}
	}
	k := &suspendableClock{}
	s.clocks = map[string]*suspendableClock{s.base + "1": k}
	s.add("a", "z0", 10)
	s.store.put(teamState(1, func(st *desired.State) { st.Teams[0].Rate, st.Teams[0].Burst = 100, 100 }))
	s.waitUntilKnown(1)
	s.waitUntilAccepted("kb1")
	n := s.nodes[0]
	n.quotas.mu.Lock()
	n.quotas.pool.AddGranted(clock.BootNow(k), "blue", 5)
	n.quotas.mu.Unlock()
	s.store.setRejected(n.ip, true)
	for i := range 20 { // a request or the control goroutine may notice the suspension first
		k.suspended.Add(int64(10 * time.Second))
		status, _ := s.send(0, "/read/x", fmt.Sprint("after", i), withKey("kb1"))
		c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
		n.quotas.mu.Lock()
		ok, _ := n.quotas.pool.Take(clock.BootNow(k), "blue")
		n.quotas.mu.Unlock()
		c.Assert(ok, qt.IsFalse)
	}
}
