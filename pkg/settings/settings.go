package settings

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/admission"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
)

// Settings is a daemon's settings file.
type Settings struct {
	VM      string            `yaml:"vm"`
	Zone    string            `yaml:"zone"`
	Service string            `yaml:"service,omitempty"` // service of the local backend server; empty on an entry VM
	Labels  map[string]string `yaml:"labels,omitempty"`

	Listen    Listen     `yaml:"listen"`
	Backend   Backend    `yaml:"backend,omitempty"`
	Platform  Platform   `yaml:"platform"`
	Seeds     []string   `yaml:"seeds,omitempty"` // addresses of peers to query while the platform can't be reached
	Keys      keys.Files `yaml:"keys"`
	Log       Log        `yaml:"log,omitempty"`
	Admission Admission  `yaml:"admission,omitempty"`
	OnceOnly  OnceOnly   `yaml:"onceOnly,omitempty"`
	Limits    Limits     `yaml:"limits,omitempty"`
	Control   Control    `yaml:"control,omitempty"`
	Mesh      *Mesh      `yaml:"mesh,omitempty"` // if set, the daemon is a node of a mesh
}

// Listen holds the addresses that a daemon binds, as IP:port; an empty one isn't bound.
type Listen struct {
	Callers   string `yaml:"callers,omitempty"`   // HTTP, from callers
	Peers     string `yaml:"peers"`               // HTTP/3 over UDP, from daemons
	Outbound  string `yaml:"outbound,omitempty"`  // HTTP, from the local backend server
	Operators string `yaml:"operators,omitempty"` // HTTPS, from operators
	Control   string `yaml:"control,omitempty"`   // HTTP, registrations of the local backend server; mesh only
	Ready     string `yaml:"ready,omitempty"`     // HTTP, the platform's readiness checks; mesh only
	Metrics   string `yaml:"metrics,omitempty"`   // HTTP, metrics as text; mesh only
}

// Backend holds the settings of the local backend server.
type Backend struct {
	Address   string        `yaml:"address,omitempty"`   // IP:port
	DrainPath string        `yaml:"drainPath,omitempty"` // its response has header Rockspoke-Drain: true while the server drains
	Ramp      time.Duration `yaml:"ramp,omitempty"`      // time after a cold start until the full concurrency limit is used
	// StopWait is the longest time that a planned stop waits for calls in flight.
	StopWait time.Duration `yaml:"stopWait,omitempty"`
}

// Platform holds how to reach the users' platform.
type Platform struct {
	URL     string        `yaml:"url"`               // base URL of the HTTP adapter
	Timeout time.Duration `yaml:"timeout,omitempty"` // for one call
}

// Log holds the log level of the daemon and of single parts: debug, info, warn or error.
type Log struct {
	Level string            `yaml:"level,omitempty"`
	Parts map[string]string `yaml:"parts,omitempty"`
}

// Admission holds the limits of the queue in front of the local backend server.
type Admission struct {
	Target     time.Duration `yaml:"target,omitempty"`     // queue delay that counts as overload
	MaxSojourn time.Duration `yaml:"maxSojourn,omitempty"` // longest time in the queue
	Floor      int           `yaml:"floor,omitempty"`      // lowest concurrency limit
}

// OnceOnly holds the limits of the idempotency keys that are remembered, with their recorded answers.
type OnceOnly struct {
	Window      time.Duration `yaml:"window,omitempty"`      // records are retained for this time, in which a retry finds them
	TokenLife   time.Duration `yaml:"tokenLife,omitempty"`   // a token is valid for starting a run for this time
	MaxKeys     int           `yaml:"maxKeys,omitempty"`     // keys remembered
	AnswerBytes int           `yaml:"answerBytes,omitempty"` // total size of the recorded answers
}

// Limits holds the limits of connections and requests from outside.
type Limits struct {
	RequestBytes int64         `yaml:"requestBytes,omitempty"` // size of a request body
	HeaderBytes  int           `yaml:"headerBytes,omitempty"`  // size of a request header
	Connections  int           `yaml:"connections,omitempty"`  // callers' connections
	Streams      int64         `yaml:"streams,omitempty"`      // calls in flight on one peer connection
	SlowCaller   time.Duration `yaml:"slowCaller,omitempty"`   // longest time to send a request
}

// Control holds the periods and sizes of the exchange of control state.
type Control struct {
	Exchange  time.Duration `yaml:"exchange,omitempty"`  // time between exchanges with one neighbour
	PollHead  time.Duration `yaml:"pollHead,omitempty"`  // time between reads of the table
	PollList  time.Duration `yaml:"pollList,omitempty"`  // time between reads of the list of VMs
	Neighbors int           `yaml:"neighbors,omitempty"` // daemons that this one exchanges control state with
	Subset    int           `yaml:"subset,omitempty"`    // servers of one service that this daemon calls
}

// Defaults of the settings that may be left out.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultRamp            = 2 * time.Second
	DefaultStopWait        = 30 * time.Second
	DefaultRequestBytes    = 1 << 20
	DefaultHeaderBytes     = 16 << 10
	DefaultConnections     = 4096
	DefaultStreams         = 2048
	DefaultSlowCaller      = 10 * time.Second
	DefaultExchange        = time.Second
	DefaultPollHead        = 5 * time.Second
	DefaultPollList        = 2 * time.Second
	DefaultNeighbors       = 6
)

// SetDefaults sets every optional setting that is left out to its default.
func (s *Settings) SetDefaults() {
	setDefault(&s.Platform.Timeout, DefaultPlatformTimeout)
	setDefault(&s.Backend.Ramp, DefaultRamp)
	setDefault(&s.Backend.StopWait, DefaultStopWait)
	setDefault(&s.Admission.Target, admission.DefaultTargetDelay)
	setDefault(&s.Admission.MaxSojourn, admission.DefaultMaxSojourn)
	setDefault(&s.OnceOnly.Window, onceonly.DefaultWindow)
	setDefault(&s.OnceOnly.TokenLife, onceonly.DefaultTokenLifetime)
	setDefault(&s.OnceOnly.MaxKeys, onceonly.DefaultMaxKeys)
	setDefault(&s.OnceOnly.AnswerBytes, onceonly.DefaultAnswerBytes)
	setDefault(&s.Limits.RequestBytes, DefaultRequestBytes)
	setDefault(&s.Limits.HeaderBytes, DefaultHeaderBytes)
	setDefault(&s.Limits.Connections, DefaultConnections)
	setDefault(&s.Limits.Streams, DefaultStreams)
	setDefault(&s.Limits.SlowCaller, DefaultSlowCaller)
	setDefault(&s.Control.Exchange, DefaultExchange)
	setDefault(&s.Control.PollHead, DefaultPollHead)
	setDefault(&s.Control.PollList, DefaultPollList)
	setDefault(&s.Control.Neighbors, DefaultNeighbors)
	if s.Mesh != nil {
		s.Mesh.setDefaults()
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
}

// setDefault sets *p to def if it has the zero value.
func setDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}
