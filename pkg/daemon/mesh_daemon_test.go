package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

// meshSettings writes a settings file for a mesh node into dir, and returns its path and the settings.
func meshSettings(c *qt.C, dir string) (string, settings.Settings) {
	text := fmt.Sprintf(`vm: a
zone: z
service: s
listen: {peers: %q, outbound: %q, control: %q, ready: %q, metrics: %q}
backend: {address: %q}
platform: {url: "http://%s"}
mesh: {grace: 4s}
`, freeAddr(c), freeAddr(c), freeAddr(c), freeAddr(c), freeAddr(c), freeAddr(c), freeAddr(c))
	path := filepath.Join(dir, "mesh.yaml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	cfg, err := settings.Load(path)
	c.Assert(err, qt.IsNil)
	return path, cfg
}

// If the signal handler stops before the node, a SIGHUP that arrives during the stop terminates the process; here
// that is the test process itself.
func TestSignalsAreHandledUntilTheNodeHasStopped(t *testing.T) {
	c := qt.New(t)
	path, cfg := meshSettings(c, t.TempDir())
	app := MeshApp(path, cfg, io.Discard)
	c.Assert(app.Err(), qt.IsNil)
	c.Assert(app.Start(context.Background()), qt.IsNil)
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	}
	c.Assert(<-stopped, qt.IsNil)
}

func TestMeshSettingsErrorNamesEveryInvalidField(t *testing.T) {
	c := qt.New(t)
	_, err := settings.Parse("m.yaml", []byte("vm: a\nzone: z\nlisten: {peers: \"127.0.0.1:1\"}\nmesh: {grace: 2h, retryRatio: 3}\n"))
	for _, field := range []string{"service", "backend.address", "listen.outbound", "listen.control", "listen.ready", "platform.url", "mesh.grace", "mesh.retryRatio"} {
		c.Assert(err, qt.ErrorMatches, "(?s).*"+field+".*")
	}
}
