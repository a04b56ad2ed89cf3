package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// The exit statuses of rockspoked.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // invalid flags or settings
)

// envPrefix is the prefix of the environment variables that set flags, such as ROCKSPOKE_SETTINGS.
const envPrefix = "ROCKSPOKE"

const usage = `rockspoked runs beside one backend server, or on an entry VM, and carries calls.

  SIGTERM, SIGINT  leave: take no new work, hand over key ranges, end calls in progress, stop
  SIGUSR1          write the state to the log
  SIGHUP           read the key files again; a node of a mesh reads its settings again

The file may also be named by ROCKSPOKE_SETTINGS in the environment. With a mesh section in it the daemon is a
node of a mesh: it finds the others by itself, and every request begins beside a backend server.

Exit status: 0 stopped as asked, 1 failed, 2 wrong settings.

Examples:
  rockspoked --settings /etc/rockspoke/daemon.yaml
  rockspoked --settings daemon.yaml --check`

// Main runs rockspoked with the command-line arguments args and returns its exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("rockspoked", flag.ContinueOnError)
	fs.SetOutput(stderr)
	file := fs.String("settings", "", "settings file in YAML")
	check := fs.Bool("check", false, "check the settings and exit")
	status := ExitOK
	cmd := &ffcli.Command{
		Name: "rockspoked", ShortUsage: "rockspoked --settings FILE [--check]", LongHelp: usage, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			status = run(ctx, *file, *check, stdout, stderr)
			return nil
		},
	}
	if err := cmd.ParseAndRun(ctx, args); err != nil && !errors.Is(err, flag.ErrHelp) {
		return ExitSettings
	}
	return status
}

// run loads the settings file, then checks it only or runs the daemon; it returns the exit status.
func run(ctx context.Context, file string, check bool, stdout, stderr io.Writer) int {
	if file == "" {
		fmt.Fprintln(stderr, "rockspoked: --settings must name a file; see rockspoked --help")
		return ExitSettings
	}
	signals := notifySignals() // before the settings are read: a signal that arrives meanwhile is handled after the start
	defer signal.Stop(signals)
	cfg, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if check {
		fmt.Fprintf(stdout, "%s: settings are good\n", file)
		return ExitOK
	}
	if err := serve(ctx, newApp(file, cfg, signals, stdout, stderr)); err != nil {
		fmt.Fprintf(stderr, "rockspoked: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

// newApp returns a mesh node if the settings have a mesh section, and a node with an operators' API otherwise.
func newApp(file string, cfg settings.Settings, signals <-chan os.Signal, stdout, stderr io.Writer) *fx.App {
	if cfg.Mesh != nil {
		return MeshApp(file, cfg, signals, stdout)
	}
	return App(cfg, signals, stderr)
}

// serve runs the daemon until the context is done or SIGTERM or SIGINT arrives, then stops it.
func serve(ctx context.Context, app *fx.App) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := app.Err(); err != nil {
		return eris.Wrap(err, "daemon can't be made")
	}
	startCtx, startCancel := context.WithTimeout(ctx, app.StartTimeout())
	defer startCancel()
	if err := app.Start(startCtx); err != nil {
		return eris.Wrap(err, "daemon can't start")
	}
	<-ctx.Done()
	stopCtx, stopCancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer stopCancel()
	return eris.Wrap(app.Stop(stopCtx), "daemon can't stop in order")
}
