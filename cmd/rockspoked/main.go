// Command rockspoked is the daemon that runs beside each backend server and on each entry VM.
package main

import (
	"context"
	"os"
	"runtime"

	"github.com/rockspoke/rockspoke/pkg/daemon"
)

// heapFloor is the size in bytes of an allocation that the process holds and never touches, so that it takes no memory. A
// daemon's live heap is about 7 MB, which is collected each time another 7 MB are allocated: with the floor, each time
// another 23 MB are. Memory in use grows by at most 16 MB.
const heapFloor = 16 << 20

func main() {
	floor := make([]byte, heapFloor)
	code := daemon.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)
	runtime.KeepAlive(floor)
	os.Exit(code)
}
