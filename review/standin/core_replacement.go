//go:build review

package main

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// successorLead is how long the successors run before the first machine gets
	// SIGTERM. It exceeds catch_up_s, so that removed machines do not count as lost.
	successorLead = 6 * time.Second
	// betweenRemovals is the time from the end of one removed machine to the SIGTERM of
	// the next one.
	betweenRemovals = 2 * time.Second
)

// playCoreReplacement replaces two machines of the core as planned, the new ones first,
// and removes the old ones one after the other.
func playCoreReplacement(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	between := betweenRemovals
	if text := os.Getenv("BETWEEN"); text != "" {
		if between, err = time.ParseDuration(text); err != nil {
			return false, err
		}
	}
	core := []*machine{d.addEdge(1, "kamnik-a", true), d.addEdge(2, "kamnik-b", true), d.addEdge(3, "ljubljana-c", true)}
	for _, m := range core {
		if err := m.start(core, true); err != nil {
			return false, err
		}
	}
	o := newOperator(d, core)
	routes := []route{{name: "r-a3hwrr6", host: "198.18.0.1", port: 8443, kind: "safe", service: "orders"}}
	version := 0
	change := func() error {
		version += 3
		if !o.put(ctx, version, desiredState(version, 15000, routes, "orders"), 20*time.Second) {
			return errors.New("a change before the last removal is not acknowledged")
		}
		return nil
	}
	for range 3 {
		if err := change(); err != nil {
			return false, err
		}
	}
	sleep(ctx, contact)
	wait := contact
	if trouble {
		successors := []*machine{d.addEdge(4, "kamnik-b", true), d.addEdge(5, "ljubljana-c", true)}
		for _, m := range successors {
			if err := m.start(core, false); err != nil {
				return false, err
			}
		}
		sleep(ctx, successorLead)
		core[2].stop(syscall.SIGTERM)
		o.machines = []*machine{core[0], core[1], successors[0], successors[1]}
		// A change shows that orders are served between the removals.
		if err := change(); err != nil {
			return false, err
		}
		sleep(ctx, between)
		core[1].stop(syscall.SIGTERM)
		o.machines = []*machine{core[0], successors[0], successors[1]}
		// The machines are in touch again contact_ms after the removal, and service may be
		// suspended for recovery_s at most. Three times that passes.
		wait = 3 * (recovery + contact)
	}
	d.recordf("operator: reads for up to %s, the newest acknowledged version is %d", wait, version)
	readVersion, ok := o.read(ctx, wait)
	return !ok || readVersion < version, nil
}
