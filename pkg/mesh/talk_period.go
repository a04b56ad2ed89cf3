package mesh

import "time"

// The time between exchanges with other nodes.
const (
	// minExchangePeriod is the time between exchanges of a small zone; it grows with the number of its nodes, so that
	// the work of a node stays the same.
	minExchangePeriod = 300 * time.Millisecond
	// calmZoneNodes is how many nodes of a zone may be known for talkLeast to hold while all is taken in.
	calmZoneNodes = 24
	// urgentZoneNodes is the same while requests are held down, or asked for without a known cost, or while what comes changes a
	// lot: how much is asked for, and what it costs, then has to reach all soon. In an overload of four times the room that
	// begins with the first request, 160 nodes in three zones served 0.92 and 0.88 of the room from 2 to 4 and from 4 to 6 s with
	// the longer period (one run), 1.02 and 1.25 with this one (two runs), and 0.90 and 1.10 where only what is held down made it
	// shorter (three runs; whole nodes in made-up time).
	urgentZoneNodes = 64
	// arrivalChangeRatio is how many times more or less than of late has to come for exchanges to be sooner, and changeLeast by how many
	// requests a second more or less at the least.
	arrivalChangeRatio = 1.5
	minArrivalChange   = 5.0
	// usualArrivalGain is the weight of one look, some times a second, in what usually comes: a change is usual after some four seconds.
	usualArrivalGain = 0.05
)

// exchangePeriod returns the time between exchanges, by the number of nodes that are known in this zone: a message
// grows with them, and with the number of other zones.
func (n *Node) exchangePeriod() time.Duration {
	if n.control.newsUrgent {
		return scaledExchangePeriod(len(n.control.zoneHosts), urgentZoneNodes)
	}
	return n.calmExchangePeriod()
}

// calmExchangePeriod returns the longest time between exchanges, by which it is told whether news has stopped coming.
func (n *Node) calmExchangePeriod() time.Duration {
	return scaledExchangePeriod(len(n.control.zoneHosts), calmZoneNodes)
}

// scaledExchangePeriod returns the time between exchanges in a zone of some nodes, where talkLeast holds up to others.
func scaledExchangePeriod(nodes, upTo int) time.Duration {
	return minExchangePeriod * time.Duration(max(nodes, upTo)) / time.Duration(upTo)
}

// updateUrgency notes whether news has to spread sooner: requests are held down or can't be planned for, or what comes to this node
// changes. The next exchange comes sooner once that begins.
func (n *Node) updateUrgency(now time.Time, urgent bool) {
	coming := n.stats.arrivalRate(now)
	urgent = urgent || arrivalsChanged(coming, n.control.usualComing)
	n.control.usualComing += usualArrivalGain * (coming - n.control.usualComing)
	begins := urgent && !n.control.newsUrgent
	n.control.newsUrgent = urgent
	if next := now.Add(jitter(n.exchangePeriod())); begins && next.Before(n.control.nextTalk) {
		n.control.nextTalk = next
	}
}

// arrivalsChanged tells whether what comes has changed a lot.
func arrivalsChanged(coming, usual float64) bool {
	return coming > usual*arrivalChangeRatio+minArrivalChange || coming < usual/arrivalChangeRatio-minArrivalChange
}
