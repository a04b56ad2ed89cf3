package mesh

import "time"

// The constants of the time between exchanges with other nodes.
const (
	// minExchangePeriod is the time between exchanges in a small zone. It grows with the number of the zone's nodes, so that
	// the work per node stays constant.
	minExchangePeriod = 300 * time.Millisecond
	// calmZoneNodes is the number of known nodes of the zone up to which minExchangePeriod applies while all is admitted.
	calmZoneNodes = 24
	// urgentZoneNodes is the same while admission is limited, while requests have no known cost, or while the arrival rate
	// changes a lot: demand and costs then have to reach all nodes soon. In a simulated overload of four times the usable
	// slots that begins with the first request, 160 nodes in three zones served 0.92 and 0.88 of the usable slots from 2 to 4
	// and from 4 to 6 s with the longer period, 1.02 and 1.25 with this one, and 0.90 and 1.10 where only limited admission
	// shortened it.
	urgentZoneNodes = 64
	// arrivalChangeRatio is the factor, and minArrivalChange the requests per second on top of it, by which the arrival rate
	// has to differ from the usual one for exchanges to become more frequent.
	arrivalChangeRatio = 1.5
	minArrivalChange   = 5.0
	// arrivalRateGain is the weight of one sample, some times a second, in the smoothed arrival rate: it follows a change
	// in about four seconds.
	arrivalRateGain = 0.05
)

// exchangePeriod returns the current time between exchanges, by the number of known nodes of this zone: a message grows
// with that number, and with the number of other zones.
func (n *Node) exchangePeriod() time.Duration {
	if n.control.urgentUpdates {
		return scaledExchangePeriod(len(n.control.zoneHosts), urgentZoneNodes)
	}
	return n.calmExchangePeriod()
}

// calmExchangePeriod returns the longest time between exchanges, from which the TTLs of reports are derived.
func (n *Node) calmExchangePeriod() time.Duration {
	return scaledExchangePeriod(len(n.control.zoneHosts), calmZoneNodes)
}

// scaledExchangePeriod returns the time between exchanges in a zone of the given nodes, where minExchangePeriod applies up
// to upTo nodes.
func scaledExchangePeriod(nodes, upTo int) time.Duration {
	return minExchangePeriod * time.Duration(max(nodes, upTo)) / time.Duration(upTo)
}

// updateUrgency records whether updates have to spread sooner: the plan is urgent, or this node's arrival rate changes. It
// moves the next exchange forward when that begins.
func (n *Node) updateUrgency(now time.Time, urgent bool) {
	rate := n.stats.arrivalRate(now)
	urgent = urgent || arrivalsChanged(rate, n.control.smoothedArrivalRate)
	n.control.smoothedArrivalRate += arrivalRateGain * (rate - n.control.smoothedArrivalRate)
	begins := urgent && !n.control.urgentUpdates
	n.control.urgentUpdates = urgent
	if next := now.Add(n.jitter(n.exchangePeriod())); begins && next.Before(n.control.nextExchange) {
		n.control.nextExchange = next
	}
}

// arrivalsChanged reports whether the arrival rate, in requests per second, differs a lot from the usual one.
func arrivalsChanged(rate, usual float64) bool {
	return rate > usual*arrivalChangeRatio+minArrivalChange || rate < usual/arrivalChangeRatio-minArrivalChange
}
