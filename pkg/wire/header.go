package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// The headers that daemons and callers see.
const (
	// HeaderCall carries Call between daemons; it is stripped from callers' requests.
	HeaderCall = "Rockspoke-Call"
	// HeaderAnswer carries Answer between daemons; it is never passed to a caller.
	HeaderAnswer = "Rockspoke-Answer"
	// HeaderRequest names the inbound call to a backend server, which repeats it on its outbound calls.
	HeaderRequest = "Rockspoke-Request"
	// HeaderOutcome tells a caller the Outcome.
	HeaderOutcome = "Rockspoke-Outcome"
	// HeaderReason tells a caller the Reason of a refusal.
	HeaderReason = "Rockspoke-Reason"
	// HeaderIdempotencyKey is the key under which a once-only request runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the caller's own time limit in milliseconds.
	HeaderTimeout = "Rockspoke-Timeout-Ms"
	// prefix marks every header that belongs to the daemons.
	prefix = "Rockspoke-"
)

// maxHeader bounds a call or answer header in bytes.
const maxHeader = 2048

// MaxKeyBytes bounds an idempotency key in bytes.
const MaxKeyBytes = 256

// Call is what a daemon tells the next one about a call.
type Call struct {
	RootID      string            `json:"r"`           // identity of the root request
	Priority    priority.Priority `json:"p"`           // set once, at the entry
	RemainingMS int64             `json:"d"`           // time left, in milliseconds
	RetryTokens int               `json:"t"`           // retry tokens lent with the call
	Service     string            `json:"s"`           // the service that is called
	Class       string            `json:"c,omitempty"` // request class at this hop
	Key         string            `json:"k,omitempty"` // key of once-only work
	Depth       int               `json:"n"`           // hops from the entry
	Delegated   bool              `json:"g,omitempty"` // the key's home answers for this run
}

// Answer is what a daemon tells the one that called it.
type Answer struct {
	Outcome        Outcome           `json:"o"`
	Reason         Reason            `json:"w,omitempty"`
	OwnLevel       priority.Priority `json:"m,omitempty"` // admission level of this backend server alone
	LevelBelow     priority.Priority `json:"l,omitempty"` // highest level among the services that the call reached below it
	ReturnedTokens int               `json:"t,omitempty"` // retry tokens that come back
	CallsAtServer  int               `json:"u,omitempty"` // calls running and queued at this backend server
	Limit          int               `json:"n,omitempty"` // calls that it may run at once now
	RetryAfterMS   int64             `json:"a,omitempty"` // when to come back, in milliseconds
	ConfigVersion  int64             `json:"v,omitempty"` // configuration version in force
	Leaving        bool              `json:"x,omitempty"` // this backend server takes no new work
	OnceOnly       bool              `json:"y,omitempty"` // once-only work was reached in the subtree
}

// HeaderError reports a malformed or oversized internal header.
type HeaderError struct {
	Header string
	Reason string
}

// Error names the header and what is wrong with it.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %s", e.Header, e.Reason) }

// EncodeCall sets the call header.
func EncodeCall(h http.Header, c Call) { encode(h, HeaderCall, c) }

// EncodeAnswer sets the answer header.
func EncodeAnswer(h http.Header, a Answer) { encode(h, HeaderAnswer, a) }

func encode(h http.Header, name string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("wire: " + err.Error()) // plain structs of plain fields always marshal
	}
	h.Set(name, string(b))
}

// DecodeCall reads and checks the call header; the error is a *HeaderError.
func DecodeCall(h http.Header) (Call, error) {
	var c Call
	if err := decode(h, HeaderCall, &c); err != nil {
		return Call{}, err
	}
	switch {
	case c.RootID == "" || c.Service == "":
		return Call{}, &HeaderError{HeaderCall, "root and service must be set"}
	case c.Priority > priority.Max:
		return Call{}, &HeaderError{HeaderCall, "priority out of range"}
	case c.RetryTokens < 0 || c.RemainingMS < 0 || c.Depth < 0:
		return Call{}, &HeaderError{HeaderCall, "negative number"}
	case len(c.Key) > MaxKeyBytes:
		return Call{}, &HeaderError{HeaderCall, "key too long"}
	}
	return c, nil
}

// DecodeAnswer reads and checks the answer header; the error is a *HeaderError.
func DecodeAnswer(h http.Header) (Answer, error) {
	var a Answer
	if err := decode(h, HeaderAnswer, &a); err != nil {
		return Answer{}, err
	}
	switch a.Outcome {
	case Ran, NotRun, Unknown:
	default:
		return Answer{}, &HeaderError{HeaderAnswer, "no such outcome"}
	}
	if a.ReturnedTokens < 0 {
		return Answer{}, &HeaderError{HeaderAnswer, "negative number"}
	}
	return a, nil
}

func decode(h http.Header, name string, v any) error {
	s := h.Get(name)
	if s == "" {
		return &HeaderError{name, "missing"}
	}
	if len(s) > maxHeader {
		return &HeaderError{name, "too long"}
	}
	if err := json.Unmarshal([]byte(s), v); err != nil {
		return &HeaderError{name, err.Error()}
	}
	return nil
}

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// StripHopByHop removes the headers that belong to one connection.
func StripHopByHop(h http.Header) {
	for _, name := range h.Values("Connection") {
		for _, f := range strings.Split(name, ",") {
			h.Del(strings.TrimSpace(f))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// StripInternal removes every header that only daemons may set.
func StripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, prefix) {
			delete(h, name)
		}
	}
}

// Remaining returns the time left on the call.
func (c Call) Remaining() time.Duration { return time.Duration(c.RemainingMS) * time.Millisecond }

// StripInternalExcept removes every header that only daemons may set, but for the ones named.
func StripInternalExcept(h http.Header, keep ...string) {
	kept := http.Header{}
	for _, name := range keep {
		if v, ok := h[name]; ok {
			kept[name] = v
		}
	}
	StripInternal(h)
	for name, v := range kept {
		h[name] = v
	}
}
