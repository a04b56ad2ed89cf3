// Command rockspoke-soak runs real daemons under random faults and checks their promises.
package main

import (
	"context"
	"os"

	"github.com/rockspoke/rockspoke/pkg/soak"
)

func main() {
	os.Exit(soak.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
