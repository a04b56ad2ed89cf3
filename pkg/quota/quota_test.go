package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// testConfig sets what the tests' operator allows beyond a limit.
var testConfig = Config{Window: 5 * time.Second, Excess: 0.1, Slack: 20, Zones: 3}

// fleet is a set of nodes in simulated time that query owners for tokens, as the nodes of a mesh do.
type fleet struct {
	rules        Config
	limit        Limit
	now          time.Time
	nodes        []*fleetNode
	cut          map[int]bool  // zones that are partitioned from the others
	maxViewDelay time.Duration // maximum delay after which nodes learn which nodes they hear
	views        []lateView
	ran          []time.Time
}

type fleetNode struct {
	host  string
	zone  int
	pool  Pool
	owner Owner
	dead  bool
	alone bool // partitioned from all others
	left  bool // shut down in order: no longer a member, and knows it
}

// lateView is a node that learns at a later time which nodes it hears.
type lateView struct {
	at   time.Time
	node *fleetNode
}

const team = "t"

func newFleet(rules Config, limit Limit, perZone int) *fleet {
	f := &fleet{rules: rules, limit: limit, now: time.Unix(1000, 0), cut: map[int]bool{}}
	for zone := range rules.Zones {
		for i := range perZone {
			f.nodes = append(f.nodes, &fleetNode{host: fmt.Sprintf("10.%d.0.%d", zone, i), zone: zone, owner: Owner{Config: rules}})
		}
	}
	for _, n := range f.nodes {
		f.updateView(n, 0)
	}
	return f
}

// pass advances the time and updates the views that are due.
func (f *fleet) pass(d time.Duration) {
	f.now = f.now.Add(d)
	views := f.views
	f.views = nil
	for _, v := range views {
		if v.at.After(f.now) {
			f.views = append(f.views, v)
			continue
		}
		f.updateView(v.node, SettleTime)
	}
}

// hears reports whether node a hears node b.
func (f *fleet) hears(a, b *fleetNode) bool {
	switch {
	case a == b:
		return true
	case a.dead || b.dead || a.alone || b.alone:
		return false
	}
	return a.zone == b.zone || !f.cut[a.zone] && !f.cut[b.zone]
}

// elect schedules each node's choice of owners among the nodes that it hears, with a different delay for each.
func (f *fleet) elect() {
	for i, n := range f.nodes {
		f.views = append(f.views, lateView{f.now.Add(f.maxViewDelay * time.Duration(i*7%10) / 10), n})
	}
	f.pass(0)
}

// updateView makes a node choose the owners and hand over its balances.
func (f *fleet) updateView(n *fleetNode, wait time.Duration) {
	var alive []string
	known := 0
	for _, o := range f.nodes {
		if o.zone != n.zone || o.left {
			continue
		}
		known++
		if f.hears(n, o) {
			alive = append(alive, o.host)
		}
	}
	ring := ChooseOwners(alive)
	limits := map[string]Limit{team: f.limit}
	left := n.owner.UpdateOwnership(f.now, func(shard int) bool { return ring[shard] == n.host }, float64(len(alive))/float64(max(known, 1)), wait, limits)
	for _, b := range left {
		for _, o := range f.nodes {
			if o.host == ring.OwnerOf(team) && f.hears(n, o) {
				o.owner.ReceiveBalance(f.now, b, f.limit)
			}
		}
	}
}

// restart replaces a node's state by an empty one.
func (f *fleet) restart(n *fleetNode) { n.pool, n.owner = Pool{}, Owner{Config: f.rules} }

// request sends a request to a node; it reports whether it ran.
func (f *fleet) request(n *fleetNode) bool {
	if n.dead {
		return false
	}
	ok, want := n.pool.Take(f.now, team)
	if !ok {
		tokens := f.queryOwners(n, want)
		n.pool.AddGranted(f.now, team, tokens)
		ok = tokens > 0
	}
	if ok {
		f.ran = append(f.ran, f.now)
	}
	return ok
}

// queryOwners queries the owner in the node's zone and then those in the others; it returns the tokens granted.
func (f *fleet) queryOwners(n *fleetNode, want int) int {
	for i := range f.rules.Zones {
		zone := (n.zone + i) % f.rules.Zones
		name := fmt.Sprint(zone)
		if !n.pool.MayHaveTokens(f.now, team, name) {
			continue
		}
		for _, o := range f.nodes {
			if o.zone != zone || !f.hears(n, o) || !o.owner.Owns(team) {
				continue
			}
			if zone != n.zone {
				want = 1
			}
			g := o.owner.Grant(f.now, team, f.limit, want, zone != n.zone)
			if g.Tokens > 0 {
				return g.Tokens
			}
			n.pool.MarkEmpty(team, name, f.now.Add(g.Wait))
		}
	}
	return 0
}

