package advertised

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Names are the header names in which a backend server advertises; an empty name is never read.
type Names struct {
	RateLimit string // requests a second that the server accepts from all callers together, as a decimal number
	Leaving   string // "1" or "true" in the answers of a server that is about to stop
	Load      string // running and waiting requests, slots and pace, as whole numbers separated by commas; the pace may be absent
}

// Notice is what one answer says of its server.
type Notice struct {
	RateLimit RateLimit
	Leaving   bool
}

// RateLimit is an advertised rate limit; the zero value is none.
type RateLimit struct {
	Advertised bool
	PerSecond  float64 // 0 or more
}

// String returns the limit as the header has it, or "none".
func (l RateLimit) String() string {
	if !l.Advertised {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// ValueError reports a header with a value that can't be used.
type ValueError struct {
	Header string
	Value  string // shortened
	Reason string
}

// Error names the header, its value and what is wrong with it.
func (e *ValueError) Error() string { return fmt.Sprintf("%s: %q: %s", e.Header, e.Value, e.Reason) }

// Bounds on header values.
const (
	// maxRateDigits is the length in bytes up to which a rate is read: 18 digits, a point and as many decimals.
	maxRateDigits = 37
	// maxReportedValue is how many bytes of an invalid value an error shows.
	maxReportedValue = 64
)

// ParseRateLimit returns the rate limit in the headers of an answer, or the zero value if there is none. The error is a
// *ValueError.
func (n Names) ParseRateLimit(h http.Header) (RateLimit, error) {
	values := h.Values(n.RateLimit)
	if n.RateLimit == "" || len(values) == 0 {
		return RateLimit{}, nil
	}
	if len(values) > 1 {
		return RateLimit{}, newValueError(n.RateLimit, strings.Join(values, ", "), "more than one header")
	}
	l, err := ParseRate(values[0])
	if err != nil {
		return RateLimit{}, newValueError(n.RateLimit, values[0], err.Error())
	}
	return l, nil
}

// ParseLeaving reports whether the headers of an answer say that the server is leaving. The error is a *ValueError.
func (n Names) ParseLeaving(h http.Header) (bool, error) {
	if n.Leaving == "" {
		return false, nil
	}
	switch v := h.Get(n.Leaving); v {
	case "1", "true":
		return true, nil
	case "", "0", "false":
		return false, nil
	default:
		return false, newValueError(n.Leaving, v, "neither 1 nor 0")
	}
}

// newValueError returns an error with the value shortened to maxReportedValue.
func newValueError(header, value, reason string) *ValueError {
	return &ValueError{Header: header, Value: value[:min(len(value), maxReportedValue)], Reason: reason}
}

// decimalError says why a text is no decimal number.
type decimalError string

// Error returns the reason.
func (e decimalError) Error() string { return string(e) }

// ParseRate parses a rate: digits with an optional point among them. It accepts no sign, exponent, hexadecimal number or
// infinity, which strconv does. The error says why the text is no decimal number.
func ParseRate(text string) (RateLimit, error) {
	switch {
	case len(text) > maxRateDigits:
		return RateLimit{}, decimalError("too long")
	case strings.Trim(text, "0123456789.") != "" || strings.Count(text, ".") > 1 || strings.Trim(text, ".") == "":
		return RateLimit{}, decimalError("no decimal number")
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return RateLimit{}, decimalError(err.Error())
	}
	return RateLimit{Advertised: true, PerSecond: rate}, nil
}
