package soak

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

// maxLinkDelay is the longest delay added to a link.
const maxLinkDelay = 150 * time.Millisecond

// isConnReset reports whether err says that the other end reset the connection.
func isConnReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// linksBetween returns the links between each VM of a and each other VM of b, in both directions.
func linksBetween(a, b []*vm) []link {
	var links []link
	for _, x := range a {
		for _, y := range b {
			if x != y {
				links = append(links, link{x.ip, y.ip}, link{y.ip, x.ip})
			}
		}
	}
	return links
}

// injectLinkFault applies f to the links for d and records it as a fault at vms.
func (s *site) injectLinkFault(kind string, vms []*vm, links []link, f linkFault, d time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, false, ipsOf(vms...)...)
	var ends []func()
	for _, l := range links {
		ends = append(ends, s.proxy.faultsOf(l).add(f))
	}
	time.Sleep(d)
	for _, end := range ends {
		end()
	}
	recordEnd()
}

// delayLinks delays the links between some VMs and the others by a random time up to maxLinkDelay, for d.
func delayLinks(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.randomVMs(rnd)
	f := linkFault{Delay: time.Duration(rnd.Float64() * float64(maxLinkDelay))}
	s.injectLinkFault(kind, s.vms, linksBetween(v, s.vms), f, d)
}

// resetLinks resets the open connections between some VMs and the others.
func resetLinks(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, false)
	for _, l := range linksBetween(s.randomVMs(rnd), s.vms) {
		s.proxy.resetConns(l)
	}
	recordEnd()
}

// cutLinks blocks the links between some VMs and the others in both directions for d.
func cutLinks(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.injectLinkFault(kind, s.vms, linksBetween(s.randomVMs(rnd), s.vms), linkFault{Blocked: true, BlockedBack: true}, d)
}

// cutLinksOneWay blocks the data that a VM sends on connections it opened to nodes, for d.
func cutLinksOneWay(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.randomVM(rnd)
	var links []link
	for _, o := range s.vms {
		links = append(links, link{v.ip, o.ip})
	}
	s.injectLinkFault(kind, s.vms, links, linkFault{Blocked: true}, d)
}

// silenceConnections makes the open connections of some VMs to the others, to their backend servers and to the store
// unresponsive for the rest of their life, without closing them.
func silenceConnections(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, false)
	v := s.randomVMs(rnd)
	for _, l := range linksBetween(v, s.vms) {
		s.proxy.silenceConns(l)
	}
	for _, x := range v {
		s.proxy.silenceConns(x.serverLink())
		s.proxy.silenceConns(link{x.ip, s.storeIP})
	}
	recordEnd()
}

// isolateZone blocks the links between a zone and the others, and between the zone and the store.
func isolateZone(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	zone := s.randomVM(rnd).zone
	var in, out []*vm
	for _, v := range s.vms {
		if v.zone == zone {
			in = append(in, v)
		} else {
			out = append(out, v)
		}
	}
	links := linksBetween(in, out)
	for _, v := range in {
		links = append(links, link{v.ip, s.storeIP})
	}
	s.injectLinkFault(kind, s.vms, links, linkFault{Blocked: true, BlockedBack: true}, d)
}

// resetServerLink resets the open connections of a VM to its backend server.
func resetServerLink(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.randomVM(rnd)
	recordEnd := s.history.beginDisturbance(kind, false)
	s.proxy.resetConns(v.serverLink())
	recordEnd()
}

// cutStoreLinks blocks the links of some VMs to the store for d.
func cutStoreLinks(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.randomVMs(rnd)
	var links []link
	for _, x := range v {
		links = append(links, link{x.ip, s.storeIP})
	}
	s.injectLinkFault(kind, v, links, linkFault{Blocked: true, BlockedBack: true}, d)
}
