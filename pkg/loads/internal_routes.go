package loads

import "math"

// Parameters of telling internal calls from clients' requests.
const (
	// minClassifiedRate is the lowest rate a second at which a route is classified.
	minClassifiedRate = 2.0
	// clientNoCallerShare is the share of a client route's requests that arrive while no run is in progress that can have made
	// them. callNoCallerShare is the share up to which that may happen to calls, whose runs aren't always known: after a
	// restart of the node, and where a client abandoned its request.
	clientNoCallerShare = 0.1
	callNoCallerShare   = 0.05
	// missingFraction is the highest fraction of the requests expected from clients that the servers of a service may receive
	// to count as not calling the route.
	missingFraction = 0.2
	// minMissingRate is how many requests a second have to be missing to be significant: at eight a second expected, rates as
	// they are counted fall below a fifth by chance once in a thousand evaluations.
	minMissingRate = 8.0
	// minDivergence is the share of a route's requests that have to begin elsewhere than clients' requests do, for a route that
	// all services call; divergenceNoise divided by the square root of the rate is added, as rates are counted over about a
	// second.
	minDivergence   = 0.2
	divergenceNoise = 2.0
	// conclusiveRate is the rate a second from which calls begin clearly elsewhere than clients' requests do, if the servers of
	// all services but one of four make them. Below it the earlier classification holds.
	conclusiveRate = 4 * minMissingRate
)

// Origin names the servers of one service in one availability zone, beside which requests begin.
type Origin struct{ Zone, Service string }

// Origins holds, by route, the requests a second that begin at each origin.
type Origins map[string]map[Origin]Entry

// AddReport adds the entries of one report of a zone.
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

// InternalRoutes reports for each route whether only backend servers call it, given the earlier classification. A call
// arrives while a run is in progress that lasts at least as long, and beside the servers that make it; a client's request
// arrives at any time, and spreads over the servers of a zone as all clients' requests do.
func (o Origins) InternalRoutes(before func(route string) bool) map[string]bool {
	clients := o.clientRates()
	out := make(map[string]bool, len(o))
	for route, at := range o {
		sum := totalOf(at)
		switch noCaller := sum.WithoutCaller / max(sum.Total(), minClassifiedRate); {
		case sum.Total() < minClassifiedRate:
			out[route] = before(route)
		case noCaller >= clientNoCallerShare:
			out[route] = false
		case noCaller > callNoCallerShare:
			out[route] = before(route)
		default:
			out[route] = clients.areCalls(at) || (before(route) && sum.Total() < conclusiveRate)
		}
	}
	return out
}

// originRates is how many requests a second begin at each origin, and in each zone.
type originRates struct {
	byOrigin map[Origin]float64
	byZone   map[string]float64
}

// clientRates returns the rates of the requests that certainly come from clients or, if there are none, of all requests.
func (o Origins) clientRates() originRates {
	s := o.ratesOf(func(e Entry) bool { return e.WithoutCaller >= clientNoCallerShare*e.Total() })
	if len(s.byOrigin) == 0 {
		s = o.ratesOf(func(Entry) bool { return true })
	}
	return s
}

// ratesOf adds up the routes that have enough requests and whose total satisfies counts.
func (o Origins) ratesOf(counts func(Entry) bool) originRates {
	s := originRates{byOrigin: map[Origin]float64{}, byZone: map[string]float64{}}
	for _, at := range o {
		if sum := totalOf(at); sum.Total() < minClassifiedRate || !counts(sum) {
			continue
		}
		for k, e := range at {
			s.byOrigin[k] += e.Total()
			s.byZone[k.Zone] += e.Total()
		}
	}
	return s
}

// areCalls reports whether requests with these origins are calls: they are missing beside the servers of some services, or
// begin clearly elsewhere than clients' requests do.
func (s originRates) areCalls(at map[Origin]Entry) bool {
	inZone := map[string]float64{}
	for k, e := range at {
		inZone[k.Zone] += e.Total()
	}
	expected, actual := map[string]float64{}, map[string]float64{}
	divergence, sum := 0.0, 0.0
	for k, rate := range s.byOrigin {
		clients := inZone[k.Zone] * rate / s.byZone[k.Zone]
		sum += clients
		divergence += math.Abs(clients-at[k].Total()) / 2
		expected[k.Service] += clients
		actual[k.Service] += at[k].Total()
	}
	if missingRequests(expected, actual) >= minMissingRate {
		return true
	}
	return sum > 0 && divergence/sum > minDivergence+divergenceNoise/math.Sqrt(sum)
}

// missingRequests returns the requests a second expected from clients at those services that receive next to none.
func missingRequests(expected, actual map[string]float64) float64 {
	sum := 0.0
	for service, rate := range expected {
		if actual[service] < missingFraction*rate {
			sum += rate
		}
	}
	return sum
}

// totalOf adds up the entries of all origins.
func totalOf(at map[Origin]Entry) Entry {
	var sum Entry
	for _, e := range at {
		sum = sum.with(e)
	}
	return sum
}
