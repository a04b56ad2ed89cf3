// Command rockspoke-soak runs daemons under random faults and checks that their guarantees hold.
package main

import (
	"context"
	"os"

	"github.com/rockspoke/rockspoke/pkg/soak"
)

func main() {
	os.Exit(soak.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
