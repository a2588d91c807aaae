package soak

import (
	"context"
	_ "embed" // Embeds regressions.txt.
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
)

// ErrBreach reports that a check of at least one run failed.
var ErrBreach = errors.New("soak: a check failed")

// Command returns the command that runs the soak for a list of seeds.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the programs of the platform on loopback, inject faults and check what callers and upstreams see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Value: "bin", Usage: "folder of the built programs", Sources: cli.EnvVars("BRAMLEY_SOAK_PROGRAMS")},
			&cli.Uint64SliceFlag{Name: "seed", Usage: "run these seeds", Sources: cli.EnvVars("BRAMLEY_SOAK_SEED")},
			&cli.BoolFlag{Name: "regressions", Usage: "run the seeds of regressions.txt, which failed in the past", Sources: cli.EnvVars("BRAMLEY_SOAK_REGRESSIONS")},
			&cli.IntFlag{Name: "seeds", Usage: "run this many seeds, starting with 1", Sources: cli.EnvVars("BRAMLEY_SOAK_SEEDS")},
			&cli.DurationFlag{Name: "fresh", Usage: "run random seeds for this time", Sources: cli.EnvVars("BRAMLEY_SOAK_FRESH")},
			&cli.DurationFlag{Name: "faults", Value: 12 * time.Second, Usage: "time for which each run injects faults", Sources: cli.EnvVars("BRAMLEY_SOAK_FAULTS")},
			&cli.BoolFlag{Name: "replace-control", Usage: "also replace control processes for good", Sources: cli.EnvVars("BRAMLEY_SOAK_REPLACE_CONTROL")},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "number of concurrent runs, 1 to 20, of 13 processes each", Sources: cli.EnvVars("BRAMLEY_SOAK_PARALLEL")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			parallel := c.Int("parallel")
			if parallel < 1 || parallel > 20 {
				return fmt.Errorf("soak: parallel is %d, not between 1 and 20", parallel)
			}
			options := Options{ProgramFolder: c.String("programs"), FaultDuration: c.Duration("faults"), ReplaceControl: c.Bool("replace-control")}
			seeds := c.Uint64Slice("seed")
			if c.Bool("regressions") {
				regressions, err := regressionSeeds()
				if err != nil {
					return err
				}
				seeds = append(seeds, regressions...)
			}
			for i := range c.Int("seeds") {
				seeds = append(seeds, uint64(i+1))
			}
			return runAll(ctx, c.Root().Writer, options, parallel, nextSeedFunc(seeds, c.Duration("fresh")))
		},
	}
}

// regressionFile has a seed and the cause of its failure on each line.
//
//go:embed regressions.txt
var regressionFile string

// regressionSeeds returns the seeds of regressions.txt.
func regressionSeeds() ([]uint64, error) {
	var seeds []uint64
	for number, line := range strings.Split(regressionFile, "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		text, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("regressions.txt line %d: %q is not a seed", number+1, text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// nextSeedFunc returns a function that returns the next seed. It returns the given
// seeds first, and then random ones until freshDuration has passed. After that it
// returns false.
func nextSeedFunc(seeds []uint64, freshDuration time.Duration) func() (uint64, bool) {
	deadline := time.Now().Add(freshDuration)
	return func() (uint64, bool) {
		if len(seeds) > 0 {
			next := seeds[0]
			seeds = seeds[1:]
			return next, true
		}
		return rand.Uint64N(1 << 32), time.Now().Before(deadline) //nolint:gosec // Any seed is valid; no secrecy is needed.
	}
}

// runAll runs the seeds, several concurrently, and prints a report of each.
func runAll(ctx context.Context, out io.Writer, options Options, parallel int, nextSeed func() (uint64, bool)) error {
	var mu sync.Mutex
	var workers sync.WaitGroup
	var failures []error
	runsWithBreaches := 0
	for network := range parallel {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for ctx.Err() == nil {
				mu.Lock()
				seed, more := nextSeed()
				mu.Unlock()
				if !more {
					return
				}
				runOptions := options
				runOptions.Seed, runOptions.Network = seed, network
				report, err := Run(ctx, runOptions)
				mu.Lock()
				if err != nil {
					failures = append(failures, fmt.Errorf("seed %d: %w", seed, err))
				}
				if report != nil {
					_, _ = fmt.Fprintln(out, report)
					if len(report.Breaches) > 0 {
						runsWithBreaches++
					}
				}
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	if runsWithBreaches > 0 {
		failures = append(failures, fmt.Errorf("%w in %d runs", ErrBreach, runsWithBreaches))
	}
	return errors.Join(failures...)
}
