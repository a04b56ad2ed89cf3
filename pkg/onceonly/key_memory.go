package onceonly

import (
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Defaults of Memory's bounds.
const (
	DefaultWindow      = 2 * time.Minute
	DefaultMaxKeys     = 2_000_000
	DefaultAnswerBytes = 32 << 20
	// MaxAnswer is the size in bytes up to which an answer is recorded.
	MaxAnswer = 4 << 10
	// generations is the number of blocks that old keys are kept in.
	generations = 24
)

// State is what a Memory knows of a key.
type State uint8

// The states of a key.
const (
	Running   State = iota + 1 // the run has not ended
	Finished                   // the run ended, and its answer may be recorded
	Uncertain                  // the run may have happened
	Closed                     // refused as not run, and closed until a time
)

// Recorded is the answer of a finished run.
type Recorded struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	Kept   bool        `json:"kept"` // false if the answer was too large or there was no room
}

// Record is what a Memory holds of one key.
type Record struct {
	State       State     `json:"state"`
	Fingerprint uint64    `json:"fp"` // of the request's method, path and body
	Answer      *Recorded `json:"answer,omitempty"`
	Until       time.Time `json:"until"` // end of the repeat window, or of the closing
	Pinned      bool      `json:"-"`     // of a token: it belongs to this home, and goes with no key range

	waiters []func(Record)
}

// Action is what the home does with an attempt.
type Action uint8

// The actions.
const (
	Run    Action = iota + 1 // start the run; Finish must follow
	Join                     // wait for the running one
	Replay                   // answer from the record
	Refuse                   // answer with Outcome and Reason
)

// Decision is a Memory's word on an attempt.
type Decision struct {
	Action  Action
	Outcome wire.Outcome
	Reason  wire.Reason
	Answer  *Recorded
	After   time.Duration // when to come back, if known
}

// Memory remembers the keys of one home; it isn't safe for concurrent use. Zero bounds take the defaults.
type Memory struct {
	Window      time.Duration // for which a key's record is kept
	MaxKeys     int           // records and old keys together
	AnswerBytes int           // recorded answers together

	recent      map[Hash]*Record
	order       []expiry // by time, oldest first
	past        []map[Hash]State
	pastStart   time.Time
	pastKeys    int
	answerBytes int
	quietUntil  [NumRanges]time.Time
}

type expiry struct {
	at  time.Time
	key Hash
}

func (m *Memory) window() time.Duration {
	if m.Window == 0 {
		return DefaultWindow
	}
	return m.Window
}

func (m *Memory) maxKeys() int {
	if m.MaxKeys == 0 {
		return DefaultMaxKeys
	}
	return m.MaxKeys
}

func (m *Memory) maxAnswerBytes() int {
	if m.AnswerBytes == 0 {
		return DefaultAnswerBytes
	}
	return m.AnswerBytes
}

// SetQuiet makes the range answer "unknown" for keys it doesn't know until the given time.
func (m *Memory) SetQuiet(r int, until time.Time) { m.quietUntil[r] = until }

// Quiet tells whether the range is in its quiet window.
func (m *Memory) Quiet(now time.Time, r int) bool { return now.Before(m.quietUntil[r]) }

// Begin decides about an attempt. token says that the key is a token, which no earlier home can have met.
func (m *Memory) Begin(now time.Time, key Hash, fingerprint uint64, token bool) Decision {
	m.forget(now)
	if rec, ok := m.recent[key]; ok && !(rec.State == Closed && !now.Before(rec.Until)) {
		return m.known(now, rec, fingerprint)
	}
	if st, ok := m.inPast(key); ok {
		return pastDecision(st)
	}
	if !token && m.Quiet(now, key.Range()) {
		return Decision{
			Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonHistoryLost,
			After: m.quietUntil[key.Range()].Sub(now),
		}
	}
	if !m.makeRoom() {
		return Decision{Action: Refuse, Outcome: wire.NotRun, Reason: wire.ReasonKeyMemoryFull, After: time.Second}
	}
	m.put(key, &Record{State: Running, Fingerprint: fingerprint, Pinned: token})
	return Decision{Action: Run}
}

