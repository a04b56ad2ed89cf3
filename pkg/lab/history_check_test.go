package lab

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/store"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// onceInput is an event of one key: a start of its work at a backend server, or a caller's answer.
type onceInput struct {
	key     string
	run     bool
	outcome wire.Outcome
}

// onceModel is the register of a key: its work starts at most once, "ran" is said only after that, and
// "not-run" only before.
var onceModel = porcupine.Model{
	Init: func() any { return false },
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range h {
			k := op.Input.(onceInput).key
			by[k] = append(by[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Step: func(state, input, _ any) (bool, any) {
		ran, in := state.(bool), input.(onceInput)
		switch {
		case in.run:
			return !ran, true
		case in.outcome == wire.Ran:
			return ran, ran
		case in.outcome == wire.NotRun:
			return !ran, ran
		default:
			return true, ran
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// onceHistory turns what callers and backend servers saw into operations. A refusal counts at its end,
// since it speaks of all that was before.
func onceHistory(g *Graph, attempts []Attempt, runs []Run) []porcupine.Operation {
	var ops []porcupine.Operation
	for _, a := range attempts {
		if !g.class(a.Class).OnceOnly {
			continue
		}
		start := a.Start
		if a.Outcome == wire.NotRun {
			start = a.End
		}
		ops = append(ops, porcupine.Operation{
			ClientId: 0, Input: onceInput{key: a.Request, outcome: a.Outcome},
			Call: start.UnixNano(), Return: a.End.UnixNano(),
		})
	}
	for _, r := range runs {
		if r.OnceOnly && r.Parent == "" && !r.Started.IsZero() {
			ops = append(ops, porcupine.Operation{
				ClientId: 1, Input: onceInput{key: r.Request, run: true},
				Call: r.Started.UnixNano(), Return: r.Started.UnixNano(),
			})
		}
	}
	return ops
}

func TestOnceOnlyRegisterUnderRandomFaults(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	g := onceGraph()
	cl, err := StartRockspoke(ctx, g, Options{Seed: 5, Settings: shortWindow})
	c.Assert(err, qt.IsNil)
	defer func() { _ = cl.Stop() }()
	const whole = 6 * time.Second
	begin := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		cl.randomFaults(ctx, 5, begin.Add(500*time.Millisecond), begin.Add(whole-time.Second))
	}()
	cl.Run(ctx, Load{Seed: 5, Patience: hardRetries(), OtherEntry: 0.5, Phases: []Phase{{whole, 60}}})
	<-done
	attempts, runs, _ := cl.History.Snapshot()
	n, examples := doubles(runs)
	c.Assert(n, qt.Equals, 0, qt.Commentf("%v", examples))
	n, examples = falseNotRun(g, attempts, runs)
	c.Assert(n, qt.Equals, 0, qt.Commentf("%v", examples))
	for _, a := range attempts {
		c.Assert(a.Wrong, qt.IsFalse, qt.Commentf("%+v", a))
	}
	ops := onceHistory(g, attempts, runs)
	c.Assert(len(ops) > 100, qt.IsTrue)
	c.Assert(porcupine.CheckOperations(onceModel, ops), qt.IsTrue)
}

func TestOnceModelFindsBrokenHistories(t *testing.T) {
	c := qt.New(t)
	op := func(at int64, in onceInput) porcupine.Operation {
		in.key = "k"
		return porcupine.Operation{Input: in, Call: at, Return: at}
	}
	run, ran, not := onceInput{run: true}, onceInput{outcome: wire.Ran}, onceInput{outcome: wire.NotRun}
	for _, h := range []struct {
		good bool
		ops  []porcupine.Operation
	}{
		{true, []porcupine.Operation{op(1, not), op(2, run), op(3, ran), op(4, ran)}},
		{false, []porcupine.Operation{op(1, run), op(2, run)}},
		{false, []porcupine.Operation{op(1, run), op(2, not)}},
		{false, []porcupine.Operation{op(1, ran), op(2, run)}},
	} {
		c.Assert(porcupine.CheckOperations(onceModel, h.ops), qt.Equals, h.good, qt.Commentf("%v", h.ops))
	}
}

// changeInput is one operator's compare-and-set, and changeOutput what the operator was told.
type changeInput struct{ base int64 }

type changeOutput struct {
	version int64 // accepted as, or 0
	raced   bool
}

// versionModel is the configuration register: a change is accepted only on the version that it was made for.
var versionModel = porcupine.Model{
	Init: func() any { return int64(1) },
	Step: func(state, input, output any) (bool, any) {
		have, in, out := state.(int64), input.(changeInput), output.(changeOutput)
		switch {
		case out.version > 0:
			return have == in.base && out.version == in.base+1, out.version
		case out.raced:
			return have != in.base, have
		default:
			return true, have
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// changesEach is how many changes of each racing operator are to be accepted.
const changesEach = 5

func TestConfigurationRegisterWithRacingOperators(t *testing.T) {
	c := qt.New(t)
	cl := startSmall(t, Options{})
	ctx := context.Background()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wg sync.WaitGroup
	for who := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// Each operator goes on until some of its changes are accepted, from the version that it saw last.
			seen, accepted := int64(1), 0
			for i := 0; accepted < changesEach; i++ {
				cl.Platform.SetFaults(store.Faults{LoseAnswer: (who+i)%2 == 0})
				n := cl.All()[(who+i)%len(cl.All())].Node
				in := changeInput{max(n.Document().Version, seen)}
				call := time.Now()
				doc, err := n.Change(ctx, config.Change{Base: in.base, ID: fmt.Sprint(who, "-", i), Label: &config.LabelEdit{
					Kind: config.KindService, Name: "front", Set: map[string]string{"by": fmt.Sprint("w", who, "-", i)},
				}})
				var race *node.RaceError
				out := changeOutput{raced: errors.As(err, &race)}
				if out.raced {
					seen = race.Have
				}
				if err == nil {
					out.version = doc.Version
					accepted++
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: who, Input: in, Output: out, Call: call.UnixNano(), Return: time.Now().UnixNano(),
				})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	accepted := 0
	for _, op := range ops {
		if op.Output.(changeOutput).version > 0 {
			accepted++
		}
	}
	c.Assert(accepted, qt.Equals, 4*changesEach)
	c.Assert(porcupine.CheckOperations(versionModel, ops), qt.IsTrue)
}
