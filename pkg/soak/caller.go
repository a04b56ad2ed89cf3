package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// caller sends requests into one VM's node, on kept connections, until the process there is gone.
type caller struct {
	vm     *vm
	client *http.Client
	rnd    *rand.Rand
	keys   *rand.Rand // draws the keys: what rnd draws doesn't change with them
	count  int
}

// callerLimit is how long a caller waits for an answer.
const callerLimit = 2 * time.Second

// clientFrom returns an HTTP client that sends from a VM's address on kept connections and never repeats by itself.
func clientFrom(ip string, limit time.Duration) *http.Client {
	d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{Timeout: limit, Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// run sends requests at the rate until ctx ends; those in progress then go on.
func (c *caller) run(ctx context.Context, rate float64) {
	s := c.vm.site
	for clock.Sleep(ctx, time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second))) {
		r := s.pickRoute(c.rnd)
		c.count++
		a := attempt{
			ID: fmt.Sprintf("%s-%d-%d", c.vm.service, c.vm.number, c.count), Route: r.path, Service: r.service,
			Once: r.once, VM: c.vm.ip, Limit: callerLimit, Probe: r.probe, Key: s.teams.pickKey(c.keys),
		}
		s.callerRequests.Go(func() {
			a.Begun = time.Now()
			c.send(&a)
			a.Ended = time.Now()
			s.history.addAttempt(a)
		})
	}
}

// send makes one attempt and notes what came back.
func (c *caller) send(a *attempt) {
	method := http.MethodGet
	if a.Once {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+c.vm.at(portOutbound)+a.Route, nil)
	if err != nil {
		return
	}
	req.Host = routeHost
	req.Header.Set(standin.Headers.AttemptID, a.ID)
	req.Header.Set(standin.Headers.TimeLeft, strconv.FormatInt(a.Limit.Milliseconds(), 10))
	req.Header.Set(standin.Headers.Key, standin.Headers.KeyScheme+" "+a.Key.Key)
	req.Header.Set(standin.Headers.Team, "forged")
	res, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return
	}
	a.Status = res.StatusCode
	a.OwnAnswer = string(body) == answerTo(a.ID) && res.Header.Get(standin.SealHeader) == sealOf(a.ID) &&
		res.Header.Get(standin.Headers.AttemptID) == a.ID
}
