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

// freeAddr returns an address that nothing listens on.
func freeAddr(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

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

// A signal that comes while the node stops once ended the process, since its handler had gone first: the
// test process itself ends if that comes back.
func TestSignalsAreTakenUntilTheNodeHasStopped(t *testing.T) {
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

func TestMeshSettingsNameTheirFaults(t *testing.T) {
	c := qt.New(t)
	_, err := settings.Parse("m.yaml", []byte("vm: a\nzone: z\nlisten: {peers: \"127.0.0.1:1\"}\nmesh: {grace: 2h, retryRatio: 3}\n"))
	for _, field := range []string{"service", "backend.address", "listen.outbound", "listen.control", "listen.ready", "platform.url", "mesh.grace", "mesh.retryRatio"} {
		c.Assert(err, qt.ErrorMatches, "(?s).*"+field+".*")
	}
}
