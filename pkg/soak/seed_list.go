package soak

import (
	_ "embed" // for the list of seeds
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

//go:embed failed_seeds.txt
var failedSeedsText string

// failedSeeds returns the seeds that ever broke a promise: the first word of each line that isn't a comment.
func failedSeeds() (seeds []string) {
	for line := range strings.Lines(failedSeedsText) {
		if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
			seeds = append(seeds, f[0])
		}
	}
	return seeds
}

// seedList parses the named seeds. If there are none, it returns n consecutive seeds from first, or from a random one if first is 0.
func seedList(named []string, n int, first uint64) ([]uint64, error) {
	var list []uint64
	for _, text := range named {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q isn't a number", text)
		}
		list = append(list, seed)
	}
	if len(list) > 0 {
		return list, nil
	}
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	for i := range n {
		list = append(list, first+uint64(i))
	}
	return list, nil
}
