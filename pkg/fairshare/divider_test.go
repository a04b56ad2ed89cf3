package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a level that admits more than the capacity, or leaves capacity to nobody while a team wants more.
func TestLevelFillsTheCapacity(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 30).Draw(r, "demands")
		capacity := rapid.Float64Range(0, 500).Draw(r, "capacity")
		wanted, admitted := 0.0, 0.0
		for _, d := range demands {
			wanted += d
		}
		level := Level(append([]float64(nil), demands...), capacity)
		for _, d := range demands {
			admitted += min(d, level)
		}
		if most := min(wanted, capacity); admitted < most-1e-6 || admitted > most+1e-6 {
			r.Fatalf("admitted %v of %v", admitted, most)
		}
	})
}

// played is what one team asked for and got.
type played struct{ asked, admitted int }

// play sends requests of teams at the given rates a second to one Divider for ten seconds, while a share of all is admitted.
// The first second isn't counted.
func play(rates map[string]float64, share float64) map[string]played {
	rnd := rand.New(rand.NewPCG(1, 2))
	var d Divider
	got := map[string]played{}
	begin := time.Unix(0, 0)
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < 10*time.Second; at += step {
		for name, rate := range rates {
			if rnd.Float64() >= rate*step.Seconds() {
				continue
			}
			ok := d.Admit(begin.Add(at), name, share)
			if at < time.Second {
				continue
			}
			x := got[name]
			x.asked++
			if ok {
				x.admitted++
			}
			got[name] = x
		}
	}
	return got
}

// Guards against one team at ten times its usual that takes the capacity of all others: 20 teams ask for 2 a second each, one
// for 20, and two thirds of all fit.
func TestATeamAtTenTimesItsUsualLeavesTheOthersTheirs(t *testing.T) {
	c := qt.New(t)
	rates := map[string]float64{"hot": 20}
	for i := range 20 {
		rates[fmt.Sprint("t", i)] = 2
	}
	got := play(rates, 2.0/3)
	asked, admitted, all := 0, 0, 0
	for name, x := range got {
		all += x.admitted
		if name != "hot" {
			asked, admitted = asked+x.asked, admitted+x.admitted
		}
	}
	c.Assert(float64(admitted) >= 0.8*float64(asked), qt.IsTrue, qt.Commentf("%d of %d", admitted, asked))
	c.Assert(got["hot"].admitted*4 >= admitted/20, qt.IsTrue, qt.Commentf("a quarter of the mean"))
	fits := 2.0 / 3 * 60 * 9
	c.Assert(float64(all) >= 0.85*fits && float64(all) <= 1.15*fits, qt.IsTrue, qt.Commentf("%d admitted, %v fit", all, fits))
}

// Guards against state that grows with the number of teams, and against small teams that are shut out when they share a class.
func TestManyTeamsAreCountedInClasses(t *testing.T) {
	c := qt.New(t)
	rates := map[string]float64{}
	for i := range 300 {
		rates[fmt.Sprint("t", i)] = 0.5
	}
	var d Divider
	for i := range 1000 {
		d.Admit(time.Unix(0, 0), fmt.Sprint("x", i), 0.5)
	}
	c.Assert(d.named, qt.HasLen, maxTeams)
	asked, admitted := 0, 0
	for _, x := range play(rates, 0.5) {
		asked, admitted = asked+x.asked, admitted+x.admitted
	}
	c.Assert(float64(admitted) >= 0.4*float64(asked) && float64(admitted) <= 0.6*float64(asked), qt.IsTrue, qt.Commentf("%d of %d", admitted, asked))
}
