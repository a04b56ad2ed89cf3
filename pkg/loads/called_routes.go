package loads

import "math"

// The constants of telling calls from clients' requests.
const (
	// innerRate is the least rate a second of a route from which it is judged.
	innerRate = 2.0
	// clientShare of a route's requests come while no run is in progress that can have made them if clients send it;
	// callAlone is the share up to which that may happen to calls, whose runs are not always known: after a restart of
	// the node, and where a client left its run.
	clientShare = 0.1
	callAlone   = 0.05
	// missingPart of the requests that clients would bring to some servers is what those bring at the most of a route
	// that only other servers call.
	missingPart = 0.2
	// missingRate is how many requests a second have to be missing there to be sure of it: as rates are counted, less
	// than a fifth of eight come by chance once in a thousand looks.
	missingRate = 8.0
	// unlikeShare of a route's requests have to begin elsewhere than those of clients do, and unlikeNoise divided by
	// the root of its rate more, for one that all services call: rates are counted over about a second.
	unlikeShare = 0.2
	unlikeNoise = 2.0
	// sureRate is the rate a second from which calls begin clearly elsewhere than clients' requests do, if they are made
	// by the servers of all services but one of four: below it what was known before holds.
	sureRate = 4 * missingRate
)

// Origin is the servers of one service in one availability zone, beside which requests begin.
type Origin struct{ Zone, Service string }

// Origins are the requests a second of each route that begin at each origin.
type Origins map[string]map[Origin]Entry

// AddReport counts one report of a zone.
func (o Origins) AddReport(zone string, r *Report) {
	at := Origin{zone, r.Service}
	for kind, e := range r.Entries {
		route, _ := SplitKind(kind)
		if o[route] == nil {
			o[route] = map[Origin]Entry{}
		}
		o[route][at] = o[route][at].with(e)
	}
}

// InternalRoutes returns the routes that only backend servers call, given those that were taken for such before. A call comes
// while a run is in progress that lasts as long, and beside the servers that make it; what clients send comes at any
// time, and to the servers of a zone as all their requests do.
func (o Origins) InternalRoutes(before func(route string) bool) map[string]bool {
	clients := o.ofClients()
	out := make(map[string]bool, len(o))
	for route, at := range o {
		sum := sumOf(at)
		switch alone := sum.WithoutCaller / max(sum.Total(), innerRate); {
		case sum.Total() < innerRate:
			out[route] = before(route)
		case alone >= clientShare:
			out[route] = false
		case alone > callAlone:
			out[route] = before(route)
		default:
			out[route] = clients.calledAt(at) || (before(route) && sum.Total() < sureRate)
		}
	}
	return out
}

// spread is how many requests a second begin at each origin, and in each zone.
type spread struct {
	at    map[Origin]float64
	zones map[string]float64
}

// ofClients returns where requests begin that certainly come from clients, or if there are none, where all do.
func (o Origins) ofClients() spread {
	s := o.spreadOf(func(e Entry) bool { return e.WithoutCaller >= clientShare*e.Total() })
	if len(s.at) == 0 {
		s = o.spreadOf(func(Entry) bool { return true })
	}
	return s
}

// spreadOf adds up the routes of enough requests that count.
func (o Origins) spreadOf(counts func(Entry) bool) spread {
	s := spread{at: map[Origin]float64{}, zones: map[string]float64{}}
	for _, at := range o {
		if sum := sumOf(at); sum.Total() < innerRate || !counts(sum) {
			continue
		}
		for k, e := range at {
			s.at[k] += e.Total()
			s.zones[k.Zone] += e.Total()
		}
	}
	return s
}

// calledAt tells whether requests that begin so are calls: they are missing beside the servers of some services, or
// begin quite elsewhere than those of clients.
func (s spread) calledAt(at map[Origin]Entry) bool {
	inZone := map[string]float64{}
	for k, e := range at {
		inZone[k.Zone] += e.Total()
	}
	expected, is := map[string]float64{}, map[string]float64{}
	unlike, sum := 0.0, 0.0
	for k, rate := range s.at {
		clients := inZone[k.Zone] * rate / s.zones[k.Zone]
		sum += clients
		unlike += math.Abs(clients-at[k].Total()) / 2
		expected[k.Service] += clients
		is[k.Service] += at[k].Total()
	}
	if missing(expected, is) >= missingRate {
		return true
	}
	return sum > 0 && unlike/sum > unlikeShare+unlikeNoise/math.Sqrt(sum)
}

// missing returns the requests a second that clients would bring to the services to which next to none come.
func missing(expected, is map[string]float64) float64 {
	sum := 0.0
	for service, rate := range expected {
		if is[service] < missingPart*rate {
			sum += rate
		}
	}
	return sum
}

// sumOf adds up all origins.
func sumOf(at map[Origin]Entry) Entry {
	var sum Entry
	for _, e := range at {
		sum = sum.with(e)
	}
	return sum
}
