package mesh

import "time"

// The time between exchanges with other nodes.
const (
	// talkLeast is the time between exchanges of a small zone; it grows with the number of its nodes, so that
	// the work of a node stays the same.
	talkLeast = 300 * time.Millisecond
	// talkNodes is how many nodes of a zone may be known for talkLeast to hold while all is taken in.
	talkNodes = 24
	// urgentNodes is the same while requests are held down, or asked for without a known cost, or while what comes changes a
	// lot: how much is asked for, and what it costs, then has to reach all soon. In an overload of four times the room that
	// begins with the first request, 160 nodes in three zones served 0.92 and 0.88 of the room from 2 to 4 and from 4 to 6 s with
	// the longer period (one run), 1.02 and 1.25 with this one (two runs), and 0.90 and 1.10 where only what is held down made it
	// shorter (three runs; whole nodes in made-up time).
	urgentNodes = 64
	// changeRatio is how many times more or less than of late has to come for exchanges to be sooner, and changeLeast by how many
	// requests a second more or less at the least.
	changeRatio = 1.5
	changeLeast = 5.0
	// usualGain is the weight of one look, some times a second, in what usually comes: a change is usual after some four seconds.
	usualGain = 0.05
)

// talkPeriod returns the time between exchanges, by the number of nodes that are known in this zone: a message
// grows with them, and with the number of other zones.
func (n *Node) talkPeriod() time.Duration {
	if n.control.urgentUpdates {
		return talkPeriodOf(len(n.control.zoneHosts), urgentNodes)
	}
	return n.calmTalkPeriod()
}

// calmTalkPeriod returns the longest time between exchanges, by which it is told whether news has stopped coming.
func (n *Node) calmTalkPeriod() time.Duration {
	return talkPeriodOf(len(n.control.zoneHosts), talkNodes)
}

// talkPeriodOf returns the time between exchanges in a zone of some nodes, where talkLeast holds up to others.
func talkPeriodOf(nodes, upTo int) time.Duration {
	return talkLeast * time.Duration(max(nodes, upTo)) / time.Duration(upTo)
}

// noteUrgency notes whether news has to spread sooner: requests are held down or can't be planned for, or what comes to this node
// changes. The next exchange comes sooner once that begins.
func (n *Node) noteUrgency(now time.Time, urgent bool) {
	coming := n.stats.coming(now)
	urgent = urgent || differs(coming, n.control.smoothedArrivalRate)
	n.control.smoothedArrivalRate += usualGain * (coming - n.control.smoothedArrivalRate)
	begins := urgent && !n.control.urgentUpdates
	n.control.urgentUpdates = urgent
	if next := now.Add(jitter(n.talkPeriod())); begins && next.Before(n.control.nextExchange) {
		n.control.nextExchange = next
	}
}

// differs tells whether what comes has changed a lot.
func differs(coming, usual float64) bool {
	return coming > usual*changeRatio+changeLeast || coming < usual/changeRatio-changeLeast
}
