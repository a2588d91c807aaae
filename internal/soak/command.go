package soak

import (
	"context"
	_ "embed" // For the regressions.
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

// ErrBroken reports that a run broke a promise.
var ErrBroken = errors.New("soak: a promise was broken")

// Command returns the command that plays seeds.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the programs of the platform on loopback, inject faults and check what callers and upstreams see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Value: "bin", Usage: "folder of the built programs", Sources: cli.EnvVars("BRAMLEY_SOAK_PROGRAMS")},
			&cli.Uint64SliceFlag{Name: "seed", Usage: "play these seeds", Sources: cli.EnvVars("BRAMLEY_SOAK_SEED")},
			&cli.BoolFlag{Name: "regressions", Usage: "play the seeds that failed once", Sources: cli.EnvVars("BRAMLEY_SOAK_REGRESSIONS")},
			&cli.IntFlag{Name: "seeds", Usage: "play this many seeds from 1 on", Sources: cli.EnvVars("BRAMLEY_SOAK_SEEDS")},
			&cli.DurationFlag{Name: "fresh", Usage: "play fresh seeds for this time", Sources: cli.EnvVars("BRAMLEY_SOAK_FRESH")},
			&cli.DurationFlag{Name: "faults", Value: 12 * time.Second, Usage: "time with faults in each run", Sources: cli.EnvVars("BRAMLEY_SOAK_FAULTS")},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "runs at the same time, 1 to 20, of 13 processes each", Sources: cli.EnvVars("BRAMLEY_SOAK_PARALLEL")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			parallel := c.Int("parallel")
			if parallel < 1 || parallel > 20 {
				return fmt.Errorf("soak: parallel is %d, not between 1 and 20", parallel)
			}
			o := Options{Programs: c.String("programs"), Faults: c.Duration("faults")}
			seeds := c.Uint64Slice("seed")
			if c.Bool("regressions") {
				known, err := regressions()
				if err != nil {
					return err
				}
				seeds = append(seeds, known...)
			}
			for i := range c.Int("seeds") {
				seeds = append(seeds, uint64(i+1))
			}
			return playAll(ctx, c.Root().Writer, o, parallel, seedSource(seeds, c.Duration("fresh")))
		},
	}
}

// regressionText has a seed and its cause on each line.
//
//go:embed regressions.txt
var regressionText string

// regressions returns the seeds that failed once.
func regressions() ([]uint64, error) {
	var seeds []uint64
	for number, line := range strings.Split(regressionText, "\n") {
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

// seedSource returns a function that gives the next seed, fresh ones for a while
// after the given ones, or false at the end.
func seedSource(seeds []uint64, fresh time.Duration) func() (uint64, bool) {
	end := time.Now().Add(fresh)
	return func() (uint64, bool) {
		if len(seeds) > 0 {
			next := seeds[0]
			seeds = seeds[1:]
			return next, true
		}
		return rand.Uint64N(1 << 32), time.Now().Before(end) //nolint:gosec // Any seed will do.
	}
}

// playAll plays seeds, several at a time, and prints a report of each.
func playAll(ctx context.Context, out io.Writer, o Options, parallel int, next func() (uint64, bool)) error {
	var mu sync.Mutex
	var done sync.WaitGroup
	var failures []error
	broken := 0
	for lane := range parallel {
		done.Add(1)
		go func() {
			defer done.Done()
			for ctx.Err() == nil {
				mu.Lock()
				seed, more := next()
				mu.Unlock()
				if !more {
					return
				}
				own := o
				own.Seed, own.Network = seed, lane
				report, err := Run(ctx, own)
				mu.Lock()
				if err != nil {
					failures = append(failures, fmt.Errorf("seed %d: %w", seed, err))
				}
				if report != nil {
					_, _ = fmt.Fprintln(out, report)
					if len(report.Breaches) > 0 {
						broken++
					}
				}
				mu.Unlock()
			}
		}()
	}
	done.Wait()
	if broken > 0 {
		failures = append(failures, fmt.Errorf("%w in %d runs", ErrBroken, broken))
	}
	return errors.Join(failures...)
}
