// Command rockspoke is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/rockspoke/rockspoke/pkg/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
