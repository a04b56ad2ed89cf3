package freshness

import "time"

// The times between queries, as fractions of the bound. With a bound of 5 s each reader queries the store 0.8 times a second, and the
// oldest proof of a node with connectivity is 1.2 s + 0.4 s old (2 s in a large zone). A node that loses its connection to the store then
// still accepts keys for three of the five seconds.
const (
	// readIntervalShare is the time between a reader's calls to the store.
	readIntervalShare = 0.24
	// queryIntervalShare is the time between queries to a node that has younger proofs.
	queryIntervalShare = 0.08
	// initialQueryFactor is how many times more often a node without a proof queries: after a loss of all nodes a reader has the first proof
	// some hundredths of a second after the others have queried it.
	initialQueryFactor = 4
	// widenAgeShare is the age of a proof from which nodes other than the readers and relays of the zone are queried as well.
	widenAgeShare = 0.4
	// ownReadAgeShare is the age of a proof from which a node that isn't a reader queries the store itself, after minOwnReadShare more.
	ownReadAgeShare = 0.42
	// minOwnReadShare and maxOwnReadShare are the shortest and longest time between such calls. Where the store is down for all nodes, the
	// readers find out when it is back.
	minOwnReadShare = 0.12
	maxOwnReadShare = 0.48
)

// Action is what a node does next to get a younger proof.
type Action uint8

// The actions.
const (
	Wait           Action = iota
	ReadStore             // query the store
	QueryUpstream         // query a reader or relay
	QueryOtherZone        // query a node of another zone, or any node if none can be reached
	QueryAnyNode          // query any node
)

// wideQueries are the queries in turn while the proof is older than widenAgeShare. Random nodes of all zones wouldn't do: while the store
// rejects a whole zone, its nodes' proofs are equally old.
var wideQueries = [...]Action{QueryOtherZone, QueryUpstream, QueryAnyNode}

// Schedule decides when one node queries which kind of node. It isn't safe for concurrent use.
type Schedule struct {
	Bound time.Duration

	lastRead, lastQuery time.Time
	ownReadInterval     time.Duration // between calls to the store of a node that isn't a reader
	wideCount           int           // wide queries since the proof was last young enough
}

// Next returns what to do now, given the age of the youngest proof, if one is known, and whether the node is a reader.
func (s *Schedule) Next(now time.Time, age time.Duration, known, reads bool) Action {
	pause := s.fractionOfBound(queryIntervalShare)
	if !known {
		age, pause = s.Bound, pause/initialQueryFactor
	}
	if s.readDue(now, age, reads) {
		s.lastRead = now
		return ReadStore
	}
	if reads && age <= s.fractionOfBound(widenAgeShare) || now.Sub(s.lastQuery) < pause {
		return Wait
	}
	s.lastQuery = now
	if age <= s.fractionOfBound(widenAgeShare) {
		s.wideCount = 0
		return QueryUpstream
	}
	s.wideCount++
	return wideQueries[(s.wideCount-1)%len(wideQueries)]
}

// readDue reports whether to query the store now.
func (s *Schedule) readDue(now time.Time, age time.Duration, reads bool) bool {
	if reads {
		s.ownReadInterval = 0
		return now.Sub(s.lastRead) >= s.fractionOfBound(readIntervalShare)
	}
	if age <= s.fractionOfBound(ownReadAgeShare) {
		s.ownReadInterval = 0
		return false
	}
	if s.ownReadInterval == 0 {
		// Other nodes may have a proof already: of 68 nodes that started at once, half queried the store before they queried each other.
		s.ownReadInterval, s.lastRead = s.fractionOfBound(minOwnReadShare), now
		return false
	}
	if now.Sub(s.lastRead) < s.ownReadInterval {
		return false
	}
	s.ownReadInterval = min(2*s.ownReadInterval, s.fractionOfBound(maxOwnReadShare))
	return true
}

func (s *Schedule) fractionOfBound(x float64) time.Duration {
	return time.Duration(x * float64(s.Bound))
}
