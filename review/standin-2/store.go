package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// snapshot is a copy of the store's rows at one moment.
type snapshot struct {
	rows map[string]row
	ver  int64
}

// store is a sound metadata store in memory. While down is set it answers each call with 503, by which nothing is done.
type store struct {
	rec *record

	mu      sync.Mutex
	rows    map[string]row
	ver     int64
	era     int64
	down    bool
	away    bool // no answer at all: each connection is closed
	copies  *snapshot
	changed chan struct{}
}

func newStore(rec *record) *store {
	return &store{rec: rec, rows: map[string]row{}, era: 1, changed: make(chan struct{})}
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// wake wakes the calls that wait for a change; s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes rows in one transaction.
func (s *store) put(rows ...row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[r.id()] = r
	}
	s.wake()
}

// setDown starts or ends an outage of the whole store.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
	s.rec.add("store", "down", down)
}

// goAway has the store answer nothing until it returns from a copy.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
	s.rec.add("store", "away")
}

// takeCopy keeps a copy of the rows as they are now.
func (s *store) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &snapshot{rows: map[string]row{}, ver: s.ver}
	for k, r := range s.rows {
		c.rows[k] = r
	}
	s.copies = c
	s.rec.add("store", "copy taken at version", s.ver)
}

// returnFromCopy replaces the rows by the copy, in the next era.
func (s *store) returnFromCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = map[string]row{}
	for k, r := range s.copies.rows {
		s.rows[k] = r
	}
	s.ver = s.copies.ver
	s.era++
	s.down, s.away = false, false
	s.wake()
	s.rec.add("store", "back from a copy, era", s.era)
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     int64  `json:"ver"`
	Now     string `json:"now"`
}

// matching returns the rows that want holds for, in rising order of key; s.mu is held.
func (s *store) matching(want func(r row) bool) rowsAnswer {
	a := rowsAnswer{Rows: []row{}, Ver: s.ver, Now: strconv.FormatInt(time.Since(startOfRun).Milliseconds(), 10) + "ms"}
	for _, r := range s.rows {
		if want(r) {
			a.Rows = append(a.Rows, r)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	return a
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(4 * time.Millisecond) // an answer takes 4 ms on the sheets
	vm, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	era, down, away := s.era, s.down, s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch strings.TrimPrefix(r.URL.Path, "/rockspoke/") {
	case "rows-tx":
		s.transact(w, vm, body)
	case "rows-get":
		s.mu.Lock()
		a := s.matching(func(x row) bool {
			return x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && !x.Tombstone
		})
		s.mu.Unlock()
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && len(a.Rows) > n {
			a.Rows, a.HasMore = a.Rows[:n], true
		}
		answerJSON(w, a)
	case "rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// transact does a rows-tx call.
func (s *store) transact(w http.ResponseWriter, vm string, body []byte) {
	var tx struct {
		ExpectedRev []row `json:"expectedRev"`
		Puts        []row `json:"puts"`
		Remove      []row `json:"remove"`
	}
	if json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond) // tx
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	found := []row{}
	ok := true
	for _, e := range tx.ExpectedRev {
		have := s.rows[e.id()]
		found = append(found, have)
		ok = ok && have.Ver == e.Ver
	}
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		answerJSON(w, rowsAnswer{Rows: found, Ver: s.ver})
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver = s.ver
		s.rows[p.id()] = p
		if strings.Count(p.Key, ".") == 3 {
			s.rec.add("store", "row written by "+vm, string(p.Value))
		}
	}
	for _, p := range tx.Remove {
		p.Ver, p.Tombstone = s.ver, true
		s.rows[p.id()] = p
	}
	s.wake()
	answerJSON(w, rowsAnswer{Rows: []row{}, Ver: s.ver})
}

// feed answers a rows-feed call as soon as a row of the table has changed.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		changed, down, away := s.changed, s.down, s.away
		a := s.matching(func(x row) bool { return x.Table == q.Get("table") && x.Ver > after })
		gone := after > s.ver
		era := s.era
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Rows) > 0:
			answerJSON(w, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answerJSON(w, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}
