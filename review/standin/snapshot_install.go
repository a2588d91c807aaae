//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

const (
	// changesBefore changes are acknowledged while all machines run, changesMissed while
	// the follower is down. A replica replaces its log by a snapshot at 1,000 entries, so
	// that the follower needs the snapshot.
	changesBefore = 985
	changesMissed = 60
	// maxAttempts is how often the follower is killed during the installation of a
	// snapshot, until a start of it fails.
	maxAttempts = 2
	// installTimeout bounds the wait for the installation.
	installTimeout = 6 * time.Second
)

// playSnapshotInstall kills a follower of the core while it installs a snapshot. After two
// starts and a planned stop, another machine of the core loses its disk.
func playSnapshotInstall(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	core := []*machine{d.addEdge(1, "kamnik-a", true), d.addEdge(2, "kamnik-b", true), d.addEdge(3, "ljubljana-c", true)}
	for _, m := range core {
		if err := m.start(core, true); err != nil {
			return false, err
		}
	}
	c := &changer{o: newOperator(d, core)}
	wait := contact
	for attempt := 0; attempt < maxAttempts; attempt++ {
		follower, err := c.interruptInstallation(ctx, core, trouble)
		if err != nil {
			return false, err
		}
		if !trouble {
			break
		}
		status := readDirectly(ctx, follower)
		d.recordf("a read at %s alone gets %d", follower.name, status)
		if status != http.StatusServiceUnavailable && status != 0 && attempt+1 < maxAttempts {
			continue
		}
		// The follower has been back for longer than catch_up_s.
		lost := core[0]
		if lost == follower {
			lost = core[2]
		}
		lost.stop(syscall.SIGKILL)
		if err := lost.loseDisk(); err != nil {
			return false, err
		}
		sleep(ctx, time.Second)
		if err := lost.start(core, false); err != nil {
			return false, err
		}
		wait = 3 * (recovery + contact)
		break
	}
	d.recordf("operator: reads for up to %s, the newest acknowledged version is %d", wait, c.version)
	version, ok := c.o.read(ctx, wait)
	return !ok || version < c.version, nil
}

// changer sends desired states with increasing versions.
type changer struct {
	o       *operator
	version int
}

func (c *changer) change(ctx context.Context, count int) error {
	c.o.quiet = true
	routes := []route{{name: "r-a3hwrr6", host: "198.18.0.1", port: 8443, kind: "safe", service: "orders"}}
	for range count {
		c.version++
		if !c.o.put(ctx, c.version, desiredState(c.version, 15000, routes, "orders"), 20*time.Second) {
			return errors.New("a change is not acknowledged")
		}
	}
	c.o.d.recordf("operator: %d changes are acknowledged, the last one is version %d", count, c.version)
	return nil
}

// interruptInstallation makes changes until the log is replaced by a snapshot while a
// follower is down, and kills the follower when it has stored the snapshot. Then it starts
// the follower, stops it as planned and starts it again.
func (c *changer) interruptInstallation(ctx context.Context, core []*machine, trouble bool) (*machine, error) {
	c.o.machines = core
	if err := c.change(ctx, changesBefore); err != nil {
		return nil, err
	}
	follower := core[1]
	if readDirectly(ctx, follower) == http.StatusOK {
		follower = core[0] // core[1] is the leader.
	}
	var before, after syscall.Stat_t
	snapshot := filepath.Join(follower.dataRoot, "control", "snapshot")
	if trouble {
		follower.stop(syscall.SIGKILL)
		_ = syscall.Stat(snapshot, &before) // There is no snapshot at first.
		c.o.machines = nil
		for _, m := range core {
			if m != follower {
				c.o.machines = append(c.o.machines, m)
			}
		}
	}
	if err := c.change(ctx, changesMissed); err != nil || !trouble {
		return follower, err
	}
	if err := follower.start(core, false); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(installTimeout); time.Now().Before(deadline); {
		if err := syscall.Stat(snapshot, &after); err == nil && after.Ino != before.Ino {
			break
		}
	}
	for _, p := range slices.Backward(follower.running) { // Control is the last one.
		follower.d.mu.Lock()
		p.stopping = true
		follower.d.mu.Unlock()
		_ = p.command.Process.Kill()
	}
	follower.stop(syscall.SIGKILL)
	if err := follower.start(core, false); err != nil {
		return nil, err
	}
	sleep(ctx, catchUp+time.Second)
	c.o.machines = core
	if err := c.change(ctx, 3); err != nil {
		return nil, err
	}
	sleep(ctx, time.Second)
	follower.stop(syscall.SIGTERM)
	if err := follower.start(core, false); err != nil {
		return nil, err
	}
	sleep(ctx, catchUp+time.Second)
	return follower, nil
}

// readDirectly reads the desired state at one machine without following redirects. It
// returns the status, or 0 if there is no response.
func readDirectly(ctx context.Context, m *machine) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(m.address, controlPort).String()+"/config", http.NoBody)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
