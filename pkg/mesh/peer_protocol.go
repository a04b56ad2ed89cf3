package mesh

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/poison"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// headerCall and headerReply carry the metadata that nodes send with a request and with its answer. They are
// short, since traffic between availability zones is charged for. A request between nodes always has headerCall, and a message never has.
const (
	headerCall  = nodeHeaderPrefix + "C"
	headerReply = nodeHeaderPrefix + "R"
	// headerKnownLimit carries the rate limit of the chosen server as the sender knows it: the limit, a comma and the server's
	// instance. The node beside the server loses the limit when it restarts, its peers don't.
	headerKnownLimit = nodeHeaderPrefix + "L"
	// headerReserve carries the reserve of a call (budget.Reserve): milliseconds, a comma and the number of calls to come.
	headerReserve = nodeHeaderPrefix + "B"
)

// callFields and replyFields are the numbers of fields in the two headers.
const (
	callFields  = 6
	replyFields = 9
	// suspectCallFields and suspectReplyFields are the additional fields for a request under suspicion.
	suspectCallFields, suspectReplyFields = poison.ScopeCount, 2
	// noticeReplyFields are the further fields about a server that limits its rate or leaves. A node that doesn't know them
	// can't parse the header, so they are sent only to those that say they read them.
	noticeReplyFields = 5
	// paceReplyFields is the further field about a server that tells its pace, after all others. It is sent only to nodes that
	// say they read it, for the same reason.
	paceReplyFields = 1
)

// firstSuccessFlag is the reply's flag for CrashSuccess in the first scope; those of the other scopes follow.
const firstSuccessFlag = 32

// readsReserveFlag is the reply's flag for ReadsReserve, after those for CrashSuccess.
const readsReserveFlag = firstSuccessFlag << poison.ScopeCount

// peerCall is the metadata that a node sends with a request to the chosen server's node.
type peerCall struct {
	Service           string
	Route             string
	Caller            string // service of the VM where the request began
	Priority          int
	Internal          bool
	Once              bool
	RejectedElsewhere bool          // by another gate, which had no free slot
	ReadsNotices      bool          // the sender reads a serverNotice in the reply
	ReadsPace         bool          // the sender reads the pace in the reply
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
	Slowdown        int // slot hold time at the server now, in percent of the usual hold time of the same kinds at all servers
	Pace            int // the part of Slowdown that the server tells as its pace now, in percent; 0: it tells none
	Success         int // percentage of good answers of the server; its own refusals don't count as good
	Version         int64
	Stopping        bool
	NotListening    bool   // it hasn't run since the node's backend server isn't listening
	CrashedLifetime string // lifetime of the server that crashed while it ran the request; empty: none did
	// CrashSuccess tells in which scopes the request had succeeded recently at the server that crashed; it is known only if HasCrashSuccess
	// is set.
	CrashSuccess    poison.RecentSuccess
	HasCrashSuccess bool
	RetryAfter      time.Duration // delay before the caller should retry; 0: the default
	Notice          serverNotice
	ReadsReserve    bool // the server's node reads headerReserve and doesn't pass it on to its server
}

// serverNotice is what the server's node reports of a server that limits its rate or leaves; the zero value is for any other.
type serverNotice struct {
	Lifetime directory.Lifetime
	Limit    advertised.RateLimit
	Use      int           // requests a second that arrive for the server, in percent of the limit
	Wait     time.Duration // until the rate allows one more root request to be queued
	Leaving  bool
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
	b := make([]byte, 0, peerHeaderBytes)
	b = appendFields(b, c.Service, c.Route, c.Caller)
	b = appendNumbers(b, int64(c.Priority), packFlags(c.Internal, c.Once, c.RejectedElsewhere, c.ReadsNotices, c.ReadsPace), c.Version)
	if c.Stages.Suspected() {
		for _, stage := range c.Stages {
			b = appendNumbers(b, int64(stage))
		}
	}
	return string(b)
}

// peerHeaderBytes is the length up to which the two headers are built on the stack; most are shorter.
const peerHeaderBytes = 160

// appendFields appends texts, each after a comma unless it is the first field.
func appendFields(b []byte, texts ...string) []byte {
	for i, s := range texts {
		if i > 0 || len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, s...)
	}
	return b
}

// appendNumbers appends numbers, each after a comma.
func appendNumbers(b []byte, numbers ...int64) []byte {
	for _, n := range numbers {
		b = strconv.AppendInt(append(b, ','), n, 10)
	}
	return b
}

// packFlags returns up to ten booleans as a bit mask, the first in the lowest bit.
func packFlags(bits ...bool) int64 {
	n := int64(0)
	for i, b := range bits {
		if b {
			n |= 1 << i
		}
	}
	return n
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
		Internal: bits&1 != 0, Once: bits&2 != 0, RejectedElsewhere: bits&4 != 0, ReadsNotices: bits&8 != 0, ReadsPace: bits&16 != 0,
		Version: version, Stages: stages,
	}, nil
}

