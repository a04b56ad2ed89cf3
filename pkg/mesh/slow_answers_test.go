package mesh

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// smallVMBytes is the memory of the smallest VMs.
const smallVMBytes = 284 << 20

// slowAnswers are starts of answers that go on with one byte at a time, each within the bound of a single one.
var slowAnswers = map[string]string{
	"header":  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 60<<10),
	"headers": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Name: value\r\n", 4000) + "X: ",
	"interim": strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1500) + "HTTP/1.1 103 ",
	"body":    "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("a", 120<<10),
	"chunks":  "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nmore\r\n", 30000) + "1000\r\n",
}

// heapPeak calls f and returns by how much the heap grew at the most meanwhile, in bytes.
func heapPeak(f func()) uint64 {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	before, peak := heap(), uint64(0)
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				peak = max(peak, heap())
			}
		}
	}()
	f()
	close(done)
	<-sampled
	return max(peak, before) - before
}

// Guards against answers of all slots of a server that go on slowly without end and together take the memory of a VM.
func TestSlowAnswersWithoutEndFitIntoMemory(t *testing.T) {
	for name, start := range slowAnswers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSite(t)
			const slots = 280
			s.add("a", "z0", slots)
			s.add("front", "z1", 10)
			s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a"), route("other", desired.Repeatable, "front")}})
			s.waitUntilKnown(1)
			s.servers[0].mu.Lock()
			s.servers[0].handle = func(w http.ResponseWriter, r *http.Request) {
				conn, out, err := w.(http.Hijacker).Hijack()
				if err == nil {
					answerSlowly(conn, out, strings.Replace(start, "ID", r.Header.Get(testNames.AttemptID), 1))
				}
			}
			s.servers[0].mu.Unlock()
			var clients sync.WaitGroup
			grown := heapPeak(func() {
				for i := range slots {
					clients.Go(func() {
						status, _, _ := s.request(1, http.MethodGet, "/read/x", fmt.Sprint("slow", i), 2*time.Second)
						c.Check(status, qt.Not(qt.Equals), http.StatusOK)
					})
				}
				time.Sleep(time.Second)
				for i := range 20 {
					status, _, _ := s.request(0, http.MethodGet, "/other/x", fmt.Sprint("other", i), time.Second)
					c.Check(status, qt.Equals, http.StatusOK)
				}
				clients.Wait()
			})
			t.Logf("%d requests: %d MiB", slots, grown>>20)
			c.Check(grown < smallVMBytes, qt.IsTrue, qt.Commentf("%d MiB", grown>>20))
		})
	}
}

// answerSlowly writes the start of an answer and then a byte at a time, until the other side closes the connection.
func answerSlowly(conn net.Conn, out *bufio.ReadWriter, start string) {
	defer conn.Close()
	_, err := out.WriteString(start)
	for err == nil {
		if err = out.Flush(); err == nil {
			time.Sleep(50 * time.Millisecond)
			_, err = out.WriteString("a")
		}
	}
}