// mostIn returns the largest number of requests that ran in any window.
func (f *fleet) mostIn(window time.Duration) int {
	most, first := 0, 0
	for i, t := range f.ran {
		for t.Sub(f.ran[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed returns the documented maximum for a window.
func (f *fleet) allowed() float64 {
	return (f.limit.Rate*f.rules.Window.Seconds()+f.limit.Burst)*(1+f.rules.Excess) + f.rules.Slack
}

// What runs in a window stays within the maximum, whichever nodes are partitioned, killed, restarted or sent requests.
func TestNoWindowHasMoreThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: float64(rapid.IntRange(10, 400).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 400).Draw(t, "burst"))}
		f := newFleet(testConfig, limit, rapid.IntRange(1, 8).Draw(t, "nodes a zone"))
		f.maxViewDelay = SettleTime
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				f.restart(n)
				f.elect()
			case 1:
				n.alone = !n.alone
				f.elect()
			case 2:
				f.cut[n.zone] = !f.cut[n.zone]
				f.elect()
			case 3:
				n.dead = !n.dead
				f.elect()
			case 4, 5:
				for range rapid.IntRange(1, 300).Draw(t, "requests to one node") {
					f.request(n)
				}
			default:
				for i := range rapid.IntRange(1, 300).Draw(t, "requests to all nodes") {
					f.request(f.nodes[i%len(f.nodes)])
					f.pass(time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * time.Millisecond)
				}
			}
			f.pass(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause ms")) * time.Millisecond)
		}
		if most := f.mostIn(testConfig.Window); float64(most) > f.allowed() {
			t.Fatalf("%d ran in a window, at most %.0f may", most, f.allowed())
		}
	})
}

// sendEvenly sends requests at an even rate, to the nodes that next returns, and returns the fraction that ran.
func (f *fleet) sendEvenly(rate float64, span time.Duration, next func(i int) *fleetNode) float64 {
	sent, ran := 0, 0
	for end := f.now.Add(span); f.now.Before(end); sent++ {
		if f.request(next(sent)) {
			ran++
		}
		f.pass(time.Duration(float64(time.Second) / rate))
	}
	return float64(ran) / float64(sent)
}

func TestATeamBelowItsLimitIsNeverRefused(t *testing.T) {
	for _, limit := range []Limit{{10, 10}, {40, 40}, {310, 310}, {100, 50}} {
		for name, next := range map[string]func(f *fleet) func(i int) *fleetNode{
			"in turn":  func(f *fleet) func(int) *fleetNode { return func(i int) *fleetNode { return f.nodes[i%len(f.nodes)] } },
			"one node": func(f *fleet) func(int) *fleetNode { return func(int) *fleetNode { return f.nodes[1] } },
			"one zone": func(f *fleet) func(int) *fleetNode { return func(i int) *fleetNode { return f.nodes[i%20] } },
		} {
			f := newFleet(testConfig, limit, 20)
			f.now = f.now.Add(10 * time.Second)
			served := f.sendEvenly(0.9*limit.Rate, 30*time.Second, next(f))
			qt.Check(t, served, qt.Equals, 1.0, qt.Commentf("%v %s", limit, name))
		}
	}
}

func TestATeamFarOverItsLimitGetsItsLimit(t *testing.T) {
	c := qt.New(t)
	for _, limit := range []Limit{{10, 10}, {40, 40}, {310, 310}, {100, 50}} {
		f := newFleet(testConfig, limit, 20)
		f.now = f.now.Add(10 * time.Second)
		served := f.sendEvenly(7.5*limit.Rate, 30*time.Second, func(i int) *fleetNode { return f.nodes[i%len(f.nodes)] })
		c.Check(served*7.5 >= 0.95, qt.IsTrue, qt.Commentf("%v: %.3f of the limit", limit, served*7.5))
		c.Check(float64(f.mostIn(testConfig.Window)) <= f.allowed(), qt.IsTrue, qt.Commentf("%v", limit))
	}
}