// encode returns the value of headerReply.
func (r peerReply) encode() string {
	flags := packFlags(r.RefusedByServer, r.Stopping, r.NotListening, r.Notice.Leaving, r.HasCrashSuccess)
	flags |= firstSuccessFlag * packFlags(r.CrashSuccess[:]...)
	if r.ReadsReserve {
		flags |= readsReserveFlag
	}
	b := make([]byte, 0, peerHeaderBytes)
	b = appendFields(b, string(r.Outcome), string(r.Reason))
	b = appendNumbers(b, flags, int64(r.Running), int64(r.Queued), int64(r.Limit), int64(r.Slowdown), int64(r.Success), r.Version)
	known := r.Notice.Lifetime.Instance != ""
	if r.CrashedLifetime != "" || r.RetryAfter > 0 || known {
		b = appendFields(b, r.CrashedLifetime)
		b = appendNumbers(b, r.RetryAfter.Milliseconds())
	}
	if known {
		b = append(b, r.Notice.encode()...)
	}
	if r.Pace > 0 {
		b = appendNumbers(b, int64(r.Pace))
	}
	return string(b)
}

// encode returns the fields of the notice, each after a comma; Leaving is among the reply's flags.
func (s serverNotice) encode() string {
	limit := ""
	if s.Limit.Advertised {
		limit = s.Limit.String()
	}
	return fmt.Sprintf(",%s,%d,%s,%d,%d", s.Lifetime.Instance, s.Lifetime.StartedMS, limit, s.Use, s.Wait.Milliseconds())
}

// parseNotice parses what encode returned, split at the commas; it reports whether the fields are valid.
func parseNotice(f []string) (s serverNotice, ok bool) {
	startedMS, err1 := strconv.ParseInt(f[1], 10, 64)
	limit, err2 := advertised.ParseRate(f[2])
	use, err3 := strconv.Atoi(f[3])
	waitMS, err4 := strconv.ParseInt(f[4], 10, 64)
	s = serverNotice{
		Lifetime: directory.Lifetime{Instance: f[0], StartedMS: startedMS}, Limit: limit, Use: use, Wait: time.Duration(waitMS) * time.Millisecond,
	}
	return s, err1 == nil && (err2 == nil || f[2] == "") && err3 == nil && err4 == nil
}

// parseReply parses a value of headerReply. The error is a *ProtocolError.
func parseReply(v string) (peerReply, error) {
	f := strings.Split(v, ",")
	f, pace, ok := cutPace(f)
	switch len(f) {
	case replyFields, replyFields + suspectReplyFields, replyFields + suspectReplyFields + noticeReplyFields:
	default:
		ok = false
	}
	if !ok {
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
	var notice serverNotice
	if rest := f[min(replyFields+suspectReplyFields, len(f)):]; len(rest) > 0 {
		var ok bool
		if notice, ok = parseNotice(rest); !ok {
			return peerReply{}, &ProtocolError{headerReply, v}
		}
	}
	var n [7]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(f[i+2], 10, 64); err != nil {
			return peerReply{}, &ProtocolError{headerReply, v}
		}
	}
	notice.Leaving = n[0]&8 != 0
	var success poison.RecentSuccess
	for i := range success {
		success[i] = n[0]&(firstSuccessFlag<<i) != 0
	}
	return peerReply{
		Outcome: wire.Outcome(f[0]), Reason: wire.Reason(f[1]),
		RefusedByServer: n[0]&1 != 0, Stopping: n[0]&2 != 0, NotListening: n[0]&4 != 0,
		Running: int(n[1]), Queued: int(n[2]), Limit: int(n[3]),
		Slowdown: int(n[4]), Pace: pace, Success: int(n[5]), Version: n[6],
		CrashedLifetime: crashedLifetime, HasCrashSuccess: n[0]&16 != 0, CrashSuccess: success, RetryAfter: retryAfter, Notice: notice,
		ReadsReserve: n[0]&readsReserveFlag != 0,
	}, nil
}

// cutPace cuts the pace off the fields of a reply, if it has one; it reports whether the pace is valid.
func cutPace(f []string) (rest []string, pace int, ok bool) {
	last := len(f) - paceReplyFields
	switch last {
	case replyFields, replyFields + suspectReplyFields, replyFields + suspectReplyFields + noticeReplyFields:
	default:
		return f, 0, true
	}
	pace, err := strconv.Atoi(f[last])
	return f[:last], pace, err == nil && pace > 0
}

// encodeKnownLimit returns the value of headerKnownLimit.
func encodeKnownLimit(l advertised.RateLimit, instance string) string {
	return l.String() + "," + instance
}

// parseKnownLimit parses a value of headerKnownLimit. The error is a *ProtocolError.
func parseKnownLimit(v string) (l advertised.RateLimit, instance string, err error) {
	rate, instance, _ := strings.Cut(v, ",")
	if l, err = advertised.ParseRate(rate); err != nil || instance == "" {
		return advertised.RateLimit{}, "", &ProtocolError{headerKnownLimit, v}
	}
	return l, instance, nil
}
