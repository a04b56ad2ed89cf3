package mesh

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/logging"
)

// The site of BenchmarkCallCost.
const (
	costNodes    = 9
	costZones    = 3 // the first node of each zone is where calls begin, the others are beside servers of the called service
	costClients  = 48
	costSlots    = 100
	costWorkTime = 5 * time.Millisecond
	// costWarmUpCalls opens the connections and lets the nodes learn the usual times before the measurement.
	costWarmUpCalls = 4000
	// costDriverEnv holds, in the driver's process, the VMs' addresses and the first port of the site.
	costDriverEnv = "ROCKSPOKE_COST_DRIVER"
)

// BenchmarkCallCost measures the CPU time that two nodes take for one call: the node where it begins and the node beside the
// server. The clients and the servers are another process, so that their CPU time doesn't count.
func BenchmarkCallCost(b *testing.B) {
	s := newSite(b)
	// Tests of other checkouts on the same machine use the addresses of newSite.
	s.base = fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, os.Getpid()/100%250)
	s.logger = productionLogger(b)
	var ips []string
	for i := range costNodes {
		ips = append(ips, s.base+strconv.Itoa(i+1))
	}
	driver := startCostDriver(b, s, ips)
	for i, ip := range ips {
		service := "a"
		if i < costZones {
			service = "front"
		}
		s.servers = append(s.servers, &fakeServer{ip: ip, service: service, zone: fmt.Sprint("z", i%costZones), slots: costSlots, instance: "i-" + ip, outboundAddr: s.at(ip, 1)})
		s.nodes = append(s.nodes, nil)
		s.start(i)
		s.t.Cleanup(func() { s.nodes[i].halt() })
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, "a")}})
	s.waitUntilKnown(1)
	driver.run(costWarmUpCalls)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	served := driver.run(b.N)
	used := cpuTime(b) - before
	b.StopTimer()
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/call")
	b.ReportMetric(float64(served)/float64(b.N), "served/call")
}

// productionLogger returns loggers as the daemon makes them for a mesh node.
func productionLogger(b *testing.B) func(part string) *slog.Logger {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	qt.New(b).Assert(err, qt.IsNil)
	q := logging.NewQueue(null, clock.Real{}, logging.DefaultQueueSize)
	b.Cleanup(func() { q.Close(time.Second); null.Close() })
	return logging.Factory{W: q, Clock: clock.Real{}, JSON: true, PerSecond: 25}.Logger
}

// cpuTime returns the CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	qt.New(b).Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costDriver is the process with the clients and servers of BenchmarkCallCost.
type costDriver struct {
	c   *qt.C
	in  io.Writer
	out io.Reader
}

// startCostDriver starts the driver and waits until its servers are listening.
func startCostDriver(b *testing.B, s *site, ips []string) *costDriver {
	c := qt.New(b)
	cmd := exec.Command(os.Args[0], "-test.run=^TestCallCostDriver$")
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", costDriverEnv, strings.Join(ips, ","), s.port))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	c.Assert(err, qt.IsNil)
	out, err := cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Start(), qt.IsNil)
	b.Cleanup(func() {
		in.Close() // ends the driver
		_ = cmd.Wait()
	})
	d := &costDriver{c: c, in: in, out: out}
	d.run(0)
	return d
}

// run makes n calls and returns how many were served.
func (d *costDriver) run(n int) (served int) {
	fmt.Fprintln(d.in, n)
	_, err := fmt.Fscanln(d.out, &served)
	d.c.Assert(err, qt.IsNil)
	return served
}

// TestCallCostDriver is the driver process; it does nothing in other processes.
func TestCallCostDriver(t *testing.T) {
	var addresses string
	var port int
	if _, err := fmt.Sscan(os.Getenv(costDriverEnv), &addresses, &port); err != nil {
		t.Skip("this is no driver of BenchmarkCallCost")
	}
	s := &site{port: port}
	ips := strings.Split(addresses, ",")
	for _, ip := range ips {
		ln, err := Network{}.listen(s.at(ip, 4))
		qt.New(t).Assert(err, qt.IsNil)
		go http.Serve(ln, http.HandlerFunc(serveCostCall))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: costClients}}
	var ids atomic.Int64
	for {
		var n int
		if _, err := fmt.Scanln(&n); err != nil {
			return
		}
		fmt.Println(driveCalls(s, ips[:costZones], client, &ids, n))
	}
}

// serveCostCall answers as a backend server.
func serveCostCall(w http.ResponseWriter, r *http.Request) {
	time.Sleep(costWorkTime)
	w.Header().Set(testNames.AttemptID, r.Header.Get(testNames.AttemptID))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Server-Load", "3,0,100")
	_, _ = io.WriteString(w, `{"name":"value","number":123456}`)
}

// driveCalls makes n calls from concurrent clients to all nodes, and returns how many were served.
func driveCalls(s *site, ips []string, client *http.Client, ids *atomic.Int64, n int) int64 {
	var left, served atomic.Int64
	left.Store(int64(n))
	var all sync.WaitGroup
	for i := range costClients {
		all.Go(func() {
			for left.Add(-1) >= 0 {
				req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.at(ips[i%len(ips)], 1)+"/read/x?item=1234", nil)
				req.Host = "h"
				req.Header.Set(testNames.AttemptID, fmt.Sprintf("client%d-%d", i, ids.Add(1)))
				req.Header.Set(testNames.TimeLeft, "3000")
				res, err := client.Do(req)
				if err != nil {
					continue
				}
				if _, err = io.Copy(io.Discard, res.Body); err == nil && res.StatusCode == http.StatusOK {
					served.Add(1)
				}
				res.Body.Close()
			}
		})
	}
	all.Wait()
	return served.Load()
}