func TestALoweredLimitAppliesAtOnce(t *testing.T) {
	f := newFleet(testConfig, Limit{100, 50}, 4)
	all := func(i int) *fleetNode { return f.nodes[i%len(f.nodes)] }
	f.now = f.now.Add(10 * time.Second)
	f.sendEvenly(330, 5*time.Second, all)
	f.limit = Limit{20, 10}
	f.now = f.now.Add(TokenLifetime)
	f.ran = nil
	f.sendEvenly(330, 20*time.Second, all)
	qt.Check(t, float64(f.mostIn(testConfig.Window)) <= f.allowed(), qt.IsTrue)
}

func TestAPartitionedZoneKeepsItsShare(t *testing.T) {
	c := qt.New(t)
	f := newFleet(testConfig, Limit{100, 50}, 4)
	f.now = f.now.Add(10 * time.Second)
	f.cut[0] = true
	f.elect()
	served := f.sendEvenly(100.0/3*0.9, 10*time.Second, func(i int) *fleetNode { return f.nodes[i%4] })
	c.Check(served, qt.Equals, 1.0)
}

// While nodes leave and join in order, as in a release, a team below its limit is not refused.
func TestOwnersThatChangeInOrderHandOver(t *testing.T) {
	c := qt.New(t)
	for _, limit := range []Limit{{10, 10}, {310, 310}} {
		f := newFleet(testConfig, limit, 12)
		f.maxViewDelay = SettleTime / 2
		f.now = f.now.Add(10 * time.Second)
		served := 0.0
		for i := range 24 {
			leaver := f.nodes[i+i/8*4] // eight of the twelve of each zone
			leaver.left = true
			f.updateView(leaver, SettleTime)
			f.elect()
			served += f.sendEvenly(1.1*limit.Rate, time.Second, func(i int) *fleetNode { return f.nodes[8+i%4+i%3*12] }) / 24
		}
		c.Check(served > 0.99, qt.IsTrue, qt.Commentf("%v: %.3f", limit, served))
	}
}

// Tokens that accrue while a node hears a quarter of its zone are a quarter, also if it hears all nodes again before the next query.
func TestTokensAccrueAtTheFractionThenInForce(t *testing.T) {
	c := qt.New(t)
	o := Owner{Config: testConfig}
	now, limits := time.Unix(1000, 0), map[string]Limit{team: {100, 50}}
	all := func(int) bool { return true }
	o.UpdateOwnership(now, all, 0.25, 0, limits)
	now = now.Add(time.Minute)
	o.UpdateOwnership(now, all, 1, 0, limits)
	g := o.Grant(now, team, limits[team], 1, false)
	c.Assert(g.Tokens, qt.Equals, 1)
	c.Assert(o.buckets[team].level <= testConfig.depth(limits[team])/4, qt.IsTrue, qt.Commentf("%v of %v", o.buckets[team].level, testConfig.depth(limits[team])))
}

func TestShardsMoveOnlyWithTheirOwner(t *testing.T) {
	c := qt.New(t)
	hosts := []string{"a", "b", "c", "d"}
	before, after := ChooseOwners(hosts), ChooseOwners(hosts[:3])
	for shard, owner := range before {
		if owner != "d" {
			c.Check(after[shard], qt.Equals, owner)
		}
	}
	c.Check((*ShardOwners)(nil).OwnerOf(team), qt.Equals, "")
	c.Check(ChooseOwners(nil).OwnerOf(team), qt.Equals, "")
}

func TestExpiredTokensAreNotUsed(t *testing.T) {
	c := qt.New(t)
	var p Pool
	now := time.Unix(1000, 0)
	ok, _ := p.Take(now, team)
	c.Assert(ok, qt.IsFalse)
	p.AddGranted(now, team, 3)
	ok, _ = p.Take(now.Add(TokenLifetime/2), team)
	c.Assert(ok, qt.IsTrue)
	ok, _ = p.Take(now.Add(TokenLifetime), team)
	c.Assert(ok, qt.IsFalse)
}

func BenchmarkTakeHeldToken(b *testing.B) {
	var p Pool
	now := time.Unix(1000, 0)
	p.AddGranted(now, team, 1<<40)
	b.ReportAllocs()
	for range b.N {
		p.Take(now, team)
	}
}

func BenchmarkGrant(b *testing.B) {
	o := Owner{Config: testConfig}
	now := time.Unix(1000, 0)
	o.UpdateOwnership(now, func(int) bool { return true }, 1, 0, nil)
	b.ReportAllocs()
	for i := range b.N {
		o.Grant(now.Add(time.Duration(i)*time.Millisecond), team, Limit{310, 310}, 1, false)
	}
}
