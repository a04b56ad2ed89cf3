package overload

// RepeatBudget bounds how often this node's requests reach a server once more. Each request earns a share
// of a token at every service that it and its calls run on; a repeat pays at each of them, since the
// calls of a run that is a repeat are repeats too. It isn't safe for concurrent use.
type RepeatBudget struct {
	Ratio float64 // tokens that a request earns at its own service
	Below float64 // tokens that each run below it earns
	Burst float64 // most tokens of one service, and those at the start

	tokens map[string]float64
}

// Earn notes a request for a service, with its runs by service.
func (b *RepeatBudget) Earn(service string, runs map[string]float64) {
	for s, n := range runs {
		share := b.Below
		if s == service {
			share = b.Ratio
		}
		b.set(s, min(b.level(s)+share*n, max(b.Burst, n)))
	}
}

// Take pays for one repeat with the runs that it causes; it reports false, and takes nothing, if a service
// has too few tokens left.
func (b *RepeatBudget) Take(runs map[string]float64) bool {
	for s, n := range runs {
		if b.level(s) < n {
			return false
		}
	}
	for s, n := range runs {
		b.set(s, b.level(s)-n)
	}
	return true
}

func (b *RepeatBudget) level(service string) float64 {
	if t, ok := b.tokens[service]; ok {
		return t
	}
	return b.Burst
}

func (b *RepeatBudget) set(service string, v float64) {
	if b.tokens == nil {
		b.tokens = make(map[string]float64)
	}
	b.tokens[service] = v
}
