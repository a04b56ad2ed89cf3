// Command rockspoked is the daemon that runs beside each backend server and on each entry VM.
package main

import (
	"context"
	"os"

	"github.com/rockspoke/rockspoke/pkg/daemon"
)

func main() {
	os.Exit(daemon.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
