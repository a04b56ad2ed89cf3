package advertised

import (
	"net/http"
	"strconv"
	"strings"
)

// Load is what a server says of its load; the zero value is none.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes now as a multiple of the usual time; 0 if the server doesn't tell it.
	Pace float64
}

// Bounds on the figures of a load.
const (
	// maxLoadFigure bounds the counts. No server has that many slots.
	maxLoadFigure = 1_000_000
	// minPacePercent and maxPacePercent bound the pace, which the header has in percent: a server that is more than ten times as
	// fast or a hundred times as slow as usual doesn't tell its pace but something else.
	minPacePercent, maxPacePercent = 10, 10_000
	// loadFields is the number of figures with the pace; without it there is one less.
	loadFields = 4
)

// ParseLoad returns the load in the headers of an answer, or the zero value if there is none. The error is a *ValueError.
func (n Names) ParseLoad(h http.Header) (Load, error) {
	if n.Load == "" {
		return Load{}, nil
	}
	values := h.Values(n.Load)
	if len(values) == 0 {
		return Load{}, nil
	}
	if len(values) > 1 {
		return Load{}, newValueError(n.Load, strings.Join(values, "; "), "more than one header")
	}
	var figures [loadFields]int
	count := 0
	for rest, more := values[0], true; more; count++ {
		if count == loadFields {
			return Load{}, newValueError(n.Load, values[0], "more than four figures")
		}
		var text string
		text, rest, more = strings.Cut(rest, ",")
		f, err := strconv.ParseUint(strings.Trim(text, " "), 10, 32)
		if err != nil || f > maxLoadFigure {
			return Load{}, newValueError(n.Load, values[0], "not a list of whole numbers")
		}
		figures[count] = int(f)
	}
	l := Load{Running: figures[0], Waiting: figures[1], Slots: figures[2], Pace: float64(figures[3]) / 100}
	switch {
	case count < loadFields-1:
		return Load{}, newValueError(n.Load, values[0], "fewer than three figures")
	case count == loadFields && (figures[3] < minPacePercent || figures[3] > maxPacePercent):
		return Load{}, newValueError(n.Load, values[0], "pace out of range")
	}
	return l, nil
}
