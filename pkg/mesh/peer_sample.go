package mesh

import "math/rand/v2"

// peerSampleSize is how many servers of this zone, or of all other zones, are compared for one request.
const peerSampleSize = 3

// peerSample is a uniform random sample of the peers that are added one by one (reservoir sampling). Its zero value is
// empty.
type peerSample struct {
	sampled [peerSampleSize]*peer
	added   int
}

// add offers one more peer to the sample.
func (s *peerSample) add(rnd *rand.Rand, p *peer) {
	s.added++
	if s.added <= peerSampleSize {
		s.sampled[s.added-1] = p
		return
	}
	if i := rnd.IntN(s.added); i < peerSampleSize {
		s.sampled[i] = p
	}
}

// shuffled returns the sampled peers in random order. Their order in the sample depends on where they stood in the
// list, and the first of equal peers is chosen.
func (s *peerSample) shuffled(rnd *rand.Rand) []*peer {
	list := s.sampled[:min(s.added, peerSampleSize)]
	rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
