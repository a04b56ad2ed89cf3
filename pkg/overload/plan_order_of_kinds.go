package overload

// orderMargin is how much more of a less urgent kind may be let in than of a more urgent one with which it shares a
// service: five in a hundred are the users' bound.
const orderMargin = 0.05

// keepOrder holds kinds down to what is let in of more urgent ones that share a service with them, also if that
// one isn't the tight one: while urgent work is refused, less urgent work is refused as well. Who is refused for that
// isn't let in when he comes back.
func keepOrder(flows []flow, roots []Root, out map[string]Share) {
	for i := range flows {
		f := &flows[i]
		most := f.root.mostByOrder(roots, out)
		switch granted := f.whole - f.rate; {
		case most >= 1:
		case f.returning:
			f.rate = 0
		default:
			f.rate = min(f.rate, max(most*f.whole-granted, 0))
		}
	}
}

// mostByOrder returns the largest share of a kind by what is let in of more urgent ones.
func (r *Root) mostByOrder(roots []Root, out map[string]Share) float64 {
	most := 1.0
	for i := range roots {
		if u := &roots[i]; u.Priority < r.Priority && u.Fresh > 0 && u.sharesWith(r) {
			most = min(most, out[u.Route].Fresh+orderMargin)
		}
	}
	return most
}

// sharesWith tells whether requests of both kinds, or their calls, run on one service.
func (r *Root) sharesWith(o *Root) bool {
	for s, cost := range r.Slots {
		if cost > 0 && o.Slots[s] > 0 {
			return true
		}
	}
	return false
}
