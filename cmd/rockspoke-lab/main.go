// Command rockspoke-lab runs daemons against simulated backend servers and callers, and measures them.
package main

import (
	"context"
	"os"

	"github.com/rockspoke/rockspoke/pkg/lab"
)

func main() {
	os.Exit(lab.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
