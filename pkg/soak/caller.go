package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// caller sends requests to the node of one VM over persistent connections.
type caller struct {
	vm      *vm
	client  *http.Client
	rnd     *rand.Rand
	keyRand *rand.Rand // draws the keys; separate, so that they leave the draws of rnd unchanged
	pick    func(rnd *rand.Rand) route
	prefix  string // of the numbers in its requests' IDs
	sent    int
}

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 2 * time.Second

// clientFrom returns an HTTP client that connects from a VM's address and reuses connections. Each dial and each
// request may take up to limit.
func clientFrom(ip string, limit time.Duration) *http.Client {
	d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{Timeout: limit, Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// run sends requests at random intervals, rate per second on average, until ctx ends. It returns then; requests in flight continue.
func (c *caller) run(ctx context.Context, rate float64) {
	s := c.vm.site
	for clock.Sleep(ctx, time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second))) {
		r := c.pick(c.rnd)
		c.sent++
		a := attempt{
			ID: fmt.Sprintf("%s-%d-%s%d", c.vm.service, c.vm.number, c.prefix, c.sent), Route: r.path, Service: r.service,
			Once: r.once, VM: c.vm.ip, Limit: r.limit(), Probe: r.probe, Key: s.teams.pickKey(c.keyRand),
		}
		s.callerRequests.Go(func() {
			a.Begun = time.Now()
			c.sendAttempt(&a)
			a.Ended = time.Now()
			s.history.addAttempt(a)
		})
	}
}

// sendAttempt sends one request and sets the outcome in a. Without a whole response Status and OwnAnswer stay unset.
func (c *caller) sendAttempt(a *attempt) {
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
	var sent atomic.Int64
	req = req.WithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { a.Kept = i.Reused },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				sent.Store(time.Now().UnixNano())
			}
		},
	}))
	res, err := c.client.Do(req)
	if ns := sent.Load(); ns > 0 {
		a.Sent = time.Unix(0, ns)
	}
	if err != nil {
		a.Closed = isClosed(err)
		return
	}
	defer res.Body.Close()
	c.vm.site.history.addNotice(c.vm.ip, res.Header)
	body, err := io.ReadAll(res.Body)
	if err != nil {
		a.Closed = isClosed(err)
		return
	}
	a.Status = res.StatusCode
	a.OwnAnswer = string(body) == answerBody(a.ID) && res.Header.Get(standin.SealHeader) == sealOf(a.ID) &&
		res.Header.Get(standin.Headers.AttemptID) == a.ID
}

// isClosed reports whether an error means that the other side closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
