package mesh

import "math/rand/v2"

// looked is how many servers of a zone, or of all others, are compared for one request.
const peerSampleSize = 3

// peerSample is some peers of many that are added one by one, each as likely to be among them wherever it stands. Its
// zero value is empty.
type peerSample struct {
	sampled [peerSampleSize]*peer
	added   int
}

// add takes one more peer into account.
func (s *peerSample) add(p *peer) {
	s.added++
	if s.added <= peerSampleSize {
		s.sampled[s.added-1] = p
		return
	}
	if i := rand.IntN(s.added); i < peerSampleSize {
		s.sampled[i] = p
	}
}

// shuffled returns the peers that were kept, in an order by chance: which of them stands first is decided by
// where it was added, and among equals the first one is taken.
func (s *peerSample) shuffled() []*peer {
	kept := s.sampled[:min(s.added, peerSampleSize)]
	rand.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	return kept
}
