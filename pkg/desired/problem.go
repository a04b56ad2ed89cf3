package desired

// Effect is what a problem with one entry of a desired state means for requests.
type Effect string

// The effects of problems.
const (
	ServedOnce  Effect = "served-once"  // a route of an unknown kind: its requests run at most once
	NotServed   Effect = "not-served"   // a route whose requests are refused
	KeysRefused Effect = "keys-refused" // a team whose keys admit no request
	LeftOut     Effect = "left-out"     // an entry that is ignored
	Defaults    Effect = "defaults"     // a service or limits with the default settings
)

// Effects lists all effects.
var Effects = []Effect{ServedOnce, NotServed, KeysRefused, LeftOut, Defaults}

// Problem describes an entry of a desired state that isn't in force as configured, while the other entries are.
type Problem struct {
	Field  string `json:"field"`
	Value  string `json:"value"` // never a key
	Msg    string `json:"msg"`
	Effect Effect `json:"effect"`
}

// addProblem records that an entry is invalid.
func (s *State) addProblem(err *InvalidError, effect Effect) {
	s.Problems = append(s.Problems, Problem{Field: err.Field, Value: err.Value, Msg: err.Msg, Effect: effect})
}
