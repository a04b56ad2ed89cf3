package freshness

import "time"

// The times of asking, as shares of the bound. With a bound of 5 s the store is asked 0.8 times a second by each reader, and the
// oldest proof of a node that is in touch is 1.2 s + 0.4 s old (2 s in a large zone): a node that loses its way to the store then still
// serves keys for three of the five seconds.
const (
	// readShare is the time between a reader's calls to the store.
	readShare = 0.24
	// askShare is the time between questions to a node that knows more.
	askShare = 0.08
	// firstAsks is how many times more often a node asks that has no proof yet: after a loss of all nodes a reader has the first
	// some hundredths of a second after the others have asked it.
	firstAsks = 4
	// widenShare is the age of a proof from which on nodes of all zones are asked as well.
	widenShare = 0.4
	// aloneShare is the age from which on a node that isn't a reader asks the store by itself, after aloneFirstShare more.
	aloneShare = 0.42
	// aloneFirstShare and aloneMostShare are the time between such calls: where the store is away for all, the readers find out
	// when it is back.
	aloneFirstShare = 0.12
	aloneMostShare  = 0.48
)

// Action is what a node does next to get a younger proof.
type Action uint8

// The actions.
const (
	Wait          Action = iota
	ReadStore            // ask the store
	QueryUpstream        // ask a node that knows more
	QueryAnyNode         // ask any node
)

// Schedule decides when one node asks whom. It isn't safe for concurrent use.
type Schedule struct {
	Bound time.Duration

	read, asked time.Time
	alone       time.Duration // between calls to the store of a node that isn't a reader
	wide        bool          // the last question went to any node
}

// Next returns what to do now, given the age of the proof in hand.
func (s *Schedule) Next(now time.Time, age time.Duration, known, reads bool) Action {
	pause := s.share(askShare)
	if !known {
		age, pause = s.Bound, pause/firstAsks
	}
	if s.readsNow(now, age, reads) {
		s.read = now
		return ReadStore
	}
	if reads && age <= s.share(widenShare) || now.Sub(s.asked) < pause {
		return Wait
	}
	s.asked = now
	s.wide = age > s.share(widenShare) && !s.wide
	if s.wide {
		return QueryAnyNode
	}
	return QueryUpstream
}

// readsNow tells whether it is time to ask the store.
func (s *Schedule) readsNow(now time.Time, age time.Duration, reads bool) bool {
	if reads {
		s.alone = 0
		return now.Sub(s.read) >= s.share(readShare)
	}
	if age <= s.share(aloneShare) {
		s.alone = 0
		return false
	}
	if s.alone == 0 {
		// Others may know already: of 68 nodes that started at once, half asked the store before they asked each other.
		s.alone, s.read = s.share(aloneFirstShare), now
		return false
	}
	if now.Sub(s.read) < s.alone {
		return false
	}
	s.alone = min(2*s.alone, s.share(aloneMostShare))
	return true
}

func (s *Schedule) share(x float64) time.Duration { return time.Duration(x * float64(s.Bound)) }
