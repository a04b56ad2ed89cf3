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

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// ServeHTTP records one request as an arrival, checks its headers, and rejects or runs it.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance, lifetime, f := b.instanceAndFault()
	id := r.Header.Get(standin.Headers.AttemptID)
	w.Header().Set(standin.Headers.AttemptID, id)
	a := arrival{ID: id, Service: b.vm.service, Instance: instance, Lifetime: lifetime, VM: b.vm.ip, At: time.Now(), Team: r.Header.Get(standin.Headers.Team)}
	if r.Header.Get(standin.Headers.Key) != "" {
		b.history.addFinding("key", id+" showed the server its key")
	}
	if wantInstance := r.Header.Get(standin.Headers.Instance); wantInstance != "" && wantInstance != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if wantCaller := callingService(id); wantCaller != r.Header.Get(standin.Headers.Caller) {
		b.history.addFinding("caller service", fmt.Sprintf("%s came with %q", id, r.Header.Get(standin.Headers.Caller)))
	}
	if rand.Float64() < f.RefusalRate {
		b.history.addArrival(a)
		b.setNotices(w.Header(), lifetime)
		w.Header().Set(standin.Headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.Ran = true
	b.history.addArrival(a)
	b.run(w, r, id, lifetime, f)
}

// run simulates the work on a request, with the internal call of the service if it has one, and writes the response
// that f allows.
func (b *backendServer) run(w http.ResponseWriter, r *http.Request, id, lifetime string, f serverFault) {
	time.Sleep(time.Duration(float64(serverRunTime) * float64(max(f.Slowdown, 1)) * (0.5 + rand.Float64())))
	if strings.HasPrefix(r.URL.Path, routeLong.path) && rand.IntN(longRunEvery) == 0 {
		clock.Sleep(r.Context(), longRunTime)
	}
	ok := rand.Float64() >= f.FailureRate
	if called := b.vm.site.calledPath(b.vm.service); called != "" && ok {
		ok = b.callInternal(called, id, r)
	}
	if rand.Float64() < f.LostAnswerRate {
		writeRawAndClose(w, "")
		return
	}
	if rand.Float64() < f.EndlessRate {
		writeWithoutEnd(w, f.EndlessForm)
		return
	}
	b.setNotices(w.Header(), lifetime)
	if !ok {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := answerBody(id)
	if rand.Float64() < f.ExtraBytesRate {
		writeRawAndClose(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\n\r\nextra",
			standin.Headers.AttemptID, id, standin.SealHeader, sealOf(id), len(body), body))
		return
	}
	w.Header().Set(standin.SealHeader, sealOf(id))
	_, _ = io.WriteString(w, body) // the caller may have disconnected
}

// endlessForm is the start of an answer without end, and what is repeated after it.
type endlessForm struct{ start, repeated string }

// endlessForms are the answers without end that a server in trouble sends.
var endlessForms = []endlessForm{
	{"HTTP/1.1 200 OK\r\nX: ", "a"},
	{"HTTP/1.1 200 OK\r\n", "X-Name: value\r\n"},
	{"HTTP/1.1 200 ", "O"},
	{"HTTP/1.1 000 None\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{"", "no answer"},
	{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Name: value\r\n"},
}

// writeWithoutEnd writes an answer without end until the node closes the connection, or for callerTimeout.
func writeWithoutEnd(w http.ResponseWriter, f endlessForm) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(callerTimeout)) // fails only on a closed connection
	_, err = io.WriteString(conn, f.start)
	for piece := strings.Repeat(f.repeated, endlessPiece/len(f.repeated)); err == nil; {
		_, err = io.WriteString(conn, piece)
	}
}

// endlessPiece is about how many bytes of an answer without end are written at once.
const endlessPiece = 32 << 10

// callInternal makes the internal call of the run with the given ID, within the time left in r, and reports whether
// it got the right response.
func (b *backendServer) callInternal(path, id string, r *http.Request) bool {
	leftMS, err := strconv.Atoi(r.Header.Get(standin.Headers.TimeLeft))
	if err != nil || leftMS <= 0 {
		return false
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+b.vm.at(portOutbound)+path, nil)
	if err != nil {
		return false
	}
	callID := id + "." + b.vm.service
	req.Host = routeHost
	req.Header.Set(standin.Headers.AttemptID, callID)
	req.Header.Set(standin.Headers.TimeLeft, strconv.Itoa(leftMS))
	b.history.addCall(internalCall{ID: callID, VM: b.vm.ip, Begun: time.Now()})
	res, err := b.callClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	b.history.addNotice(b.vm.ip, res.Header)
	body, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && string(body) == answerBody(callID)
}

// writeRawAndClose writes raw to the connection and closes it; with an empty raw it resets the connection.
func writeRawAndClose(w http.ResponseWriter, raw string) {
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

// callingService returns the service that sent the request with the given ID. An ID is the service of the entry VM, a
// dash and numbers, then a dot and the calling service for each internal call.
func callingService(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[i+1:]
	}
	return id[:strings.IndexByte(id, '-')]
}

// answerBody returns the body of the response to the request with the given ID.
func answerBody(id string) string { return "answer to " + id + strings.Repeat(" .", 200) }

// sealOf returns the value of the seal header in the response to the request with the given ID.
func sealOf(id string) string { return "seal of " + id }
