package soak

import (
	"fmt"
	"slices"
	"time"
)

// The bounds of the checks of what servers say of themselves.
const (
	// limitWindow is the window in which the requests at a server that names a rate limit are counted. It binds from
	// limitContact after the server first named one.
	limitWindow  = 4 * time.Second
	limitContact = 3 * time.Second
	// limitTold is how long before a request its node must have passed on an answer that names a limit.
	limitTold = 500 * time.Millisecond
	// limitRatio and limitSlack bound the requests: a multiple of what the limit allows plus a constant.
	limitRatio = 1.5
	limitSlack = 5
)

// origin is where and when a request began.
type origin struct {
	vm    string
	begun time.Time
}

// origins returns where each request and each call began, by ID.
func (h *history) origins() map[string]origin {
	all := make(map[string]origin, len(h.attempts)+len(h.calls))
	for _, a := range h.attempts {
		all[a.ID] = origin{a.VM, a.Begun}
	}
	for _, c := range h.calls {
		all[c.ID] = origin{c.VM, c.Begun}
	}
	return all
}

// hadOutage reports whether a VM's node had an outage in a time span.
func (h *history) hadOutage(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(h.outages, func(o nodeOutage) bool {
		return o.VM == vm && !o.From.After(to) && (o.To.IsZero() || !o.To.Before(from))
	})
}

// told reports whether a VM's node had passed on a notice of a server's lifetime at the time by, and had no outage from then
// until the time until.
func (h *history) told(vm, lifetime string, by, until time.Time, counts func(passedNotice) bool) bool {
	return slices.ContainsFunc(h.notices, func(n passedNotice) bool {
		return n.VM == vm && n.Lifetime == lifetime && counts(n) && !n.At.After(by) && !h.hadOutage(vm, n.At, until)
	})
}

func saysLimit(n passedNotice) bool   { return n.Limited }
func saysLeaving(n passedNotice) bool { return n.Leaving }

// checkRateLimits finds servers that got more requests than the rate limit that they named allows, from nodes that had passed
// on an answer with it.
func checkRateLimits(h *history, _ time.Time) (found []Finding) {
	origins := h.origins()
	limits := map[string][]advertisedLimit{}
	for _, l := range h.limits {
		limits[l.Lifetime] = append(limits[l.Lifetime], l)
	}
	arrivals := map[string][]time.Time{}
	for _, a := range h.arrivals {
		if len(limits[a.Lifetime]) > 0 && h.told(origins[a.ID].vm, a.Lifetime, a.At.Add(-limitTold), a.At, saysLimit) {
			arrivals[a.Lifetime] = append(arrivals[a.Lifetime], a.At)
		}
	}
	for lifetime, at := range arrivals {
		slices.SortFunc(at, time.Time.Compare)
		begin := 0
		for end, t := range at {
			for t.Sub(at[begin]) >= limitWindow {
				begin++
			}
			got := end - begin + 1
			allowed, bound := allowedBetween(limits[lifetime], t.Add(-limitWindow), t)
			if bound && float64(got) > limitRatio*allowed+limitSlack {
				found = append(found, Finding{"rate limit", fmt.Sprintf("%s got %d requests in %v, %.1f are allowed", lifetime, got, limitWindow, allowed)})
				break
			}
		}
	}
	return found
}

// allowedBetween returns the requests that a server's limits allow in a time span; bound is false if it named none at a time
// in it, or first named one too shortly before its end. A limit that has just fallen counts as before for limitTold.
func allowedBetween(limits []advertisedLimit, from, to time.Time) (allowed float64, bound bool) {
	if to.Sub(limits[0].At) < limitContact {
		return 0, false
	}
	const step = 10 * time.Millisecond
	for t := from; t.Before(to); t = t.Add(step) {
		rate, limited := limitAt(limits, t)
		before, wasLimited := limitAt(limits, t.Add(-limitTold))
		if !limited || !wasLimited {
			return 0, false
		}
		allowed += max(rate, before) * step.Seconds()
	}
	return allowed, true
}

// limitAt returns the limit in force at a time; before the first one it is the first.
func limitAt(limits []advertisedLimit, t time.Time) (perSecond float64, limited bool) {
	now := limits[0]
	for _, l := range limits {
		if !l.At.After(t) {
			now = l
		}
	}
	return now.PerSecond, now.Limited
}

// checkLeavingByAnswers finds requests that reached a server longer than drainDuration after the node where they began passed
// on an answer that says the server leaves.
func checkLeavingByAnswers(h *history, _ time.Time) (found []Finding) {
	origins := h.origins()
	leaving := map[string]bool{}
	for _, n := range h.notices {
		leaving[n.Lifetime] = leaving[n.Lifetime] || n.Leaving
	}
	for _, a := range h.arrivals {
		o := origins[a.ID]
		if leaving[a.Lifetime] && h.told(o.vm, a.Lifetime, o.begun.Add(-drainDuration), a.At, saysLeaving) {
			found = append(found, Finding{"leaving by answers", fmt.Sprintf("%s reached %s from %s", a.ID, a.Lifetime, o.vm)})
		}
	}
	return found
}
