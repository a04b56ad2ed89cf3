package overload

import (
	"cmp"
	"slices"
)

// Parameters of kinds whose admitted requests may fail.
const (
	// hopelessSuccess is the probability of success below which a kind is admitted for probing only, and below which it isn't
	// weighted any lower.
	hopelessSuccess = 0.2
	// hopefulSuccess is the one from which a kind isn't limited for it; in between the limit goes linearly. With a step, the
	// losses that end with the limit bring back the load that caused them.
	hopefulSuccess = 0.3
	// probingShare is the share of its demand that a hopeless kind keeps, so that the end of the losses shows.
	probingShare = 0.05
	// neededShare is the admitted share below which a kind needs slots: the plan leaves a little free.
	neededShare = 0.95
	// maxReserve bounds the slots that are kept free for an urgent kind's losses, in multiples of its cost: losses that don't
	// come from load would otherwise leave the service idle.
	maxReserve = 1.5
)

// success returns the probability that all calls of an admitted request succeed.
func (k *KindDemand) success() float64 {
	if k.Success <= 0 {
		return 1
	}
	return min(k.Success, 1)
}

// successAt returns the same for the calls to one service.
func (k *KindDemand) successAt(service string) float64 {
	if p, known := k.SuccessAt[service]; known {
		return min(max(p, 0), 1)
	}
	return 1
}

// costOfSuccess returns the slot seconds that one request that succeeds takes at a service, with those that fail.
func (k *KindDemand) costOfSuccess(service string) float64 {
	return k.SlotSeconds[service] / max(k.success(), hopelessSuccess)
}

// reserveForLosses takes slots from the less urgent kinds for the losses of the kinds of one priority: these mean that the
// service has more than it can serve.
func reserveForLosses(roots []KindDemand, priority int, out map[string]Share, left map[string]float64) {
	for i := range roots {
		k := &roots[i]
		if k.Priority != priority {
			continue
		}
		admitted := k.Fresh*out[k.Kind].Fresh + k.Returning*out[k.Kind].Returning
		for s, p := range k.SuccessAt {
			if _, known := left[s]; known && p < 1 {
				left[s] -= admitted * k.SlotSeconds[s] * (min(1/max(p, hopelessSuccess), maxReserve) - 1)
			}
		}
	}
}

// probingShares returns the share of the demand that is planned for, for the kinds whose requests hardly succeed and which
// share a bottleneck with a kind that isn't less urgent, does succeed and isn't admitted in full. It returns nil if there are
// none. Where the others are admitted in full, hopeless requests cost nothing that anyone needs.
func probingShares(roots []KindDemand, out map[string]Share, bottlenecks map[string]bool) map[string]float64 {
	var shares map[string]float64
	for i := range roots {
		k := &roots[i]
		if k.success() >= hopefulSuccess {
			continue
		}
		if !slices.ContainsFunc(roots, func(o KindDemand) bool { return out[o.Kind].Fresh < neededShare && o.needsSlotsOf(k, bottlenecks) }) {
			continue
		}
		if shares == nil {
			shares = map[string]float64{}
		}
		hope := max(k.success()-hopelessSuccess, 0) / (hopefulSuccess - hopelessSuccess)
		shares[k.Kind] = probingShare + (1-probingShare)*hope
	}
	return shares
}

// needsSlotsOf reports whether slots of a bottleneck that a hopeless kind leaves help k.
func (k *KindDemand) needsSlotsOf(hopeless *KindDemand, bottlenecks map[string]bool) bool {
	return k.Priority <= hopeless.Priority && k.success() >= hopefulSuccess && sharesService(k, hopeless, bottlenecks)
}

// sharesService reports whether both kinds use one of the services.
func sharesService(a, b *KindDemand, services map[string]bool) bool {
	for s, cost := range a.SlotSeconds {
		if services[s] && cost > 0 && b.SlotSeconds[s] > 0 {
			return true
		}
	}
	return false
}

// scaledDemand returns the kinds with the demand of some of them scaled.
func scaledDemand(roots []KindDemand, scale map[string]float64) []KindDemand {
	if len(scale) == 0 {
		return roots
	}
	scaled := slices.Clone(roots)
	for i := range scaled {
		if f, ok := scale[scaled[i].Kind]; ok {
			scaled[i].Fresh *= f
			scaled[i].Returning *= f
		}
	}
	return scaled
}

// limitByUrgentKinds limits the kinds that would be served more often than a more urgent kind of the same service after the
// losses at the services that both need, if they share a bottleneck. Kinds that are admitted for probing limit no others.
func (o Options) limitByUrgentKinds(roots []KindDemand, probing map[string]float64, capacity map[string]float64, out map[string]Share) {
	if !slices.ContainsFunc(roots, func(k KindDemand) bool { return k.success() < 1 }) {
		return
	}
	bottlenecks := o.BottleneckServices(roots, out, capacity)
	byRank := slices.Clone(roots)
	slices.SortStableFunc(byRank, func(a, b KindDemand) int { return cmp.Compare(a.Priority, b.Priority) })
	for i := range byRank {
		k := &byRank[i]
		for j := range byRank[:i] {
			u := &byRank[j]
			if _, probed := probing[u.Kind]; probed || u.Priority == k.Priority || u.Fresh <= 0 || !u.competesWith(k, bottlenecks) {
				continue
			}
			urgent, less := sharedSuccess(u, k)
			if most := out[u.Kind].Fresh * urgent / less; out[k.Kind].Fresh > most {
				out[k.Kind] = Share{Fresh: most, Returning: min(out[k.Kind].Returning, most)}
			}
		}
	}
}

// competesWith reports whether both kinds run on one service and need one of the bottlenecks.
func (k *KindDemand) competesWith(o *KindDemand, bottlenecks map[string]bool) bool {
	return sharesService(k, o, bottlenecks) && slices.ContainsFunc(k.Services, func(s string) bool { return slices.Contains(o.Services, s) })
}

// sharedSuccess returns the probabilities that the calls of each kind to the services that both need succeed. Losses at
// other services don't lessen if the other kind is limited.
func sharedSuccess(a, b *KindDemand) (ofA, ofB float64) {
	ofA, ofB = 1, 1
	for s, cost := range a.SlotSeconds {
		if cost > 0 && b.SlotSeconds[s] > 0 {
			ofA *= a.successAt(s)
			ofB *= b.successAt(s)
		}
	}
	return ofA, max(ofB, hopelessSuccess)
}
