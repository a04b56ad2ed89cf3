package mesh

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// slowBody is a body that is sent in pieces.
type slowBody struct{ rest io.Reader }

// Read returns the next piece after a pause.
func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return b.rest.Read(p[:min(len(p), 8<<10)])
}

// received is what a server got of a request's body.
type received struct {
	data []byte
	err  error
}

// Guards against a body that is cut, or lacks pieces, since its request is answered while the body is still being sent.
func TestBodyArrivesWholeAfterAnEarlyAnswer(t *testing.T) {
	c := qt.New(t)
	s := newSite(t)
	s.add("a", "z0", 10)
	s.add("front", "z0", 10)
	s.add("front", "z1", 10)
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("pay", desired.AtMostOnce, "a")}})
	s.waitUntilKnown(1)
	body := make([]byte, 300_000)
	for i := range body {
		body[i] = byte(i>>8) ^ byte(i)
	}
	bodies := make(chan received, 1)
	answerBytes := map[string]int{}
	for k := range 24 {
		answerBytes[fmt.Sprint(k)] = []int{2000, 200_000}[k/6%2]
	}
	s.servers[0].handle = func(w http.ResponseWriter, r *http.Request) {
		var got bytes.Buffer
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		_, err := io.CopyN(&got, r.Body, 140_000)
		_, _ = w.Write(make([]byte, answerBytes[r.Header.Get(testNames.AttemptID)]))
		_ = control.Flush()
		time.Sleep(20 * time.Millisecond)
		if err == nil {
			_, err = io.Copy(&got, r.Body)
		}
		bodies <- received{got.Bytes(), err}
	}
	for k := range len(answerBytes) {
		req, _ := http.NewRequest(http.MethodPost, "http://"+s.servers[k%3].outboundAddr+"/pay/x", slowBody{bytes.NewReader(body)})
		req.Host = "h"
		if k%2 == 0 {
			req.ContentLength = int64(len(body))
		}
		req.Header.Set(testNames.AttemptID, fmt.Sprint(k))
		req.Header.Set(testNames.TimeLeft, "5000")
		res, err := s.clients.Do(req)
		c.Assert(err, qt.IsNil)
		answer, err := io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil, qt.Commentf("request %d: %d of its answer", k, len(answer)))
		c.Check(answer, qt.HasLen, answerBytes[fmt.Sprint(k)], qt.Commentf("request %d: status %d", k, res.StatusCode))
		got := <-bodies
		c.Check(got.err, qt.IsNil, qt.Commentf("request %d", k))
		c.Check(bytes.Equal(got.data, body), qt.IsTrue, qt.Commentf("request %d: the server got %d bytes", k, len(got.data)))
	}
}
