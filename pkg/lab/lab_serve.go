package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.yaml.in/yaml/v3"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// platformCommand serves the stand-in for the users' platform.
func platformCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlags("rockspoke-lab platform", stderr)
	listen := fs.String("listen", "127.0.41.1:7000", "IP:port to serve at")
	file := fs.String("vms", "", "YAML file with the list of VMs")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "rockspoke-lab platform --vms FILE [--listen IP:PORT]", FlagSet: fs,
		ShortHelp: "serve the stand-in for the platform, in memory, until interrupted",
		Exec: func(ctx context.Context, _ []string) error {
			var m store.Memory
			data, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			var vms []member.VM
			if err := yaml.Unmarshal(data, &vms); err != nil {
				return fmt.Errorf("%s: %w", *file, err)
			}
			m.SetVMs(vms)
			return serveUntilInterrupted(ctx, stdout, *listen, store.Server(&m))
		},
	}
}

// backendCommand serves a backend server that answers every request after some time.
func backendCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlags("rockspoke-lab backend", stderr)
	listen := fs.String("listen", "127.0.41.2:9000", "IP:port to serve at")
	takes := fs.Duration("time", 10*time.Millisecond, "time that a request takes")
	return &ffcli.Command{
		Name: "backend", ShortUsage: "rockspoke-lab backend [--listen IP:PORT] [--time D]", FlagSet: fs,
		ShortHelp: "serve a backend server that answers every request, until interrupted",
		Exec: func(ctx context.Context, _ []string) error {
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if clock.Sleep(r.Context(), *takes) {
					fmt.Fprintf(w, "%s %s done by %s\n", r.Method, r.URL.Path, *listen)
				}
			})
			return serveUntilInterrupted(ctx, stdout, *listen, h)
		},
	}
}

// serveUntilInterrupted serves until the context ends or the process is asked to stop.
func serveUntilInterrupted(ctx context.Context, w io.Writer, listen string, h http.Handler) error {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "serving at %s\n", listen)
	s := &http.Server{Handler: h}
	go func() {
		<-ctx.Done()
		_ = s.Close() // nothing here must last
	}()
	if err := s.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
