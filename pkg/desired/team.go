package desired

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"slices"
	"strings"
)

// Key is what a client shows to be served as one of a team. It is a secret: formatted or logged it shows its fingerprint only.
type Key string

// fingerprintBytes of a key's digest name it in logs: enough to tell the keys of a fleet apart, and no help in finding one.
const fingerprintBytes = 6

// Fingerprint names the key without telling it.
func (k Key) Fingerprint() string {
	d := sha256.Sum256([]byte(k))
	return base64.RawURLEncoding.EncodeToString(d[:fingerprintBytes])
}

// Format writes the fingerprint, whatever the verb.
func (k Key) Format(f fmt.State, _ rune) { fmt.Fprintf(f, "key:%s", k.Fingerprint()) }

// LogValue is the fingerprint.
func (k Key) LogValue() slog.Value { return slog.StringValue("key:" + k.Fingerprint()) }

// Team is one of those who share the system.
type Team struct {
	Name     string
	Keys     []Key
	Priority int     // 0 is the most urgent; it goes before that of the route
	Rate     float64 // requests a second that it may have run, over all nodes; 0: not bounded
	Burst    float64 // requests beyond the rate
}

// HasQuota tells whether the team has a quota.
func (t *Team) HasQuota() bool { return t != nil && t.Rate > 0 }

// The bounds of what a state may hold of teams: ten times what the largest operator has.
const (
	maxTeams = 100_000
	maxKeys  = 1_000_000 // of all teams
	// MaxKeyBytes bounds one key.
	MaxKeyBytes = 512
	// maxTeamName bounds a name in bytes: it goes into a header of each request.
	maxTeamName = 200
)

// teamsAtATime are indexed before requests get their turn: a thousand keys take 0.5 ms, a hundred thousand 49 ms (benchmark, beside other work).
const teamsAtATime = 1000

// keyDigest is what the table of keys is looked up by: how long that takes tells nothing of the keys in it, and nobody can
// choose keys that fall on one place.
type keyDigest [sha256.Size]byte

// indexTeams checks the teams and makes the table of keys; the error is an *InvalidError, which names no key.
func (s *State) indexTeams() error {
	if len(s.Teams) > maxTeams {
		return &InvalidError{"teams", fmt.Sprint(len(s.Teams)), fmt.Sprintf("must be %d at most", maxTeams)}
	}
	s.byKey = make(map[keyDigest]*Team, len(s.Teams))
	s.byTeam = make(map[string]*Team, len(s.Teams))
	for i := range s.Teams {
		if i%teamsAtATime == 0 {
			runtime.Gosched()
		}
		t := &s.Teams[i]
		if err := t.check(); err != nil {
			return err
		}
		if s.byTeam[t.Name] != nil {
			return &InvalidError{"team " + t.Name + " name", t.Name, "stands twice"}
		}
		s.byTeam[t.Name] = t
		s.teamPriorities = append(s.teamPriorities, t.Priority)
		if err := s.indexKeys(t); err != nil {
			return err
		}
	}
	slices.Sort(s.teamPriorities)
	s.teamPriorities = slices.Compact(s.teamPriorities)
	return nil
}

// indexKeys puts the keys of a team into the table.
func (s *State) indexKeys(t *Team) error {
	at := "team " + t.Name + " key"
	for _, k := range t.Keys {
		if err := k.check(); err != "" {
			return &InvalidError{at, fmt.Sprint(k), err}
		}
		digest := keyDigest(sha256.Sum256([]byte(k)))
		if other := s.byKey[digest]; other != nil && other != t {
			return &InvalidError{at, fmt.Sprint(k), "is that of team " + other.Name + " as well"}
		}
		s.byKey[digest] = t
	}
	if len(s.byKey) > maxKeys {
		return &InvalidError{"teams", fmt.Sprint(len(s.byKey)), fmt.Sprintf("must have %d keys at most", maxKeys)}
	}
	return nil
}

// check returns what is wrong with a key, or "".
func (k Key) check() string {
	switch {
	case k == "":
		return "must not be empty"
	case len(k) > MaxKeyBytes:
		return fmt.Sprintf("must be %d bytes at most", MaxKeyBytes)
	case !isToken(string(k)):
		return "must be printable ASCII without blanks"
	}
	return ""
}

// check returns the first fault of a team's own fields as an *InvalidError.
func (t *Team) check() error {
	at := "team " + t.Name
	switch {
	case t.Name == "":
		return &InvalidError{"team name", "", "must be set"}
	case len(t.Name) > maxTeamName || !isToken(t.Name):
		return &InvalidError{"team name", t.Name, fmt.Sprintf("must be printable ASCII without blanks, %d bytes at most", maxTeamName)}
	case t.Priority < 0:
		return &InvalidError{at + " priority", fmt.Sprint(t.Priority), "must not be negative"}
	case !isAmount(t.Rate):
		return &InvalidError{at + " rate", fmt.Sprint(t.Rate), "must be a number that isn't negative"}
	case !isAmount(t.Burst):
		return &InvalidError{at + " burst", fmt.Sprint(t.Burst), "must be a number that isn't negative"}
	}
	return nil
}

// isToken tells whether a text can stand in a header as it is.
func isToken(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// isAmount tells whether a number can be a rate.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// HasTeams tells whether requests need a key, but for those on public routes.
func (s *State) HasTeams() bool { return s != nil && len(s.Teams) > 0 }

// Team returns a team by its name, or nil.
func (s *State) Team(name string) *Team {
	if s == nil {
		return nil
	}
	return s.byTeam[name]
}

// TeamByKey returns the team that holds the key, or nil; it takes as long however many keys there are.
func (s *State) TeamByKey(key string) *Team { return s.byKey[keyDigest(sha256.Sum256([]byte(key)))] }
