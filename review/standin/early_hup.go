//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// hupDelay is the time from the start of a process to the SIGHUP.
	hupDelay = time.Millisecond
	// hupRounds is how often each of the machines is restarted.
	hupRounds = 3
	// restartDelay is how long the platform waits before it starts a process again that
	// has ended by itself.
	restartDelay = 300 * time.Millisecond
	// maxOwnEnds and minMachines are the limits of the rule: on two machines, or a tenth
	// of them, processes end by themselves three times.
	maxOwnEnds  = 3
	minMachines = 2
)

// playEarlyHUP stops and starts two machines in turn. Each time the settings change as the
// processes start, and they get SIGHUP.
func playEarlyHUP(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	edges := []*machine{d.addEdge(1, "kamnik-a", true), d.addEdge(2, "kamnik-b", true), d.addEdge(3, "ljubljana-c", true)}
	sides := []*machine{d.addSide(1, "kamnik-a", "orders"), d.addSide(2, "kamnik-b", "orders")}
	for _, m := range append(edges, sides...) {
		if err := m.start(edges, true); err != nil {
			return false, err
		}
	}
	o := newOperator(d, edges)
	routes := []route{{name: "r-a3hwrr6", host: "198.18.0.1", port: 8443, kind: "safe", service: "orders"}}
	if !o.put(ctx, 7, desiredState(7, 15000, routes, "orders"), 20*time.Second) {
		return false, errors.New("the first desired state is not acknowledged")
	}
	sleep(ctx, contact)
	ends := map[*machine]int{}
	for round := range hupRounds {
		for _, m := range edges[:minMachines] {
			m.stop(syscall.SIGTERM)
			if err := m.start(edges, false); err != nil {
				return false, err
			}
			if trouble {
				time.Sleep(hupDelay)
				for _, p := range m.running {
					_ = p.command.Process.Signal(syscall.SIGHUP)
				}
			}
			sleep(ctx, restartDelay)
			ended, err := m.restartEnded(edges)
			if err != nil {
				return false, err
			}
			ends[m] += ended
			d.recordf("round %d: %d of %d processes of %s ended by themselves", round+1, ended, len(m.running), m.name)
			sleep(ctx, contact+time.Second)
		}
	}
	machines := 0
	for _, m := range edges[:minMachines] {
		d.recordf("check: processes of %s ended by themselves %d times", m.name, ends[m])
		if ends[m] >= maxOwnEnds {
			machines++
		}
	}
	return machines >= minMachines, nil
}

// restartEnded starts the processes of a machine again that have ended by themselves, and
// returns their number.
func (m *machine) restartEnded(seeds []*machine) (ended int, err error) {
	for i, p := range m.running {
		select {
		case <-p.exited:
		default:
			continue
		}
		ended++
		m.d.recordf("process %s has ended by itself: %s", p.name, p.command.ProcessState)
		_, role, _ := strings.Cut(p.name, "/")
		if m.running[i], err = m.startRole(role, seeds, false); err != nil {
			return ended, fmt.Errorf("start %s again: %w", p.name, err)
		}
	}
	return ended, nil
}
