package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/operator"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/store"
)

var update = flag.Bool("update", false, "write what the cases print as what is expected")

// masks replace output that differs between runs by fixed words.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "CHANGE-ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`\d+\.\d s after`), "N s after"},
	{regexp.MustCompile(`\d{13}-[0-9a-f]{8}`), "INCARNATION"},
	{regexp.MustCompile(`127\.2\d\d\.\d+\.\d+`), "ADDRESS"},
}

// mask replaces the parts of s that differ between runs.
func mask(s string) string {
	for _, m := range masks {
		s = m.pattern.ReplaceAllString(s, m.replacement)
	}
	return s
}

// startDaemon runs one daemon with an operators' listener and the configuration of the Volta example. It returns the
// listener's address and the directory of the key files.
func startDaemon(t *testing.T) (address, dir string) {
	t.Helper()
	c := qt.New(t)
	dir = t.TempDir()
	a, err := keys.NewAuthority(time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(a.WriteFiles(dir, []keys.Identity{
		{Role: keys.RoleVM, Name: "hire-ledger-0", Zone: "z"},
		{Role: keys.RoleReadWrite, Name: "ama"},
		{Role: keys.RoleReadOnly, Name: "kofi"},
	}), qt.IsNil)
	ip := fmt.Sprintf("127.2%02d.1.1", os.Getpid()%50)
	var mem store.Memory
	mem.SetVMs([]member.VM{{
		Name: "hire-ledger-0", Service: "hire-ledger", Zone: "z", Peer: ip + ":8443", Labels: map[string]string{"dc": "old"},
	}})
	file := filepath.Join("..", "..", "examples", "volta", "config.yaml")
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	objs, err := config.Parse(file, data)
	c.Assert(err, qt.IsNil)
	ctx := context.Background()
	c.Assert(node.WriteInitialDocument(ctx, mem.Platform(), config.Document{Version: 1, ChangeID: "first", Author: "ama", Objects: objs}), qt.IsNil)
	k, err := keys.Open(keys.Files{
		CA: filepath.Join(dir, keys.FileCA), Cert: filepath.Join(dir, "hire-ledger-0.crt"),
		Key: filepath.Join(dir, "hire-ledger-0.key"), TokenSecret: filepath.Join(dir, keys.FileSecret),
	}, time.Now)
	c.Assert(err, qt.IsNil)
	n, err := node.New(node.Options{
		Settings: settings.Settings{
			VM: "hire-ledger-0", Zone: "z", Service: "hire-ledger",
			Listen: settings.Listen{Peers: ip + ":8443"}, Backend: settings.Backend{Address: ip + ":9000", Ramp: time.Millisecond},
		},
		Platform: mem.Platform(), Keys: k, Clock: clock.Real{}, Metrics: metric.NewSet(),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(n.Start(ctx), qt.IsNil)
	for range 200 {
		if n.Status().KeyRanges > 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Assert(n.Status().KeyRanges, qt.Equals, 64)
	s := &operator.Server{Node: n, Keys: k}
	c.Assert(s.Start(ip+":8444"), qt.IsNil)
	t.Cleanup(func() {
		_ = s.Stop(ctx)
		_ = n.Close()
	})
	return ip + ":8444", dir
}

// TestCases runs the commands of testdata/cases in order against one daemon, and compares their output and exit status
// with the expected ones.
func TestCases(t *testing.T) {
	c := qt.New(t)
	address, dir := startDaemon(t)
	cases, err := filepath.Glob("testdata/cases/*")
	c.Assert(err, qt.IsNil)
	c.Assert(len(cases) > 10, qt.IsTrue)
	for _, path := range cases {
		cmd, err := os.ReadFile(filepath.Join(path, "cmd"))
		c.Assert(err, qt.IsNil)
		line := strings.ReplaceAll(strings.TrimSpace(string(cmd)), "$KEYS", dir)
		t.Setenv("ROCKSPOKE_DAEMON", address)
		t.Setenv("ROCKSPOKE_CA", filepath.Join(dir, keys.FileCA))
		t.Setenv("ROCKSPOKE_CERT", filepath.Join(dir, "ama.crt"))
		t.Setenv("ROCKSPOKE_KEY", filepath.Join(dir, "ama.key"))
		var out, errs bytes.Buffer
		status := Main(context.Background(), split(line), strings.NewReader(""), &out, &errs)
		got := mask(fmt.Sprintf("%s%sexit status %d\n", &out, &errs, status))
		expect := filepath.Join(path, "expect")
		if *update {
			c.Assert(os.WriteFile(expect, []byte(got), 0o644), qt.IsNil)
			continue
		}
		want, err := os.ReadFile(expect)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, string(want), qt.Commentf("%s", path))
	}
}

// split splits a line at spaces outside double quotes.
func split(line string) []string {
	var out []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			out = append(out, part)
			continue
		}
		out = append(out, strings.Fields(part)...)
	}
	return out
}

func TestCompletionListsEveryCommand(t *testing.T) {
	c := qt.New(t)
	var names []string
	for _, newCommand := range commands {
		names = append(names, newCommand(&env{}).Name)
	}
	c.Assert(commandNames, qt.ContentEquals, names)
}
