package wire

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/priority"
)

func TestDecodeCallReturnsTheEncodedCall(t *testing.T) {
	c := qt.New(t)
	h := http.Header{}
	in := Call{RootID: "r", Service: "s", Priority: priority.Max, RemainingMS: 5, RetryTokens: 2, Key: "k", Depth: 3, Delegated: true}
	EncodeCall(h, in)
	out, err := DecodeCall(h)
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Equals, in)
}

func TestInvalidHeadersAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		"", "{", `{"r":"x"}`, `{"r":"x","s":"y","t":-1}`, `{"r":"x","s":"y","d":-1}`, `{"r":"x","s":"y","p":4294967295}`,
		`{"r":"x","s":"y","k":"` + strings.Repeat("k", MaxKeyBytes+1) + `"}`, strings.Repeat(" ", maxHeaderBytes+1),
	} {
		_, err := DecodeCall(http.Header{HeaderCall: {text}})
		c.Assert(err, qt.ErrorAs, new(*HeaderError), qt.Commentf("%.40q", text))
	}
	_, err := DecodeAnswer(http.Header{HeaderAnswer: {`{"o":"maybe"}`}})
	c.Assert(err, qt.ErrorAs, new(*HeaderError))
}

func TestInternalAndHopByHopHeadersAreStripped(t *testing.T) {
	c := qt.New(t)
	h := http.Header{
		HeaderCall: {"forged"}, HeaderAnswer: {"forged"}, HeaderOutcome: {"ran"}, HeaderTimeout: {"5"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"},
	}
	StripInternalExcept(h, HeaderTimeout)
	StripHopByHop(h)
	c.Assert(h, qt.DeepEquals, http.Header{HeaderTimeout: {"5"}, "X-Kept": {"1"}})
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"r":"x","s":"y"}`, `{"o":"ran"}`)
	f.Fuzz(func(t *testing.T, call, answer string) {
		h := http.Header{HeaderCall: {call}, HeaderAnswer: {answer}}
		if c, err := DecodeCall(h); err == nil && (c.RetryTokens < 0 || c.Priority > priority.Max) {
			t.Fatalf("%+v", c)
		}
		if a, err := DecodeAnswer(h); err == nil && a.ReturnedTokens < 0 {
			t.Fatalf("%+v", a)
		}
	})
}
