package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's metadata store, as PROTOCOL.md describes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store in memory.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	ver     int64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

type txEntry struct {
	Table, Part, Key string
	Value            []byte
	Ver              int64
}

type tx struct {
	ExpectedRev []txEntry `json:"expectedRev"`
	Puts        []txEntry `json:"puts"`
	Remove      []txEntry `json:"remove"`
}

// apply does a transaction and reports whether its condition held.
func (s *store) apply(t tx) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectedRev {
		r, ok := s.rows[rowKey(e.Table, e.Part, e.Key)]
		if ok && r.Tombstone {
			ok = false
		}
		if (ok && r.Ver != e.Ver) || (!ok && e.Ver != 0) {
			return false
		}
	}
	s.ver++
	for _, e := range t.Puts {
		s.rows[rowKey(e.Table, e.Part, e.Key)] = row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Ver: s.ver}
	}
	for _, e := range t.Remove {
		s.rows[rowKey(e.Table, e.Part, e.Key)] = row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.ver, Tombstone: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// put writes one row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.apply(tx{Puts: []txEntry{{Table: table, Key: key, Value: value}}})
}

func (s *store) selectRows(want func(row) bool) ([]row, int64) {
	out := []row{}
	for _, r := range s.rows {
		if want(r) {
			out = append(out, r)
		}
	}
	return out, s.ver
}

func (s *store) answer(w http.ResponseWriter, rows []row, more bool, ver int64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": ver, "now": fmt.Sprintf("%dms", time.Since(s.began).Milliseconds()),
	})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	call := path.Base(r.URL.Path)
	time.Sleep(4 * time.Millisecond)
	switch call {
	case "rows-tx":
		var t tx
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ok := s.apply(t)
		s.mu.Lock()
		ver := s.ver
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.answer(w, []row{}, false, ver)
	case "rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		if limit <= 0 || limit > 500 {
			limit = 500
		}
		s.mu.Lock()
		rows, ver := s.selectRows(func(r row) bool {
			return r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && !r.Tombstone &&
				(q.Get("targetVersion") == "" || r.Key < q.Get("targetVersion"))
		})
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		more := len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		s.answer(w, rows, more, ver)
	case "rows-parts":
		s.mu.Lock()
		parts := map[string]bool{}
		for _, r := range s.rows {
			if r.Table == q.Get("table") {
				parts[r.Part] = true
			}
		}
		s.mu.Unlock()
		list := []string{}
		for p := range parts {
			list = append(list, p)
		}
		sort.Strings(list)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"parts": list})
	case "rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
		defer timer.Stop()
		for {
			s.mu.Lock()
			rows, ver := s.selectRows(func(r row) bool { return r.Table == q.Get("table") && r.Ver > after })
			changed := s.changed
			s.mu.Unlock()
			if len(rows) > 0 {
				sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
				s.answer(w, rows, false, ver)
				return
			}
			select {
			case <-changed:
			case <-timer.C:
				s.answer(w, rows, false, ver)
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
