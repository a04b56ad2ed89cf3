package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/rockspoke/rockspoke/pkg/config"
)

// Load reads and checks a settings file and sets defaults; the error is a *config.InvalidError with every error found.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &config.InvalidError{Faults: []config.FieldError{{File: path, Msg: err.Error()}}}
	}
	return Parse(path, data)
}

// Parse does what Load does for the content of a file; path is only for error messages.
func Parse(path string, data []byte) (Settings, error) {
	var (
		s    Settings
		node yaml.Node
		c    = checker{file: path}
	)
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		c.faults = append(c.faults, config.YAMLFaults(path, err)...)
	}
	if err := yaml.Unmarshal(data, &node); err == nil && len(node.Content) > 0 {
		c.root = node.Content[0]
		config.FillFieldNames(c.root, c.faults)
	}
	c.check(&s)
	if len(c.faults) > 0 {
		return Settings{}, &config.InvalidError{Faults: c.faults}
	}
	s.SetDefaults()
	return s, nil
}

// checker collects the errors of one settings file.
type checker struct {
	file   string
	root   *yaml.Node // nil if the file isn't valid YAML or is empty
	faults []config.FieldError
}

// fail adds an error about a dotted field.
func (c *checker) fail(field, format string, args ...any) {
	c.faults = append(c.faults, config.FieldError{
		File: c.file, Line: c.line(field), Field: field, Msg: fmt.Sprintf(format, args...),
	})
}

// line returns the line of a dotted field, or of its nearest parent in the file; 0 if there is no YAML.
func (c *checker) line(field string) int {
	if c.root == nil {
		return 0
	}
	return config.LineOf(c.root, field)
}

// check adds an error for every setting that is missing or invalid.
func (c *checker) check(s *Settings) {
	c.required("vm", s.VM)
	c.required("zone", s.Zone)
	c.required("listen.peers", s.Listen.Peers)
	c.addresses(s)
	if s.Service != "" {
		c.required("backend.address", s.Backend.Address)
	}
	if s.Service == "" && s.Backend.Address != "" {
		c.fail("service", "must be set, since backend.address is")
	}
	if p := s.Backend.DrainPath; p != "" && !strings.HasPrefix(p, "/") {
		c.fail("backend.drainPath", "must start with '/'")
	}
	if s.Mesh != nil {
		c.mesh(s)
	} else {
		c.keyFiles(s)
	}
	c.platform(s.Platform)
	c.levels(s.Log)
	c.durations(s)
	c.numbers(s)
}

// required adds an error if a setting is empty.
func (c *checker) required(field, v string) {
	if v == "" {
		c.fail(field, "must be set")
	}
}

// addresses checks the addresses of listeners, backend server and seeds, and that no two TCP addresses are equal.
func (c *checker) addresses(s *Settings) {
	// The listener for peers is on UDP and the others are on TCP, so it can't conflict with them.
	taken := map[string]string{}
	for _, l := range []struct{ field, addr string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.outbound", s.Listen.Outbound},
		{"listen.operators", s.Listen.Operators},
		{"listen.control", s.Listen.Control},
		{"listen.metrics", s.Listen.Metrics},
		{"backend.address", s.Backend.Address},
	} {
		if l.addr == "" {
			continue
		}
		c.address(l.field, l.addr)
		if other, ok := taken[l.addr]; ok {
			c.fail(l.field, "%s is already the address of %s", l.addr, other)
		}
		taken[l.addr] = l.field
	}
	if s.Listen.Peers != "" {
		c.address("listen.peers", s.Listen.Peers)
	}
	for i, a := range s.Seeds {
		c.address(fmt.Sprintf("seeds.%d", i), a)
	}
}

// address checks that a is one IP address with a port.
func (c *checker) address(field, a string) {
	ap, err := netip.ParseAddrPort(a)
	switch {
	case err != nil:
		c.fail(field, "%q isn't an IP address and port", a)
	case ap.Addr().IsUnspecified():
		c.fail(field, "%q must name one address of this VM", a)
	}
}

// platform checks the URL of the platform.
func (c *checker) platform(p Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || !strings.HasPrefix(u.Scheme, "http") {
		c.fail("platform.url", "%q isn't an http or https URL", p.URL)
	}
}

// keyFiles checks that every key file is set and exists.
func (c *checker) keyFiles(s *Settings) {
	for _, f := range []struct{ field, path string }{
		{"keys.ca", s.Keys.CA},
		{"keys.cert", s.Keys.Cert},
		{"keys.key", s.Keys.Key},
		{"keys.tokenSecret", s.Keys.TokenSecret},
	} {
		if f.path == "" {
			c.fail(f.field, "must be set")
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			c.fail(f.field, "%v", err)
		}
	}
}

// levels checks all log levels.
func (c *checker) levels(l Log) {
	c.level("log.level", l.Level)
	for part, v := range l.Parts {
		c.level("log.parts."+part, v)
	}
}

// level checks one log level; an empty one is valid.
func (c *checker) level(field, v string) {
	var level slog.Level
	if v != "" && level.UnmarshalText([]byte(v)) != nil {
		c.fail(field, "%q must be one of debug, info, warn, error", v)
	}
}

// durations checks the ranges of durations, and that once-only records outlive the tokens.
func (c *checker) durations(s *Settings) {
	for _, d := range []struct {
		field string
		v     time.Duration
		max   time.Duration
	}{
		{"backend.ramp", s.Backend.Ramp, 10 * time.Minute},
		{"backend.stopWait", s.Backend.StopWait, time.Hour},
		{"platform.timeout", s.Platform.Timeout, time.Minute},
		{"admission.target", s.Admission.Target, time.Second},
		{"admission.maxSojourn", s.Admission.MaxSojourn, 10 * time.Second},
		{"onceOnly.window", s.OnceOnly.Window, 24 * time.Hour},
		{"onceOnly.tokenLife", s.OnceOnly.TokenLife, 12 * time.Hour},
		{"limits.slowCaller", s.Limits.SlowCaller, 10 * time.Minute},
		{"control.exchange", s.Control.Exchange, time.Minute},
		{"control.pollHead", s.Control.PollHead, 10 * time.Minute},
		{"control.pollList", s.Control.PollList, 10 * time.Minute},
	} {
		if d.v != 0 && (d.v < time.Millisecond || d.v > d.max) {
			c.fail(d.field, "%v must be 1ms to %v, with a unit", d.v, d.max)
		}
	}
	window, life := s.OnceOnly.Window, s.OnceOnly.TokenLife
	if window != 0 && life != 0 && window < 2*life {
		c.fail("onceOnly.window", "%v must be at least twice onceOnly.tokenLife, %v", window, life)
	}
}

// numbers checks that no number is negative.
func (c *checker) numbers(s *Settings) {
	for _, n := range []struct {
		field string
		v     int64
	}{
		{"admission.floor", int64(s.Admission.Floor)},
		{"onceOnly.maxKeys", int64(s.OnceOnly.MaxKeys)},
		{"onceOnly.answerBytes", int64(s.OnceOnly.AnswerBytes)},
		{"limits.requestBytes", s.Limits.RequestBytes},
		{"limits.headerBytes", int64(s.Limits.HeaderBytes)},
		{"limits.connections", int64(s.Limits.Connections)},
		{"limits.streams", s.Limits.Streams},
		{"control.neighbors", int64(s.Control.Neighbors)},
		{"control.subset", int64(s.Control.Subset)},
	} {
		if n.v < 0 {
			c.fail(n.field, "must not be negative")
		}
	}
}
