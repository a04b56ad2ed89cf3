package soak

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// buildDaemon builds rockspoked and returns the path of the program.
func buildDaemon(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "rockspoked")
	out, err := exec.Command("go", "build", "-o", file, "github.com/rockspoke/rockspoke/cmd/rockspoked").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return file
}

// A short soak of real processes: one seed of all faults, one of planned work.
func TestShortSoak(t *testing.T) {
	program := buildDaemon(t)
	for i, seed := range []uint64{1, 3} {
		t.Run("", func(t *testing.T) {
			r, err := Run(context.Background(), Options{
				Program: program, Dir: t.TempDir(), Seed: seed, VMs: 6, Network: 100 + i,
				FaultPeriod: 3 * time.Second, RecoveryPeriod: 5 * time.Second, Rate: 8, LongRate: defaultLongRate, MemoryMB: defaultMemoryMB, Log: os.Stderr,
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Findings, qt.HasLen, 0, qt.Commentf("%s", r.Text()))
			qt.Assert(t, r.Served > 0, qt.IsTrue)
		})
	}
}

// Consecutive runs on one network sometimes failed to bind their addresses, because the previous run ended before its
// listeners were closed.
func TestListenersAreClosedWhenARunEnds(t *testing.T) {
	c := qt.New(t)
	for range 30 {
		var s site
		ctx, cancel := context.WithCancel(context.Background())
		for _, addr := range []string{"127.88.99.1:21015", "127.88.99.1:21014"} {
			c.Assert(serveHTTP(ctx, &s.openListeners, addr, http.NotFoundHandler()), qt.IsNil)
		}
		c.Assert(s.proxy.serve(ctx, &s.openListeners, "127.88.99.1:21005", "127.88.99.1:21015", "store"), qt.IsNil)
		cancel()
		s.openListeners.Wait()
	}
}

// The same seed gives the same faults, and planned seeds have no others.
func TestSchedulesAreSeeded(t *testing.T) {
	c := qt.New(t)
	names := func(seed uint64) (all []string) {
		for _, e := range schedule(seed, time.Minute) {
			all = append(all, e.fault.name+e.start.String())
		}
		return all
	}
	c.Assert(names(4), qt.DeepEquals, names(4))
	c.Assert(slices.Equal(names(4), names(5)), qt.IsFalse)
	for _, e := range schedule(plannedOnlyEvery, time.Minute) {
		c.Assert(e.fault.planned, qt.IsTrue)
	}
	for _, e := range schedule(plannedAndStoreEvery-1, time.Minute) {
		c.Assert(e.fault.planned || storeOnly[e.fault.name], qt.IsTrue)
	}
}

var testTime = time.Unix(1_000_000, 0)

// servedHistory returns the history of one once-only request that was served.
func servedHistory() *history {
	h := &history{}
	h.addAttempt(attempt{ID: "bill-1-1", Route: routePay.path, Service: serviceBill, Once: true, VM: "a", Begun: testTime, Ended: testTime.Add(time.Millisecond), Limit: time.Second, Status: http.StatusOK, OwnAnswer: true})
	h.addArrival(arrival{ID: "bill-1-1", Service: serviceBill, Instance: "i", Lifetime: "i/1", At: testTime, Ran: true})
	return h
}

// Each check finds its kind of violation, and none in a history without any.
func TestChecksFindBrokenPromises(t *testing.T) {
	for _, x := range []struct {
		promise string
		spoil   func(h *history)
	}{
		{"", func(*history) {}},
		{"once", func(h *history) { h.addArrival(h.arrivals[0]) }},
		{"refusal", func(h *history) { h.attempts[0].Status = http.StatusServiceUnavailable }},
		{"answer", func(h *history) { h.attempts[0].OwnAnswer = false }},
		{"leaving", func(h *history) {
			h.addLeave(acknowledgedLeave{Instance: "i", At: testTime.Add(-drainDuration - time.Second)})
		}},
		{"rate limit", func(h *history) {
			h.addLimit(advertisedLimit{Lifetime: "i/1", At: testTime.Add(-5 * time.Second), PerSecond: 2, Limited: true})
			h.notices = []passedNotice{{VM: "a", Lifetime: "i/1", At: testTime.Add(-time.Second), Limited: true}}
			for range int(2*limitRatio*limitWindow.Seconds()) + limitSlack {
				h.arrivals = append(h.arrivals, h.arrivals[0])
			}
		}},
		{"leaving by answers", func(h *history) {
			h.notices = []passedNotice{{VM: "a", Lifetime: "i/1", At: testTime.Add(-drainDuration - time.Second), Leaving: true}}
		}},
		{"final answer", func(h *history) { h.attempts[0].Ended = testTime.Add(2 * time.Second) }},
		{"planned work", func(h *history) { h.attempts[0].Status, h.attempts[0].OwnAnswer = http.StatusBadGateway, false }},
		{"planned work", func(h *history) {
			h.attempts[0].Status, h.attempts[0].OwnAnswer, h.arrivals = 0, false, nil
			h.attempts[0].Closed, h.attempts[0].Sent, h.attempts[0].Ended = true, testTime, testTime.Add(lossSlack+time.Millisecond)
		}},
		{"planned work", func(h *history) {
			h.attempts[0].Status, h.attempts[0].OwnAnswer = http.StatusBadGateway, false
			h.disturbances = []*disturbance{{Kind: "store silent", From: testTime.Add(-time.Second)}}
		}},
		{"closed connection", func(h *history) {
			h.attempts[0].Status, h.attempts[0].OwnAnswer, h.attempts[0].Closed, h.attempts[0].Kept = 0, false, true, true
			h.disturbances = []*disturbance{{Kind: "zone cut off", From: testTime.Add(-time.Second)}}
		}},
		{"desired state", func(h *history) {
			h.addStateChange(stateChange{At: testTime.Add(-applyTime - time.Second), Dropped: routePay.path})
		}},
		{"repeats", func(h *history) {
			h.attempts[0].Once = false
			for range retrySlack + 1 {
				h.addArrival(h.arrivals[0])
			}
		}},
		{"recovery", func(h *history) { h.attempts = nil }},
		{"team", func(h *history) { h.attempts[0].Key = keyRecord{Key: "k", Team: teamSteady} }},
		{"revoked key", func(h *history) {
			h.attempts[0].Key = keyRecord{Key: "k", Team: teamSteady}
			h.arrivals[0].Team = teamName(teamSteady)
			h.keys = []keyRecord{{Key: "k", RevokedAt: testTime.Add(-revokeTime - time.Second)}}
		}},
		{"sound key", func(h *history) {
			h.attempts[0].Key = keyRecord{Key: "k", Team: teamSteady}
			h.attempts[0].Status, h.attempts[0].OwnAnswer, h.arrivals = http.StatusUnauthorized, false, nil
		}},
		{"quota", func(h *history) {
			for i := range 100 {
				id := fmt.Sprint("bill-2-", i)
				h.addAttempt(attempt{ID: id, Key: keyRecord{Key: "k", Team: teamHot}, Begun: testTime, Ended: testTime, Status: http.StatusOK, OwnAnswer: true})
				h.addArrival(arrival{ID: id, Team: teamName(teamHot), At: testTime, Ran: true})
			}
		}},
		{"recovery", func(h *history) {
			h.attempts[0].Status, h.attempts[0].OwnAnswer = http.StatusServiceUnavailable, false
			h.arrivals = nil
		}},
	} {
		t.Run(x.promise, func(t *testing.T) {
			h := servedHistory()
			x.spoil(h)
			var promises []string
			for _, check := range checks {
				for _, f := range check(h, testTime.Add(-time.Hour)) {
					promises = append(promises, f.Promise)
				}
			}
			qt.Assert(t, slices.Contains(promises, x.promise), qt.Equals, x.promise != "", qt.Commentf("%v", promises))
		})
	}
}

// A disturbance excuses only failures that it overlaps, and planned work excuses none.
func TestDisturbancesExcuseWhatTheyTouch(t *testing.T) {
	c := qt.New(t)
	h := servedHistory()
	h.attempts[0].Status, h.attempts[0].OwnAnswer = http.StatusBadGateway, false
	h.disturbances = []*disturbance{{Kind: "x", From: testTime.Add(-time.Minute), To: testTime.Add(-disturbanceMargin - time.Second)}}
	c.Assert(checkPlannedWork(h, testTime), qt.HasLen, 1)
	h.disturbances[0].To = testTime.Add(-time.Second)
	c.Assert(checkPlannedWork(h, testTime), qt.HasLen, 0)
	h.disturbances[0].Planned = true
	c.Assert(checkPlannedWork(h, testTime), qt.HasLen, 1)
}

// A restart or pause of the node where a request began excuses it, one of another node doesn't, and a notice passed on after it
// binds again.
func TestOutagesExcuseOnlyTheNodeWhereRequestsBegin(t *testing.T) {
	c := qt.New(t)
	h := servedHistory()
	told := testTime.Add(-drainDuration - 2*time.Second)
	h.notices = []passedNotice{{VM: "a", Lifetime: "i/1", At: told, Leaving: true}}
	h.outages = []nodeOutage{{VM: "b", From: told.Add(time.Millisecond), To: told.Add(time.Second)}}
	c.Assert(checkLeavingByAnswers(h, testTime), qt.HasLen, 1)
	h.outages[0].VM = "a"
	c.Assert(checkLeavingByAnswers(h, testTime), qt.HasLen, 0)
	h.notices = append(h.notices, passedNotice{VM: "a", Lifetime: "i/1", At: testTime.Add(-drainDuration - time.Millisecond), Leaving: true})
	h.outages[0].To = told.Add(2 * time.Millisecond)
	c.Assert(checkLeavingByAnswers(h, testTime), qt.HasLen, 1)
}

// A limit that fell counts as before for limitTold, and a lifted one no longer binds.
func TestLimitsAllowWhatWasAdvertised(t *testing.T) {
	c := qt.New(t)
	limits := []advertisedLimit{
		{At: testTime, PerSecond: 40, Limited: true}, {At: testTime.Add(5 * time.Second), PerSecond: 10, Limited: true}, {At: testTime.Add(20 * time.Second)},
	}
	at := func(s float64) time.Time { return testTime.Add(time.Duration(s * float64(time.Second))) }
	allowed := func(to float64) float64 {
		n, bound := allowedBetween(limits, at(to-4), at(to))
		c.Assert(bound, qt.IsTrue)
		return math.Round(n)
	}
	c.Assert(allowed(3), qt.Equals, 160.0)
	c.Assert(allowed(7), qt.Equals, 100.0+15)
	c.Assert(allowed(12), qt.Equals, 40.0)
	_, bound := allowedBetween(limits, at(-2), at(2))
	c.Assert(bound, qt.IsFalse)
	_, bound = allowedBetween(limits, at(18), at(22))
	c.Assert(bound, qt.IsFalse)
}

func TestCommandNamesWhatIsWrong(t *testing.T) {
	c := qt.New(t)
	var out, errs strings.Builder
	c.Assert(Main(context.Background(), []string{"x"}, &out, &errs), qt.Equals, 1)
	c.Assert(errs.String(), qt.Contains, `seed "x" isn't a number`)
}

func TestFailedSeedsAreRead(t *testing.T) {
	c := qt.New(t)
	list, err := seedList(failedSeeds(), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Contains(list, uint64(6)), qt.IsTrue, qt.Commentf("%v", list))
}

// When one of two overlapping faults on a link ended, the other ended too, and the checks excused failures without a fault.
func TestOverlappingFaultsEndOneByOne(t *testing.T) {
	c := qt.New(t)
	var o overlappingFaults[linkFault]
	endDelay := o.add(linkFault{Delay: time.Second})
	endMute := o.add(linkFault{Blocked: true})
	c.Assert(o.current(), qt.Equals, linkFault{Blocked: true})
	endMute()
	c.Assert(o.current(), qt.Equals, linkFault{Delay: time.Second})
	endDelay()
	c.Assert(o.current(), qt.Equals, linkFault{})
}

// Overlapping planned work stopped all three servers of a service for 0.15 s, and requests that call it failed.
func TestPlannedWorkLeavesAServer(t *testing.T) {
	c := qt.New(t)
	s := &site{vms: []*vm{{service: "a"}, {service: "a"}, {service: "b"}, {service: "a"}}}
	_, ok := s.reserveOutage(s.vms[0])
	c.Assert(ok, qt.IsTrue)
	back, ok := s.reserveOutage(s.vms[1])
	c.Assert(ok, qt.IsTrue)
	_, ok = s.reserveOutage(s.vms[3])
	c.Assert(ok, qt.IsFalse)
	back()
	_, ok = s.reserveOutage(s.vms[3])
	c.Assert(ok, qt.IsTrue)
	_, ok = s.reserveOutage(s.vms[2])
	c.Assert(ok, qt.IsFalse, qt.Commentf("its only one"))
}
