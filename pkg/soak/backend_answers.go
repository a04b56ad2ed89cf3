package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/platform/standin"
)

// ServeHTTP takes one request.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance, f := b.state()
	id := r.Header.Get(standin.Headers.AttemptID)
	w.Header().Set(standin.Headers.AttemptID, id)
	a := arrival{ID: id, Service: b.vm.service, Instance: instance, VM: b.vm.ip, At: time.Now(), Team: r.Header.Get(standin.Headers.Team)}
	if r.Header.Get(standin.Headers.Key) != "" {
		b.history.addFinding("key", id+" showed the server its key")
	}
	if meant := r.Header.Get(standin.Headers.Instance); meant != "" && meant != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := callerOf(id); want != r.Header.Get(standin.Headers.Caller) {
		b.history.addFinding("caller service", fmt.Sprintf("%s came with %q", id, r.Header.Get(standin.Headers.Caller)))
	}
	if rand.Float64() < f.Shed {
		b.history.addArrival(a)
		w.Header().Set(standin.Headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.Ran = true
	b.history.addArrival(a)
	b.run(w, r, id, f)
}

// run works on a request and answers it.
func (b *backendServer) run(w http.ResponseWriter, r *http.Request, id string, f serverFault) {
	time.Sleep(time.Duration(float64(serverWork) * float64(max(f.Slow, 1)) * (0.5 + rand.Float64())))
	ok := rand.Float64() >= f.Fail
	if called := b.vm.site.calledPath(b.vm.service); called != "" && ok {
		ok = b.call(called, id, r)
	}
	if rand.Float64() < f.Cut {
		hijack(w, "")
		return
	}
	if !ok {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := answerTo(id)
	if rand.Float64() < f.Extra {
		hijack(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\n\r\nextra",
			standin.Headers.AttemptID, id, standin.SealHeader, sealOf(id), len(body), body))
		return
	}
	w.Header().Set(standin.SealHeader, sealOf(id))
	_, _ = io.WriteString(w, body) // a caller that left doesn't read it
}

// call makes the inner call of a run.
func (b *backendServer) call(path, id string, r *http.Request) bool {
	left, err := strconv.Atoi(r.Header.Get(standin.Headers.TimeLeft))
	if err != nil || left <= 0 {
		return false
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+b.vm.at(portOutbound)+path, nil)
	if err != nil {
		return false
	}
	inner := id + "." + b.vm.service
	req.Host = routeHost
	req.Header.Set(standin.Headers.AttemptID, inner)
	req.Header.Set(standin.Headers.TimeLeft, strconv.Itoa(left))
	res, err := b.calls.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && string(body) == answerTo(inner)
}

// hijack writes raw bytes and ends the connection.
func hijack(w http.ResponseWriter, raw string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, raw)
	if tcp, ok := conn.(*net.TCPConn); ok && raw == "" {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// callerOf returns the service beside which a request began: an identity is the service of its VM, a dash and
// a number, and a dot and a service for each call below.
func callerOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[i+1:]
	}
	return id[:strings.IndexByte(id, '-')]
}

// answerTo is the body of the answer to a request.
func answerTo(id string) string { return "answer to " + id + strings.Repeat(" .", 200) }

func sealOf(id string) string { return "seal of " + id }
