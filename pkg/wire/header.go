package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

// The names of the headers that nodes, backend servers and clients exchange.
const (
	// HeaderCall carries a Call between nodes; it is removed from clients' requests.
	HeaderCall = "Rockspoke-Call"
	// HeaderAnswer carries an Answer between nodes; it is never passed to a client.
	HeaderAnswer = "Rockspoke-Answer"
	// HeaderRequest identifies an inbound call to a backend server, which copies it to its outbound calls.
	HeaderRequest = "Rockspoke-Request"
	// HeaderOutcome carries the Outcome to a client.
	HeaderOutcome = "Rockspoke-Outcome"
	// HeaderReason carries the Reason of a refusal to a client.
	HeaderReason = "Rockspoke-Reason"
	// HeaderIdempotencyKey is the key under which a once-only request runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the client's timeout in milliseconds.
	HeaderTimeout = "Rockspoke-Timeout-Ms"
	// reservedPrefix begins the name of every header that is reserved for nodes.
	reservedPrefix = "Rockspoke-"
)

// maxHeaderBytes is the largest size of a call or answer header in bytes.
const maxHeaderBytes = 2048

// MaxKeyBytes is the largest size of an idempotency key in bytes.
const MaxKeyBytes = 256

// Call describes a call to the node that receives it.
type Call struct {
	RootID      string            `json:"r"`           // ID of the root request
	Priority    priority.Priority `json:"p"`           // set once, at the entry node
	RemainingMS int64             `json:"d"`           // time left, in milliseconds
	RetryTokens int               `json:"t"`           // retry tokens lent with the call
	Service     string            `json:"s"`           // called service
	Class       string            `json:"c,omitempty"` // request class at this hop
	Key         string            `json:"k,omitempty"` // key of once-only work
	Depth       int               `json:"n"`           // hops from the entry
	Delegated   bool              `json:"g,omitempty"` // the key's home node has delegated this run
	// ConfigVersion is the configuration version by which the server was chosen; 0 if that isn't known.
	ConfigVersion int64 `json:"v,omitempty"`
}

// Answer describes the result of a call to the node that sent it, and the state of the backend server.
type Answer struct {
	Outcome        Outcome           `json:"o"`
	Reason         Reason            `json:"w,omitempty"`
	OwnLevel       priority.Priority `json:"m,omitempty"` // admission level of this backend server alone
	LevelBelow     priority.Priority `json:"l,omitempty"` // highest admission level among the services in the call's subtree, without this one
	ReturnedTokens int               `json:"t,omitempty"` // retry tokens returned to the caller
	CallsAtServer  int               `json:"u,omitempty"` // calls running and queued at this backend server
	Limit          int               `json:"n,omitempty"` // its present concurrency limit, in calls
	RetryAfterMS   int64             `json:"a,omitempty"` // when to retry, in milliseconds
	ConfigVersion  int64             `json:"v,omitempty"` // configuration version in force
	Leaving        bool              `json:"x,omitempty"` // this backend server admits no new calls
	OnceOnly       bool              `json:"y,omitempty"` // once-only work was reached in the subtree
}

// HeaderError reports a malformed or oversized internal header.
type HeaderError struct {
	Header string
	Reason string
}

// Error returns a message with the header's name and the fault.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %s", e.Header, e.Reason) }

// EncodeCall sets the call header in h.
func EncodeCall(h http.Header, c Call) { encode(h, HeaderCall, c) }

// EncodeAnswer sets the answer header in h.
func EncodeAnswer(h http.Header, a Answer) { encode(h, HeaderAnswer, a) }

// encode sets the named header in h to v as JSON.
func encode(h http.Header, name string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("wire: " + err.Error()) // Call and Answer have only fields that always marshal
	}
	h.Set(name, string(b))
}

// DecodeCall parses and validates the call header in h; the error is a *HeaderError.
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

// DecodeAnswer parses and validates the answer header in h; the error is a *HeaderError.
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

// decode parses the named JSON header in h into v; the error is a *HeaderError.
func decode(h http.Header, name string, v any) error {
	s := h.Get(name)
	if s == "" {
		return &HeaderError{name, "missing"}
	}
	if len(s) > maxHeaderBytes {
		return &HeaderError{name, "too long"}
	}
	if err := json.Unmarshal([]byte(s), v); err != nil {
		return &HeaderError{name, err.Error()}
	}
	return nil
}

// hopByHopHeaders lists the hop-by-hop headers, which apply to one connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// StripHopByHop removes the hop-by-hop headers: those that HTTP defines, and those named in Connection headers.
func StripHopByHop(h http.Header) {
	for _, name := range h.Values("Connection") {
		for _, f := range strings.Split(name, ",") {
			h.Del(strings.TrimSpace(f))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// StripInternal removes every header that is reserved for nodes.
func StripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(h, name)
		}
	}
}

// Remaining returns the time left for the call.
func (c Call) Remaining() time.Duration { return time.Duration(c.RemainingMS) * time.Millisecond }

// StripInternalExcept removes every header that is reserved for nodes, except those named in keep.
func StripInternalExcept(h http.Header, keep ...string) {
	retained := http.Header{}
	for _, name := range keep {
		if v, ok := h[name]; ok {
			retained[name] = v
		}
	}
	StripInternal(h)
	for name, v := range retained {
		h[name] = v
	}
}
