package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// Options of one run.
type Options struct {
	Seed uint64
	// Network chooses the loopback addresses; runs at the same time need different
	// ones.
	Network int
	// Programs is the folder of the programs.
	Programs string
	// Faults is how long faults are injected.
	Faults time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Seed                                    uint64
	Mode                                    string
	Served, Refused, Failed, Reset, Excused int64
	// RecoveredShare is the part of the requests that were served after the faults.
	RecoveredShare float64
	Breaches       []string
	Timeline       []string
	// Folder holds the logs of the processes if a promise was broken.
	Folder string
}

// String is one line for a clean run, and the timeline with the breaches otherwise.
func (r *Report) String() string {
	line := fmt.Sprintf("seed %d (%s): served %d, refused %d, failed %d, reset %d (%d at faults), %.3f served after the faults, %d breaches",
		r.Seed, r.Mode, r.Served, r.Refused, r.Failed, r.Reset, r.Excused, r.RecoveredShare, len(r.Breaches))
	if len(r.Breaches) == 0 {
		return line
	}
	return line + "\n" + strings.Join(r.Timeline, "\n") + "\nlogs: " + r.Folder
}

// minRecovered is the part of the requests that must be served once service is back.
const minRecovered = 0.95

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	folder, err := os.MkdirTemp("", "bramley-soak-*")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	w := newWorld(o, folder)
	m := mode(o.Seed % uint64(modeCount))
	report := &Report{Seed: o.Seed, Mode: m.String(), Folder: folder}
	err = w.play(ctx, m, report)
	w.close()
	report.Served, report.Refused, report.Failed = w.counts.served.Load(), w.counts.refused.Load(), w.counts.failed.Load()
	report.Reset, report.Excused = w.counts.reset.Load(), w.counts.excused.Load()
	report.Breaches, report.Timeline = w.breaches, w.timeline
	if len(report.Breaches) == 0 {
		err = errors.Join(err, os.RemoveAll(folder))
	}
	return report, err
}

// startTime bounds the time until the deployment serves at its first start.
const startTime = 10 * time.Second

func (w *world) play(ctx context.Context, m mode, report *Report) error {
	random := rand.New(rand.NewPCG(w.options.Seed, 0)) //nolint:gosec // Repeatable.
	if err := w.start(); err != nil {
		return err
	}
	if !w.change(ctx, random, startTime) {
		w.breach("START", "the first desired state was not acknowledged within %s", startTime)
		return ctx.Err()
	}
	background, stop := context.WithCancel(ctx)
	var done sync.WaitGroup
	begin := func(f func(context.Context)) {
		done.Add(1)
		go func() { defer done.Done(); f(background) }()
	}
	begin(w.fabric.run)
	begin(w.readBack)
	pause(ctx, 2*time.Second)
	for i := range callers {
		c, err := w.newCaller(i)
		if err != nil {
			stop()
			done.Wait()
			return err
		}
		begin(c.run)
	}
	pause(ctx, 2*time.Second)

	disturbed, calm := context.WithTimeout(ctx, w.options.Faults)
	w.faults(disturbed, random, m)
	calm()
	w.note("faults end")
	w.recovered(ctx, random, report)
	stop()
	done.Wait()
	return ctx.Err()
}

// recovered checks that service is back and that nothing acknowledged is lost.
func (w *world) recovered(ctx context.Context, random *rand.Rand, report *Report) {
	const measured = 3 * time.Second
	pause(ctx, recoveryTime-measured)
	if !w.change(ctx, random, recoveryTime) {
		w.breach("RECOVER", "no change was acknowledged within %s after the faults", recoveryTime)
	}
	pause(ctx, inForceTime)
	served, failed, refused := w.counts.served.Load(), w.counts.failed.Load(), w.counts.refused.Load()
	pause(ctx, measured)
	good := float64(w.counts.served.Load() - served)
	bad := float64(w.counts.failed.Load() - failed + w.counts.refused.Load() - refused)
	if report.RecoveredShare = good / max(good+bad, 1); report.RecoveredShare < minRecovered {
		w.breach("RECOVER", "%.3f of the requests are served after the faults, less than %.2f", report.RecoveredShare, minRecovered)
	}
	for i := range w.control {
		if !w.readOnce(ctx, i) && ctx.Err() == nil {
			w.breach("RECOVER", "%s does not answer reads after the faults", w.control[i].name())
		}
	}
}
