package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// startOfRun is when the program started; all times in the record count from it.
var startOfRun = time.Now()

// since returns the seconds since the start of the run.
func since(t time.Time) float64 { return t.Sub(startOfRun).Seconds() }

// record writes what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f}, nil
}

// add writes one line: the time, who, and what.
func (r *record) add(who string, what ...any) {
	line := fmt.Sprintf("%9.4f %-12s", since(time.Now()), who)
	for _, w := range what {
		line += " " + fmt.Sprint(w)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line + "\n")
}