func (m *Memory) known(now time.Time, rec *Record, fingerprint uint64) Decision {
	if rec.State == Closed {
		return Decision{Action: Refuse, Outcome: wire.NotRun, Reason: wire.ReasonKeyClosed, After: rec.Until.Sub(now)}
	}
	if rec.Fingerprint != fingerprint {
		return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonKeyMismatch}
	}
	switch rec.State {
	case Running:
		return Decision{Action: Join}
	case Finished:
		return Decision{Action: Replay, Outcome: wire.Ran, Answer: rec.Answer}
	default:
		return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonAnswerLost}
	}
}

// Wait calls fn with the record when the key's running call ends; it reports false if none runs.
func (m *Memory) Wait(key Hash, fn func(Record)) bool {
	rec, ok := m.recent[key]
	if !ok || rec.State != Running {
		return false
	}
	rec.waiters = append(rec.waiters, fn)
	return true
}

// Finish notes how a run ended. A run that is certain not to have happened closes the key until
// closedUntil, when every attempt still under way has passed its deadline.
func (m *Memory) Finish(now time.Time, key Hash, outcome wire.Outcome, answer *Recorded, closedUntil time.Time) {
	rec, ok := m.recent[key]
	if !ok || rec.State != Running {
		return
	}
	rec.Until = now.Add(m.window())
	switch outcome {
	case wire.Ran:
		rec.State = Finished
		rec.Answer = m.keepAnswer(answer)
	case wire.NotRun:
		rec.State = Closed
		rec.Until = closedUntil
	default:
		rec.State = Uncertain
	}
	m.order = append(m.order, expiry{rec.Until, key})
	waiters := rec.waiters
	rec.waiters = nil
	for _, fn := range waiters {
		fn(*rec)
	}
}

func (m *Memory) keepAnswer(a *Recorded) *Recorded {
	if a == nil {
		return &Recorded{}
	}
	if len(a.Body) > MaxAnswer || m.answerBytes+len(a.Body) > m.maxAnswerBytes() {
		return &Recorded{Status: a.Status}
	}
	m.answerBytes += len(a.Body)
	kept := *a
	kept.Kept = true
	return &kept
}

// Settle answers an entry that is about to refuse the key: what is known of it, or that it is now closed.
func (m *Memory) Settle(now time.Time, key Hash, token bool, closedUntil time.Time) Decision {
	m.forget(now)
	if rec, ok := m.recent[key]; ok {
		switch rec.State {
		case Closed:
			if closedUntil.After(rec.Until) {
				rec.Until = closedUntil
				m.order = append(m.order, expiry{rec.Until, key})
			}
			return m.known(now, rec, 0)
		case Finished:
			return Decision{Action: Replay, Outcome: wire.Ran, Answer: rec.Answer}
		case Running:
			return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonInProgress}
		default:
			return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonAnswerLost}
		}
	}
	if st, ok := m.inPast(key); ok {
		return pastDecision(st)
	}
	if !token && m.Quiet(now, key.Range()) {
		return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonHistoryLost}
	}
	if !m.makeRoom() {
		return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonKeyMemoryFull}
	}
	m.put(key, &Record{State: Closed, Until: closedUntil, Pinned: token})
	m.order = append(m.order, expiry{closedUntil, key})
	return Decision{Action: Refuse, Outcome: wire.NotRun, Reason: wire.ReasonKeyClosed, After: closedUntil.Sub(now)}
}

func (m *Memory) put(key Hash, rec *Record) {
	if m.recent == nil {
		m.recent = map[Hash]*Record{}
	}
	m.recent[key] = rec
}

// Counts is a reading of a Memory.
type Counts struct {
	Recent      int `json:"recent"`
	Past        int `json:"past"`
	AnswerBytes int `json:"answer_bytes"`
	Running     int `json:"running"`
}

// Counts returns how many keys are held.
func (m *Memory) Counts() Counts {
	c := Counts{Recent: len(m.recent), Past: m.pastKeys, AnswerBytes: m.answerBytes}
	for _, rec := range m.recent {
		if rec.State == Running {
			c.Running++
		}
	}
	return c
}
