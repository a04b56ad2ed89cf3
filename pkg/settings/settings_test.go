package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/config"
)

// makeKeyFiles makes empty key files in a temporary directory and changes to it, since the settings have relative paths.
func makeKeyFiles(t *testing.T, names ...string) {
	t.Helper()
	dir := t.TempDir()
	qt.Assert(t, os.Mkdir(filepath.Join(dir, "keys"), 0o700), qt.IsNil)
	for _, n := range names {
		qt.Assert(t, os.WriteFile(filepath.Join(dir, "keys", n), nil, 0o600), qt.IsNil)
	}
	t.Chdir(dir)
}

func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	var files []string
	for _, deployment := range []string{"volta", "fraser-bend"} {
		for _, name := range []string{"daemon.yaml", "entry.yaml"} {
			f, err := filepath.Abs(filepath.Join("..", "..", "examples", deployment, name))
			c.Assert(err, qt.IsNil)
			files = append(files, f)
		}
	}
	makeKeyFiles(t, "ca.crt", "token.secret", "entry-0.crt", "entry-0.key",
		"hire-ledger-0.crt", "hire-ledger-0.key", "booking-0.crt", "booking-0.key")
	for _, f := range files {
		s, err := Load(f)
		c.Assert(err, qt.IsNil)
		c.Assert(s.Control.Neighbors, qt.Equals, DefaultNeighbors, qt.Commentf("defaults must be set"))
	}
}

func TestParseReportsEveryErrorWithItsLine(t *testing.T) {
	c := qt.New(t)
	makeKeyFiles(t, "ca.crt")
	_, err := Parse("d.yaml", []byte(`vm: a
service: s
colour: red
listen:
  peers: example:1
  callers: 127.0.0.1:8080
  outbound: 127.0.0.1:8080
  operators: 0.0.0.0:1
platform: {url: nowhere, timeout: 5}
keys: {ca: keys/ca.crt, cert: keys/none.crt}
log: {level: loud}
onceOnly: {window: 1m, tokenLife: 1m}
limits: {connections: -1}
`))
	var invalid *config.InvalidError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	got := map[string]int{}
	for _, f := range invalid.Faults {
		got[f.Field] = f.Line
	}
	for field, line := range map[string]int{
		"colour": 3, "zone": 1, "listen.peers": 5, "listen.outbound": 7, "listen.operators": 8,
		"backend.address": 1, "platform.url": 9, "platform.timeout": 9, "keys.cert": 10, "keys.key": 10,
		"keys.tokenSecret": 10, "log.level": 11, "onceOnly.window": 12, "limits.connections": 13,
	} {
		c.Check(got[field], qt.Equals, line, qt.Commentf("%s in\n%v", field, err))
	}
	c.Assert(strings.HasPrefix(err.Error(), "d.yaml:3: colour: unknown field"), qt.IsTrue, qt.Commentf("%v", err))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("vm: a\nzone: z\nlisten: {peers: 127.0.0.1:1}\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("f", data) // must not panic
	})
}
