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
	// Network selects the loopback addresses. Concurrent runs need different
	// values.
	Network int
	// ProgramFolder is the folder of the built programs.
	ProgramFolder string
	// FaultDuration is the time for which faults are injected.
	FaultDuration time.Duration
	// ReplaceControl adds replacements of control processes to the faults.
	ReplaceControl bool
}

// Report is the outcome of a run.
type Report struct {
	Seed                                            uint64
	Mode                                            string
	Served, Refused, Failed, Reset, ResetAfterFault int64
	// ServedShare is the fraction of the requests after the faults that were
	// served.
	ServedShare float64
	Breaches    []string
	Timeline    []string
	// Folder contains the logs of the processes. It is kept only if there is a
	// breach.
	Folder string
}

// String returns one line, followed by the timeline if there is a breach.
func (r *Report) String() string {
	line := fmt.Sprintf("seed %d (%s): served %d, refused %d, failed %d, reset %d (%d at faults), %.3f served after the faults, %d breaches",
		r.Seed, r.Mode, r.Served, r.Refused, r.Failed, r.Reset, r.ResetAfterFault, r.ServedShare, len(r.Breaches))
	if len(r.Breaches) == 0 {
		return line
	}
	return line + "\n" + strings.Join(r.Timeline, "\n") + "\nlogs: " + r.Folder
}

// minServedShare is the fraction of the requests that must be served after
// maxRecoveryTime.
const minServedShare = 0.95

// Run starts a deployment, injects the faults of one seed and returns the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	folder, err := os.MkdirTemp("", "bramley-soak-*")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	d := newDeployment(options, folder)
	mode := faultMode(options.Seed % uint64(faultModeCount))
	report := &Report{Seed: options.Seed, Mode: mode.String(), Folder: folder}
	err = d.run(ctx, mode, report)
	d.stopAll()
	report.Served, report.Refused, report.Failed = d.counters.served.Load(), d.counters.refused.Load(), d.counters.failed.Load()
	report.Reset, report.ResetAfterFault = d.counters.reset.Load(), d.counters.resetAfterFault.Load()
	report.Breaches, report.Timeline = d.breaches, d.timeline
	if len(report.Breaches) == 0 {
		err = errors.Join(err, os.RemoveAll(folder))
	}
	return report, err
}

// maxStartTime bounds the time from the first start of the deployment until it
// acknowledges a desired state.
const maxStartTime = 10 * time.Second

// run starts the deployment, injects faults while callers send requests, and checks
// the recovery.
func (d *deployment) run(ctx context.Context, mode faultMode, report *Report) error {
	random := rand.New(rand.NewPCG(d.options.Seed, 0)) //nolint:gosec // Choices must be reproducible; no secrecy is needed.
	if err := d.startAll(); err != nil {
		return err
	}
	if !d.putDesiredState(ctx, random, maxStartTime) {
		d.recordBreach("START", "the first desired state was not acknowledged within %s", maxStartTime)
		return ctx.Err()
	}
	backgroundCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	runInBackground := func(f func(context.Context)) {
		background.Add(1)
		go func() { defer background.Done(); f(backgroundCtx) }()
	}
	runInBackground(d.fabric.runHealthChecks)
	runInBackground(d.pollDesiredState)
	sleepContext(ctx, 2*time.Second)
	for i := range callerCount {
		c, err := d.newCaller(i)
		if err != nil {
			stop()
			background.Wait()
			return err
		}
		runInBackground(c.sendUntilDone)
	}
	sleepContext(ctx, 2*time.Second)

	faultCtx, cancelFaults := context.WithTimeout(ctx, d.options.FaultDuration)
	background.Add(1)
	go func() { defer background.Done(); d.orderZones(faultCtx) }()
	d.injectFaults(faultCtx, random, mode)
	cancelFaults()
	d.logEvent("faults end")
	d.checkRecovery(ctx, random, report)
	stop()
	background.Wait()
	return ctx.Err()
}

// checkRecovery checks that changes are acknowledged and requests are served again
// after the faults, and that no acknowledged version is lost.
func (d *deployment) checkRecovery(ctx context.Context, random *rand.Rand, report *Report) {
	const measureTime = 3 * time.Second
	sleepContext(ctx, maxRecoveryTime-measureTime)
	if !d.putDesiredState(ctx, random, maxRecoveryTime) {
		d.recordBreach("RECOVER", "no change was acknowledged within %s after the faults", maxRecoveryTime)
	}
	sleepContext(ctx, maxApplyTime)
	servedBefore, failedBefore, refusedBefore := d.counters.served.Load(), d.counters.failed.Load(), d.counters.refused.Load()
	sleepContext(ctx, measureTime)
	servedCount := float64(d.counters.served.Load() - servedBefore)
	unservedCount := float64(d.counters.failed.Load() - failedBefore + d.counters.refused.Load() - refusedBefore)
	if report.ServedShare = servedCount / max(servedCount+unservedCount, 1); report.ServedShare < minServedShare {
		d.recordBreach("RECOVER", "%.3f of the requests were served after the faults, less than %.2f", report.ServedShare, minServedShare)
	}
	for i, control := range d.controlProcesses() {
		if !d.checkDesiredState(ctx, i) && ctx.Err() == nil {
			d.recordBreach("RECOVER", "%s does not respond to reads after the faults", control.name())
		}
	}
}
