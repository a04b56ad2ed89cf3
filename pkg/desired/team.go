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

// Key is the secret by which a client authenticates as one of a team. Formatted or logged, it shows only its fingerprint.
type Key string

// fingerprintBytes is the length of the part of a key's hash that names the key in logs: enough to be unique in a fleet, and too little
// to help in finding a key.
const fingerprintBytes = 6

// Fingerprint returns a name of the key that doesn't reveal it.
func (k Key) Fingerprint() string {
	d := sha256.Sum256([]byte(k))
	return base64.RawURLEncoding.EncodeToString(d[:fingerprintBytes])
}

// Format writes the fingerprint, whatever the verb.
func (k Key) Format(f fmt.State, _ rune) { fmt.Fprintf(f, "key:%s", k.Fingerprint()) }

// LogValue returns the fingerprint.
func (k Key) LogValue() slog.Value { return slog.StringValue("key:" + k.Fingerprint()) }

// Team is a group of clients with its own keys, priority and quota.
type Team struct {
	Name     string
	Keys     []Key
	Priority int     // 0 is the most urgent; it takes precedence over the route's
	Rate     float64 // quota in requests per second over all nodes; 0: unlimited
	Burst    float64 // requests that the quota allows above the rate
	// Unusable reports that only some of the keys are known, and maybe the name: the keys admit no request.
	Unusable bool `json:",omitempty"`
}

// HasQuota reports whether the team has a quota.
func (t *Team) HasQuota() bool { return t != nil && t.Rate > 0 }

// The bounds on the teams of a state: ten times what the largest operator has.
const (
	maxTeams = 100_000
	maxKeys  = 1_000_000 // of all teams
	// MaxKeyBytes bounds the length of one key.
	MaxKeyBytes = 512
	// maxTeamNameBytes bounds a team's name, which is sent in a header of each request.
	maxTeamNameBytes = 200
)

// teamsPerYield teams are indexed before the goroutine yields, so that a large state doesn't delay requests: a thousand keys take 0.5 ms, a
// hundred thousand 49 ms.
const teamsPerYield = 1000

// keyHash is the hash by which keys are looked up: the time of a lookup reveals nothing of the keys in the table, and a client can't
// choose keys that collide.
type keyHash [sha256.Size]byte

// indexTeams checks the teams and indexes their keys; the error is an *InvalidError, which reveals no key.
func (s *State) indexTeams() error {
	if len(s.Teams) > maxTeams {
		return &InvalidError{"teams", fmt.Sprint(len(s.Teams)), fmt.Sprintf("must be %d at most", maxTeams)}
	}
	s.byKey = make(map[keyHash]*Team, len(s.Teams))
	s.byTeam = make(map[string]*Team, len(s.Teams))
	s.keysRequired = len(s.Teams) > 0
	usable, unusable := s.splitTeams()
	s.Teams = usable
	for i := range s.Teams {
		if i%teamsPerYield == 0 {
			runtime.Gosched()
		}
		t := &s.Teams[i]
		if s.byTeam[t.Name] != nil {
			return &InvalidError{"team " + t.Name + " name", t.Name, "is used by another team"}
		}
		s.byTeam[t.Name] = t
		s.teamPriorities = append(s.teamPriorities, t.Priority)
		if err := s.indexKeys(t); err != nil {
			return err
		}
	}
	slices.Sort(s.teamPriorities)
	s.teamPriorities = slices.Compact(s.teamPriorities)
	s.indexUnusableTeams(unusable)
	return s.checkKeyCount()
}

// splitTeams returns the usable and the unusable teams; those that are invalid by themselves become unusable.
func (s *State) splitTeams() (usable, unusable []Team) {
	usable = make([]Team, 0, len(s.Teams))
	for i, t := range s.Teams {
		if i%teamsPerYield == 0 {
			runtime.Gosched()
		}
		if !t.Unusable {
			if err := t.check(); err != nil {
				s.addProblem(err, KeysRefused)
				t.Unusable = true
			}
		}
		if t.Unusable {
			unusable = append(unusable, t)
		} else {
			usable = append(usable, t)
		}
	}
	return usable, unusable
}

// indexUnusableTeams adds the keys of unusable teams to the index, except those that a usable team has as well.
func (s *State) indexUnusableTeams(teams []Team) {
	for i := range teams {
		if i%teamsPerYield == 0 {
			runtime.Gosched()
		}
		for _, k := range teams[i].Keys {
			if hash := keyHash(sha256.Sum256([]byte(k))); k.check() == "" && s.byKey[hash] == nil {
				s.byKey[hash] = &teams[i]
			}
		}
	}
}

// indexKeys adds the keys of a team to the index; the error is an *InvalidError.
func (s *State) indexKeys(t *Team) error {
	at := "team " + t.Name + " key"
	for _, k := range t.Keys {
		hash := keyHash(sha256.Sum256([]byte(k)))
		if other := s.byKey[hash]; other != nil && other != t {
			return &InvalidError{at, fmt.Sprint(k), "belongs to team " + other.Name + " as well"}
		}
		s.byKey[hash] = t
	}
	return s.checkKeyCount()
}

// checkKeyCount returns an *InvalidError if the teams have too many keys.
func (s *State) checkKeyCount() error {
	if len(s.byKey) > maxKeys {
		return &InvalidError{"teams", fmt.Sprint(len(s.byKey)), fmt.Sprintf("must have %d keys at most", maxKeys)}
	}
	return nil
}

// check returns what is wrong with a key, or "" if it is valid.
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

// check returns the first invalid field of a team, or nil.
func (t *Team) check() *InvalidError {
	at := "team " + t.Name
	switch {
	case t.Name == "":
		return &InvalidError{"team name", "", "must be set"}
	case len(t.Name) > maxTeamNameBytes || !isToken(t.Name):
		return &InvalidError{"team name", t.Name, fmt.Sprintf("must be printable ASCII without blanks, %d bytes at most", maxTeamNameBytes)}
	case t.Priority < 0:
		return &InvalidError{at + " priority", fmt.Sprint(t.Priority), "must not be negative"}
	case !isAmount(t.Rate):
		return &InvalidError{at + " rate", fmt.Sprint(t.Rate), "must be a number that isn't negative"}
	case !isAmount(t.Burst):
		return &InvalidError{at + " burst", fmt.Sprint(t.Burst), "must be a number that isn't negative"}
	}
	for _, k := range t.Keys {
		if err := k.check(); err != "" {
			return &InvalidError{at + " key", fmt.Sprint(k), err}
		}
	}
	return nil
}

// isToken reports whether s is printable ASCII without blanks, so that it can be sent in a header unescaped.
func isToken(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// isAmount reports whether v is a finite number that isn't negative.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// HasTeams reports whether requests need a key, except on public routes. They do if there is a team, if only an unusable one: an invalid
// entry must not open routes that need a key.
func (s *State) HasTeams() bool { return s != nil && s.keysRequired }

// Team returns a team by its name, or nil.
func (s *State) Team(name string) *Team {
	if s == nil {
		return nil
	}
	return s.byTeam[name]
}

// TeamByKey returns the team that has the key, which may be unusable, or nil; its time doesn't depend on the number of keys.
func (s *State) TeamByKey(key string) *Team { return s.byKey[keyHash(sha256.Sum256([]byte(key)))] }
