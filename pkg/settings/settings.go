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
	Service string            `yaml:"service,omitempty"` // of the backend server on this VM; empty on an entry VM
	Labels  map[string]string `yaml:"labels,omitempty"`

	Listen    Listen     `yaml:"listen"`
	Backend   Backend    `yaml:"backend,omitempty"`
	Platform  Platform   `yaml:"platform"`
	Seeds     []string   `yaml:"seeds,omitempty"` // peer addresses asked when the platform can't be
	Keys      keys.Files `yaml:"keys"`
	Log       Log        `yaml:"log,omitempty"`
	Admission Admission  `yaml:"admission,omitempty"`
	OnceOnly  OnceOnly   `yaml:"onceOnly,omitempty"`
	Limits    Limits     `yaml:"limits,omitempty"`
	Control   Control    `yaml:"control,omitempty"`
	Mesh      *Mesh      `yaml:"mesh,omitempty"` // set: the daemon is a node of a mesh
}

// Listen holds the addresses that a daemon binds, as IP:port; an empty one isn't bound.
type Listen struct {
	Callers   string `yaml:"callers,omitempty"`   // HTTP, from callers
	Peers     string `yaml:"peers"`               // HTTP/3 over UDP, from daemons
	Outbound  string `yaml:"outbound,omitempty"`  // HTTP, from the backend server on this VM
	Operators string `yaml:"operators,omitempty"` // HTTPS, from operators
	Control   string `yaml:"control,omitempty"`   // HTTP, registrations of the backend server on this VM; mesh only
	Ready     string `yaml:"ready,omitempty"`     // HTTP, the platform's readiness checks; mesh only
	Metrics   string `yaml:"metrics,omitempty"`   // HTTP, metrics as text; mesh only
}

// Backend is the backend server on this VM.
type Backend struct {
	Address   string        `yaml:"address,omitempty"`   // IP:port
	DrainPath string        `yaml:"drainPath,omitempty"` // answers with header Rockspoke-Drain: true when the server drains
	Ramp      time.Duration `yaml:"ramp,omitempty"`      // cold start: time to reach the full limit
	// StopWait is the longest time that a planned stop waits for calls in progress.
	StopWait time.Duration `yaml:"stopWait,omitempty"`
}

// Platform says how the users' platform is reached.
type Platform struct {
	URL     string        `yaml:"url"`               // of the HTTP adapter
	Timeout time.Duration `yaml:"timeout,omitempty"` // of one call
}

// Log holds the levels of logs: debug, info, warn or error.
type Log struct {
	Level string            `yaml:"level,omitempty"`
	Parts map[string]string `yaml:"parts,omitempty"`
}

// Admission bounds the queue before the backend server.
type Admission struct {
	Target     time.Duration `yaml:"target,omitempty"`     // queue delay that counts as overload
	MaxSojourn time.Duration `yaml:"maxSojourn,omitempty"` // longest wait
	Floor      int           `yaml:"floor,omitempty"`      // least concurrency limit
}

// OnceOnly bounds the memory of keys.
type OnceOnly struct {
	Window      time.Duration `yaml:"window,omitempty"`      // repeat window: records are kept for this time
	TokenLife   time.Duration `yaml:"tokenLife,omitempty"`   // a token starts a run within this time
	MaxKeys     int           `yaml:"maxKeys,omitempty"`     // keys remembered
	AnswerBytes int           `yaml:"answerBytes,omitempty"` // recorded answers together
}

// Limits bounds what comes from outside.
type Limits struct {
	RequestBytes int64         `yaml:"requestBytes,omitempty"` // body of a request
	HeaderBytes  int           `yaml:"headerBytes,omitempty"`  // header of a request
	Connections  int           `yaml:"connections,omitempty"`  // callers' connections
	Streams      int64         `yaml:"streams,omitempty"`      // calls in progress on one peer connection
	SlowCaller   time.Duration `yaml:"slowCaller,omitempty"`   // longest time to send a request
}

// Control holds the periods of control work.
type Control struct {
	Exchange  time.Duration `yaml:"exchange,omitempty"`  // between exchanges with one neighbour
	PollHead  time.Duration `yaml:"pollHead,omitempty"`  // between readings of the table
	PollList  time.Duration `yaml:"pollList,omitempty"`  // between readings of the list of VMs
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

// Fill sets what was left out to its default.
func (s *Settings) Fill() {
	fill(&s.Platform.Timeout, DefaultPlatformTimeout)
	fill(&s.Backend.Ramp, DefaultRamp)
	fill(&s.Backend.StopWait, DefaultStopWait)
	fill(&s.Admission.Target, admission.DefaultTargetDelay)
	fill(&s.Admission.MaxSojourn, admission.DefaultMaxSojourn)
	fill(&s.OnceOnly.Window, onceonly.DefaultWindow)
	fill(&s.OnceOnly.TokenLife, onceonly.DefaultTokenLife)
	fill(&s.OnceOnly.MaxKeys, onceonly.DefaultMaxKeys)
	fill(&s.OnceOnly.AnswerBytes, onceonly.DefaultAnswerBytes)
	fill(&s.Limits.RequestBytes, DefaultRequestBytes)
	fill(&s.Limits.HeaderBytes, DefaultHeaderBytes)
	fill(&s.Limits.Connections, DefaultConnections)
	fill(&s.Limits.Streams, DefaultStreams)
	fill(&s.Limits.SlowCaller, DefaultSlowCaller)
	fill(&s.Control.Exchange, DefaultExchange)
	fill(&s.Control.PollHead, DefaultPollHead)
	fill(&s.Control.PollList, DefaultPollList)
	fill(&s.Control.Neighbors, DefaultNeighbors)
	if s.Mesh != nil {
		s.Mesh.fill()
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
}

func fill[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}
