package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
)

// runSeeds runs seeds, up to concurrentRuns concurrently, and prints each report to w. It returns a BrokenPromisesError if any run broke one.
func runSeeds(ctx context.Context, o Options, seeds []uint64, concurrentRuns int, w io.Writer) error {
	var mu sync.Mutex
	var failed []uint64
	var running sync.WaitGroup
	networks := make(chan int, concurrentRuns)
	for i := range concurrentRuns {
		networks <- i + 1
	}
	var firstErr error
	for _, seed := range seeds {
		network := <-networks
		running.Go(func() {
			defer func() { networks <- network }()
			r, err := runSeed(ctx, o, seed, network)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				firstErr = errors.Join(firstErr, fmt.Errorf("seed %d: %w", seed, err))
				return
			}
			if len(r.Findings) > 0 {
				failed = append(failed, seed)
			}
			fmt.Fprint(w, r.Text())
		})
	}
	running.Wait()
	fmt.Fprintf(w, "%d seeds run, %d with broken promises %v\n", len(seeds), len(failed), failed)
	if len(failed) > 0 {
		return errors.Join(firstErr, &BrokenPromisesError{failed})
	}
	return firstErr
}

// runSeed runs one seed, with its settings and logs in a folder of its own.
func runSeed(ctx context.Context, o Options, seed uint64, network int) (Report, error) {
	o.Seed, o.Network = seed, network
	o.Dir = filepath.Join(o.Dir, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	f, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	o.Log = f
	return Run(ctx, o)
}

// BrokenPromisesError lists the seeds whose runs broke promises.
type BrokenPromisesError struct{ Seeds []uint64 }

// Error names the seeds.
func (e *BrokenPromisesError) Error() string {
	return fmt.Sprintf("promises were broken with seeds %v", e.Seeds)
}
