package mesh

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// headerCall and headerReply carry the metadata that nodes send with a request and with its answer. They are
// short, since traffic between availability zones is charged for.
const (
	headerCall  = "Rs-C"
	headerReply = "Rs-R"
)

// callFields and replyFields are the numbers of fields in the two headers.
const (
	callFields  = 6
	replyFields = 9
	// suspectCallFields and suspectReplyFields are the additional fields for a request under suspicion.
	suspectCallFields, suspectReplyFields = poison.ScopeCount, 2
)

// peerCall is the metadata that a node sends with a request to the chosen server's node.
type peerCall struct {
	Service           string
	Route             string
	Caller            string // service of the VM where the request began
	Priority          int
	Internal          bool
	Once              bool
	RejectedElsewhere bool          // by another gate, which had no free slot
	Version           int64         // of the desired state by which the request was routed
	Stages            poison.Stages // of its cases, as the sender knows them
}

// peerReply is the metadata that the server's node sends with an answer or refusal.
type peerReply struct {
	Outcome         wire.Outcome
	Reason          wire.Reason
	RefusedByServer bool // the server itself refused, which counts as an arrival there
	Running         int
	Queued          int
	Limit           int
	Slowdown        int // slot hold time at the server, in percent of the usual hold time of the same kinds at all servers
	Success         int // percentage of good answers of the server; its own refusals don't count as good
	Version         int64
	Stopping        bool
	NotListening    bool          // it hasn't run since the node's backend server isn't listening
	CrashedLifetime string        // lifetime of the server that crashed while it ran the request; empty: none did
	RetryAfter      time.Duration // delay before the caller should retry; 0: the default
}

// ProtocolError reports a peer header that can't be parsed.
type ProtocolError struct {
	Header string
	Value  string
}

// Error names the header and its value.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("malformed peer header %s: %q", e.Header, e.Value)
}

// encode returns the value of headerCall.
func (c peerCall) encode() string {
	s := fmt.Sprintf("%s,%s,%s,%d,%s,%d", c.Service, c.Route, c.Caller, c.Priority, packFlags(c.Internal, c.Once, c.RejectedElsewhere), c.Version)
	if c.Stages.Suspected() {
		for _, stage := range c.Stages {
			s += "," + strconv.Itoa(stage)
		}
	}
	return s
}

// packFlags returns up to ten booleans as a decimal bit mask, the first in the lowest bit.
func packFlags(bits ...bool) string {
	n := 0
	for i, b := range bits {
		if b {
			n |= 1 << i
		}
	}
	return strconv.Itoa(n)
}

// parseCall parses a value of headerCall. The error is a *ProtocolError.
func parseCall(v string) (peerCall, error) {
	f := strings.Split(v, ",")
	if len(f) != callFields && len(f) != callFields+suspectCallFields {
		return peerCall{}, &ProtocolError{headerCall, v}
	}
	var stages poison.Stages
	for i, text := range f[callFields:] {
		var err error
		if stages[i], err = strconv.Atoi(text); err != nil {
			return peerCall{}, &ProtocolError{headerCall, v}
		}
	}
	prio, err1 := strconv.Atoi(f[3])
	bits, err2 := strconv.Atoi(f[4])
	version, err3 := strconv.ParseInt(f[5], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return peerCall{}, &ProtocolError{headerCall, v}
	}
	return peerCall{
		Service: f[0], Route: f[1], Caller: f[2], Priority: prio,
		Internal: bits&1 != 0, Once: bits&2 != 0, RejectedElsewhere: bits&4 != 0, Version: version, Stages: stages,
	}, nil
}

// encode returns the value of headerReply.
func (r peerReply) encode() string {
	s := fmt.Sprintf("%s,%s,%s,%d,%d,%d,%d,%d,%d", r.Outcome, r.Reason, packFlags(r.RefusedByServer, r.Stopping, r.NotListening),
		r.Running, r.Queued, r.Limit, r.Slowdown, r.Success, r.Version)
	if r.CrashedLifetime != "" || r.RetryAfter > 0 {
		s += fmt.Sprintf(",%s,%d", r.CrashedLifetime, r.RetryAfter.Milliseconds())
	}
	return s
}

// parseReply parses a value of headerReply. The error is a *ProtocolError.
func parseReply(v string) (peerReply, error) {
	f := strings.Split(v, ",")
	if len(f) != replyFields && len(f) != replyFields+suspectReplyFields {
		return peerReply{}, &ProtocolError{headerReply, v}
	}
	var crashedLifetime string
	var retryAfter time.Duration
	if len(f) > replyFields {
		ms, err := strconv.ParseInt(f[replyFields+1], 10, 64)
		if err != nil {
			return peerReply{}, &ProtocolError{headerReply, v}
		}
		crashedLifetime, retryAfter = f[replyFields], time.Duration(ms)*time.Millisecond
	}
	var n [7]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(f[i+2], 10, 64); err != nil {
			return peerReply{}, &ProtocolError{headerReply, v}
		}
	}
	return peerReply{
		Outcome: wire.Outcome(f[0]), Reason: wire.Reason(f[1]),
		RefusedByServer: n[0]&1 != 0, Stopping: n[0]&2 != 0, NotListening: n[0]&4 != 0,
		Running: int(n[1]), Queued: int(n[2]), Limit: int(n[3]),
		Slowdown: int(n[4]), Success: int(n[5]), Version: n[6],
		CrashedLifetime: crashedLifetime, RetryAfter: retryAfter,
	}, nil
}
