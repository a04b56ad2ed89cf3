package mesh

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// headerCall and headerReply carry what nodes tell each other beside a request and its answer. They are
// short, since bytes between availability zones are paid for.
const (
	headerCall  = "Rs-C"
	headerReply = "Rs-R"
)

// callFields and replyFields are how many fields the two headers have.
const (
	callFields  = 6
	replyFields = 9
	// suspectFields are how many each has more where a request is under suspicion.
	suspectCallFields, suspectReplyFields = poison.ScopeCount, 2
)

// call is what a node tells the node beside the chosen server.
type call struct {
	Service    string
	Route      string
	Caller     string // service of the VM on which the request began
	Priority   int
	Inner      bool
	Once       bool
	TurnedAway bool          // by another gate, for want of room
	Version    int64         // desired state that the request came in with
	Stages     poison.Stages // of its cases, as the sender knows
}

// reply is what that node tells beside an answer or refusal.
type reply struct {
	Outcome  wire.Outcome
	Reason   wire.Reason
	ByServer bool // the refusal is the server's own: it counts as an arrival there
	Running  int
	Queued   int
	Limit    int
	Pace     int // time that requests hold a slot of the server, in a hundredth of what their kinds do at any server
	Success  int // good answers of the server in a hundred, refusals of its own counted as none
	Version  int64
	Stopping bool
	Gone     bool          // it hasn't run since nobody is there beside the node
	Ended    string        // the life of the server that ended under the request; empty: none did
	ComeBack time.Duration // when the caller should try again; 0: as usual
}

// ProtocolError reports a header between nodes that can't be read.
type ProtocolError struct {
	Header string
	Value  string
}

// Error names the header and its value.
func (e *ProtocolError) Error() string { return fmt.Sprintf("peer header %s: %q", e.Header, e.Value) }

func (c call) encode() string {
	s := fmt.Sprintf("%s,%s,%s,%d,%s,%d", c.Service, c.Route, c.Caller, c.Priority, flags(c.Inner, c.Once, c.TurnedAway), c.Version)
	if c.Stages.Suspected() {
		for _, stage := range c.Stages {
			s += "," + strconv.Itoa(stage)
		}
	}
	return s
}

// flags packs up to ten booleans into a short number.
func flags(bits ...bool) string {
	n := 0
	for i, b := range bits {
		if b {
			n |= 1 << i
		}
	}
	return strconv.Itoa(n)
}

func parseCall(v string) (call, error) {
	f := strings.Split(v, ",")
	if len(f) != callFields && len(f) != callFields+suspectCallFields {
		return call{}, &ProtocolError{headerCall, v}
	}
	var stages poison.Stages
	for i, text := range f[callFields:] {
		var err error
		if stages[i], err = strconv.Atoi(text); err != nil {
			return call{}, &ProtocolError{headerCall, v}
		}
	}
	prio, err1 := strconv.Atoi(f[3])
	bits, err2 := strconv.Atoi(f[4])
	version, err3 := strconv.ParseInt(f[5], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return call{}, &ProtocolError{headerCall, v}
	}
	return call{
		Service: f[0], Route: f[1], Caller: f[2], Priority: prio,
		Inner: bits&1 != 0, Once: bits&2 != 0, TurnedAway: bits&4 != 0, Version: version, Stages: stages,
	}, nil
}

func (r reply) encode() string {
	s := fmt.Sprintf("%s,%s,%s,%d,%d,%d,%d,%d,%d", r.Outcome, r.Reason, flags(r.ByServer, r.Stopping, r.Gone),
		r.Running, r.Queued, r.Limit, r.Pace, r.Success, r.Version)
	if r.Ended != "" || r.ComeBack > 0 {
		s += fmt.Sprintf(",%s,%d", r.Ended, r.ComeBack.Milliseconds())
	}
	return s
}

func parseReply(v string) (reply, error) {
	f := strings.Split(v, ",")
	if len(f) != replyFields && len(f) != replyFields+suspectReplyFields {
		return reply{}, &ProtocolError{headerReply, v}
	}
	var ended string
	var comeBack time.Duration
	if len(f) > replyFields {
		ms, err := strconv.ParseInt(f[replyFields+1], 10, 64)
		if err != nil {
			return reply{}, &ProtocolError{headerReply, v}
		}
		ended, comeBack = f[replyFields], time.Duration(ms)*time.Millisecond
	}
	var n [7]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(f[i+2], 10, 64); err != nil {
			return reply{}, &ProtocolError{headerReply, v}
		}
	}
	return reply{
		Outcome: wire.Outcome(f[0]), Reason: wire.Reason(f[1]),
		ByServer: n[0]&1 != 0, Stopping: n[0]&2 != 0, Gone: n[0]&4 != 0,
		Running: int(n[1]), Queued: int(n[2]), Limit: int(n[3]),
		Pace: int(n[4]), Success: int(n[5]), Version: n[6],
		Ended: ended, ComeBack: comeBack,
	}, nil
}
