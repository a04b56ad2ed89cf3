package onceonly

import (
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The bounds of a KeyMemory.
const (
	DefaultWindow      = 2 * time.Minute
	DefaultMaxKeys     = 2_000_000
	DefaultAnswerBytes = 32 << 20
	// MaxRecordedAnswer is the body size in bytes up to which an answer is recorded.
	MaxRecordedAnswer = 4 << 10
	// maxExpiredGenerations bounds the generations of expired keys, each of an hour or more, that are held.
	maxExpiredGenerations = 24
)

// State is what a KeyMemory knows of a key's call.
type State uint8

// The states of a key's call.
const (
	Running   State = iota + 1 // the run has not ended
	Finished                   // the run ended, and its answer may be recorded
	Uncertain                  // the run may have happened
	Closed                     // refused as not run; no attempt may run until Record.Until
)

// RecordedAnswer is the recorded answer of a finished run.
type RecordedAnswer struct {
	Status   int         `json:"status"`
	Header   http.Header `json:"header,omitempty"`
	Body     []byte      `json:"body,omitempty"`
	Complete bool        `json:"kept"` // false if the body was too large to record or there was no space for it
}

// Record is what a KeyMemory holds of one key within its retry window.
type Record struct {
	State       State           `json:"state"`
	Fingerprint uint64          `json:"fp"` // of the request's method, path and body
	Answer      *RecordedAnswer `json:"answer,omitempty"`
	Until       time.Time       `json:"until"` // end of the retry window, or of a closed key's refusals
	Pinned      bool            `json:"-"`     // the key is a token: it belongs to this home and isn't handed over with its range
	// RunAt is the earlier owner of the range at which a Running key runs; zero if it runs at this home.
	RunAt Owner `json:"run_at,omitzero"`

	exported bool // the run was in progress when its range's memory was sent: the record follows when it has ended
	waiters  []func(Record)
}

// runsHere reports whether the key's run is in progress at this node.
func (rec *Record) runsHere() bool { return rec.State == Running && rec.RunAt == Owner{} }

// release calls the waiting functions with the record.
func (rec *Record) release() {
	waiters := rec.waiters
	rec.waiters = nil
	for _, fn := range waiters {
		fn(*rec)
	}
}

// Action is how the home handles an attempt.
type Action uint8

// The actions.
const (
	Run    Action = iota + 1 // start the run; Finish must follow
	Join                     // wait for the call that is running
	Replay                   // return the recorded answer
	Refuse                   // refuse with Outcome and Reason
)

// Decision is a KeyMemory's decision on an attempt.
type Decision struct {
	Action     Action
	Outcome    wire.Outcome
	Reason     wire.Reason
	Answer     *RecordedAnswer
	RetryAfter time.Duration // time after which to retry, if known
}

// KeyMemory holds the keys of one home. It isn't safe for concurrent use. Bounds of zero take the defaults.
type KeyMemory struct {
	Window      time.Duration // retry window: how long a key's record is held
	MaxKeys     int           // most records and expired keys together
	AnswerBytes int           // most bytes of recorded bodies together

	recent             keyTable[*Record]
	expiries           []expiry // oldest first
	expired            []*keyTable[State]
	newestExpiredStart time.Time
	expiredKeys        int
	answerBytes        int
	quietUntil         [NumRanges]time.Time
	elsewhere          map[KeyHash]struct{} // keys that were Running at an earlier owner when last looked at
}

// expiry is the time at which a key's record may expire.
type expiry struct {
	at  time.Time
	key KeyHash
}

// window returns the retry window or its default.
func (m *KeyMemory) window() time.Duration {
	if m.Window == 0 {
		return DefaultWindow
	}
	return m.Window
}

// maxKeys returns the bound on keys or its default.
func (m *KeyMemory) maxKeys() int {
	if m.MaxKeys == 0 {
		return DefaultMaxKeys
	}
	return m.MaxKeys
}

// maxAnswerBytes returns the bound on recorded bodies or its default.
func (m *KeyMemory) maxAnswerBytes() int {
	if m.AnswerBytes == 0 {
		return DefaultAnswerBytes
	}
	return m.AnswerBytes
}

// SetQuiet starts the range's quiet window, in which unknown keys are answered "unknown" because an earlier owner may have run them.
func (m *KeyMemory) SetQuiet(r int, until time.Time) { m.quietUntil[r] = until }

// InQuietWindow reports whether the range is in its quiet window.
func (m *KeyMemory) InQuietWindow(now time.Time, r int) bool { return now.Before(m.quietUntil[r]) }

// Begin decides on an attempt and, for Run, notes the key as running. token marks a key that is a token, which no earlier home can
// have run.
func (m *KeyMemory) Begin(now time.Time, key KeyHash, fingerprint uint64, token bool) Decision {
	m.expireRecords(now)
	if rec, ok := m.recent.get(key); ok && !(rec.State == Closed && !now.Before(rec.Until)) {
		return m.decideKnown(now, rec, fingerprint)
	}
	if st, ok := m.expiredState(key); ok {
		return decideExpired(st)
	}
	if !token && m.InQuietWindow(now, key.Range()) {
		return Decision{
			Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonHistoryLost,
			RetryAfter: m.quietUntil[key.Range()].Sub(now),
		}
	}
	if !m.ensureCapacity() {
		return Decision{Action: Refuse, Outcome: wire.NotRun, Reason: wire.ReasonKeyMemoryFull, RetryAfter: time.Second}
	}
	m.recent.put(key, &Record{State: Running, Fingerprint: fingerprint, Pinned: token})
	return Decision{Action: Run}
}

// decideKnown returns the decision on an attempt whose key has a record.
func (m *KeyMemory) decideKnown(now time.Time, rec *Record, fingerprint uint64) Decision {
	if rec.State == Closed {
		return Decision{Action: Refuse, Outcome: wire.NotRun, Reason: wire.ReasonKeyClosed, RetryAfter: rec.Until.Sub(now)}
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

// Wait arranges that fn is called with the record when the key's running call ends, and reports false if none is running.
func (m *KeyMemory) Wait(key KeyHash, fn func(Record)) bool {
	rec, ok := m.recent.get(key)
	if !ok || rec.State != Running {
		return false
	}
	rec.waiters = append(rec.waiters, fn)
	return true
}

// Finish records how a run ended. If it certainly didn't run, the key is closed until closedUntil, when every attempt in flight has
// passed its deadline. It reports true if the key's range was handed over meanwhile, so that the record must follow.
func (m *KeyMemory) Finish(now time.Time, key KeyHash, outcome wire.Outcome, answer *RecordedAnswer, closedUntil time.Time) bool {
	rec, ok := m.recent.get(key)
	if !ok || rec.State != Running {
		return false
	}
	rec.Until = now.Add(m.window())
	switch outcome {
	case wire.Ran:
		rec.State = Finished
		rec.Answer = m.recordAnswer(answer)
	case wire.NotRun:
		rec.State = Closed
		rec.Until = closedUntil
	default:
		rec.State = Uncertain
	}
	m.expiries = append(m.expiries, expiry{rec.Until, key})
	rec.release()
	return rec.exported
}

// recordAnswer returns the answer to record: an empty one for nil, and only the status if the body is too large or there is no space
// for it.
func (m *KeyMemory) recordAnswer(a *RecordedAnswer) *RecordedAnswer {
	if a == nil {
		return &RecordedAnswer{}
	}
	if len(a.Body) > MaxRecordedAnswer || m.answerBytes+len(a.Body) > m.maxAnswerBytes() {
		return &RecordedAnswer{Status: a.Status}
	}
	m.answerBytes += len(a.Body)
	recorded := *a
	recorded.Complete = true
	return &recorded
}

// importAnswer returns the answer to record for one that another home has recorded, or only its status.
func (m *KeyMemory) importAnswer(a *RecordedAnswer) *RecordedAnswer {
	if a == nil || !a.Complete {
		return a
	}
	return m.recordAnswer(a)
}

// releaseAnswer subtracts the bytes of the record's answer, which is no longer held.
func (m *KeyMemory) releaseAnswer(rec *Record) {
	if rec.Answer != nil && rec.Answer.Complete {
		m.answerBytes -= len(rec.Answer.Body)
	}
}

// Settle answers an entry VM that is about to refuse the key: with what is known of it, or else by closing the key until closedUntil.
func (m *KeyMemory) Settle(now time.Time, key KeyHash, token bool, closedUntil time.Time) Decision {
	m.expireRecords(now)
	if rec, ok := m.recent.get(key); ok {
		switch rec.State {
		case Closed:
			if closedUntil.After(rec.Until) {
				rec.Until = closedUntil
				m.expiries = append(m.expiries, expiry{rec.Until, key})
			}
			return m.decideKnown(now, rec, 0)
		case Finished:
			return Decision{Action: Replay, Outcome: wire.Ran, Answer: rec.Answer}
		case Running:
			return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonInProgress}
		default:
			return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonAnswerLost}
		}
	}
	if st, ok := m.expiredState(key); ok {
		return decideExpired(st)
	}
	if !token && m.InQuietWindow(now, key.Range()) {
		return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonHistoryLost}
	}
	if !m.ensureCapacity() {
		return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonKeyMemoryFull}
	}
	m.recent.put(key, &Record{State: Closed, Until: closedUntil, Pinned: token})
	m.expiries = append(m.expiries, expiry{closedUntil, key})
	return Decision{Action: Refuse, Outcome: wire.NotRun, Reason: wire.ReasonKeyClosed, RetryAfter: closedUntil.Sub(now)}
}

// Counts holds the sizes of a KeyMemory.
type Counts struct {
	Recent      int `json:"recent"`
	Expired     int `json:"past"`
	AnswerBytes int `json:"answer_bytes"`
	Running     int `json:"running"`
}

// Counts returns the numbers of keys and the bytes of recorded bodies.
func (m *KeyMemory) Counts() Counts {
	c := Counts{Recent: m.recent.size, Expired: m.expiredKeys, AnswerBytes: m.answerBytes}
	for r := range NumRanges {
		for _, rec := range m.recent.inRange(r) {
			if rec.State == Running {
				c.Running++
			}
		}
	}
	return c
}
