package soak

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

// mostDelay is the largest delay of a link.
const mostDelay = 150 * time.Millisecond

// isReset tells whether a connection was reset by its other end.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// linksOf returns the links between two groups, both ways.
func linksOf(a, b []*vm) []link {
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

// holdLinks gives links a fault for a time.
func (s *site) holdLinks(kind string, vms []*vm, links []link, f linkFault, d time.Duration) {
	over := s.history.beginDisturbance(kind, false, ipsOf(vms...)...)
	var ends []func()
	for _, l := range links {
		ends = append(ends, s.proxy.on(l).hold(f))
	}
	time.Sleep(d)
	for _, end := range ends {
		end()
	}
	over()
}

func delayLinks(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.some(rnd)
	f := linkFault{Delay: time.Duration(rnd.Float64() * float64(mostDelay))}
	s.holdLinks(kind, s.vms, linksOf(v, s.vms), f, d)
}

func resetLinks(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	over := s.history.beginDisturbance(kind, false)
	for _, l := range linksOf(s.some(rnd), s.vms) {
		s.proxy.reset(l)
	}
	over()
}

func cutLinks(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.holdLinks(kind, s.vms, linksOf(s.some(rnd), s.vms), linkFault{Mute: true, MuteBack: true}, d)
}

func cutOneWay(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.oneOf(rnd)
	var links []link
	for _, o := range s.vms {
		links = append(links, link{v.ip, o.ip})
	}
	s.holdLinks(kind, s.vms, links, linkFault{Mute: true}, d)
}

// silenceConnections makes the open connections of some VMs to the others, to their backend servers and to the store go silent for good.
func silenceConnections(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	over := s.history.beginDisturbance(kind, false)
	v := s.some(rnd)
	for _, l := range linksOf(v, s.vms) {
		s.proxy.silence(l)
	}
	for _, x := range v {
		s.proxy.silence(x.serverLink())
		s.proxy.silence(link{x.ip, s.storeIP})
	}
	over()
}

// cutZone cuts a zone off from the others and from the store.
func cutZone(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	zone := s.oneOf(rnd).zone
	var in, out []*vm
	for _, v := range s.vms {
		if v.zone == zone {
			in = append(in, v)
		} else {
			out = append(out, v)
		}
	}
	links := linksOf(in, out)
	for _, v := range in {
		links = append(links, link{v.ip, s.storeIP})
	}
	s.holdLinks(kind, s.vms, links, linkFault{Mute: true, MuteBack: true}, d)
}

func resetServerLink(s *site, kind string, rnd *rand.Rand, _ time.Duration) {
	v := s.oneOf(rnd)
	over := s.history.beginDisturbance(kind, false)
	s.proxy.reset(v.serverLink())
	over()
}

func cutStoreLink(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.some(rnd)
	var links []link
	for _, x := range v {
		links = append(links, link{x.ip, s.storeIP})
	}
	s.holdLinks(kind, v, links, linkFault{Mute: true, MuteBack: true}, d)
}
