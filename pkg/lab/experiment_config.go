package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// The config experiment: how many operators race, for how long, and how large the cluster is.
const (
	configTime      = 8 * time.Second
	configOperators = 4
	configServices  = 14
	configSettle    = 4 * time.Second
	configPeriod    = 20 * time.Millisecond
	configThink     = 150 * time.Millisecond
)

// configGraph has many small services, since only their daemons matter.
func configGraph() *Graph {
	g := &Graph{Zones: 3, Retries: 2}
	for i := range configServices {
		g.Services = append(g.Services, Service{Name: fmt.Sprintf("svc%d", i), Servers: 3, Slots: 4, Time: time.Millisecond})
	}
	g.Classes = []Class{{Name: "reads", Tier: 2, Share: 1, Timeout: time.Second, Root: "svc0", Calls: map[string][]Stage{}}}
	return g
}

// configWatch follows the versions that daemons have in force.
type configWatch struct {
	mu       sync.Mutex
	accepted map[int64]time.Time
	slowest  time.Duration
	reverts  int
	last     map[string]int64
	reached  map[int64]int
}

// runConfig lets operators race while the store loses answers; other systems have no configuration.
func runConfig(ctx context.Context, sys System, seed uint64) (Report, error) {
	if sys.Name != NameRockspoke {
		return Report{}, nil
	}
	c, err := sys.Start(ctx, configGraph(), Options{Seed: seed})
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = c.Stop() }()
	w := &configWatch{accepted: map[int64]time.Time{}, last: map[string]int64{}, reached: map[int64]int{}}
	begin := time.Now()
	before := c.controlBytes()
	wctx, stopWatch := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		c.watchVersions(wctx, w)
	}()
	var tally operatorTally
	var wg sync.WaitGroup
	for i := range configOperators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.operate(ctx, w, &tally, i, seed, begin.Add(configTime))
		}()
	}
	c.shakeStore(ctx, seed, begin.Add(configTime))
	wg.Wait()
	clock.Sleep(ctx, configSettle)
	stopWatch()
	<-watched
	var r Report
	r.ConfigInForceS = ptr(w.slowest.Seconds())
	r.ConfigReverts = ptr(w.reverts)
	r.ControlBytesPerS = c.controlRate(before, begin)
	wrong := c.checkSettled(ctx, &tally)
	r.Extra = map[string]float64{
		"daemons": float64(len(c.All())), "accepted": float64(tally.accepted.Load()), "raced": float64(tally.raced.Load()),
		"in_doubt": float64(tally.doubt.Load()), "refused": float64(tally.refused.Load()),
		"wrongly_settled": float64(wrong), "not_in_force": float64(w.missing()),
	}
	return r, nil
}

// operatorTally counts what became of changes, and keeps what operators were told.
type operatorTally struct {
	accepted, raced, doubt, refused atomic.Int64
	mu                              sync.Mutex
	told                            map[string]bool // change id to: told that it was accepted
}

func (t *operatorTally) tell(id string, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.told == nil {
		t.told = map[string]bool{}
	}
	t.told[id] = accepted
}

// operate makes changes at random daemons, each for the version seen there.
func (c *Cluster) operate(ctx context.Context, w *configWatch, t *operatorTally, who int, seed uint64, end time.Time) {
	rnd := rand.New(rand.NewPCG(seed, uint64(100+who)))
	for i := 0; time.Now().Before(end); i++ {
		clock.Sleep(ctx, time.Duration(rnd.Float64()*float64(2*configThink)))
		n := c.All()[rnd.IntN(len(c.All()))].Node
		id := fmt.Sprintf("op%d-%d", who, i)
		doc, err := n.Change(ctx, config.Change{
			Base: n.Document().Version, ID: id, Author: fmt.Sprintf("operator-%d", who),
			Label: &config.LabelEdit{Kind: config.KindService, Name: "svc0", Set: map[string]string{"edit": id}},
		})
		var (
			race  *node.RaceError
			doubt *node.InDoubtError
		)
		switch {
		case err == nil:
			t.accepted.Add(1)
			t.tell(id, true)
			w.accept(doc.Version)
		case errors.As(err, &race):
			t.raced.Add(1)
			t.tell(id, false)
		case errors.As(err, &doubt):
			t.doubt.Add(1)
		default:
			t.refused.Add(1)
			t.tell(id, false)
		}
	}
}

// shakeStore makes the store lose answers, go slow and go down in turn.
func (c *Cluster) shakeStore(ctx context.Context, seed uint64, end time.Time) {
	rnd := rand.New(rand.NewPCG(seed, 12))
	kinds := []store.Faults{{}, {LoseAnswer: true}, {}, {Delay: 100 * time.Millisecond}, {}, {Down: true}}
	for time.Now().Before(end) {
		c.Platform.SetFaults(kinds[rnd.IntN(len(kinds))])
		clock.Sleep(ctx, 300*time.Millisecond)
	}
	c.Platform.SetFaults(store.Faults{})
}

// checkSettled counts the changes of which an operator was told what the table contradicts.
func (c *Cluster) checkSettled(ctx context.Context, t *operatorTally) int {
	wrong := 0
	for id, told := range t.told {
		v, err := c.Entries[0].Node.ChangeVersion(ctx, id)
		if err != nil || (v > 0) != told {
			wrong++
		}
	}
	return wrong
}

func (w *configWatch) accept(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.accepted[version]; !ok {
		w.accepted[version] = time.Now()
	}
}

// watchVersions looks at every daemon's version again and again.
func (c *Cluster) watchVersions(ctx context.Context, w *configWatch) {
	for clock.Sleep(ctx, configPeriod) {
		now := time.Now()
		least := int64(1 << 62)
		w.mu.Lock()
		for _, v := range c.All() {
			have := v.Node.Document().Version
			if have < w.last[v.Info.Name] {
				w.reverts++
			}
			w.last[v.Info.Name] = have
			least = min(least, have)
		}
		for version, since := range w.accepted {
			if w.reached[version] == 0 && least >= version {
				w.reached[version] = 1
				w.slowest = max(w.slowest, now.Sub(since))
			}
		}
		w.mu.Unlock()
	}
}

// missing counts the accepted versions that weren't seen in force everywhere.
func (w *configWatch) missing() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for version := range w.accepted {
		if w.reached[version] == 0 {
			n++
		}
	}
	return n
}
