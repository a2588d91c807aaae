package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// faultMode is the class of faults that a run may inject. Each class includes the
// ones before it.
type faultMode int

const (
	// plannedOnly allows restarts, releases of upstreams and changes of the
	// desired state. No flow may be reset.
	plannedOnly faultMode = iota
	// withUnplanned also allows kills, pauses and link faults.
	withUnplanned
	// withVoterFaults also allows faults of the Raft voters, one at a time.
	withVoterFaults
	faultModeCount
)

func (m faultMode) String() string { return [...]string{"planned", "unplanned", "core"}[m] }

// fault is one kind of disturbance. inject returns when the fault has ended.
type fault struct {
	name    string
	minMode faultMode
	// disturbsVoter is set for faults of the Raft voters. They never overlap.
	disturbsVoter bool
	inject        func(ctx context.Context, d *deployment, random *rand.Rand) error
}

var allFaults = []fault{
	{"roll of balancers", plannedOnly, false, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.rollingRestart(ctx, d.balancers, random)
	}},
	{"roll of agents", plannedOnly, false, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.rollingRestart(ctx, d.agents, random)
	}},
	{"roll of control", plannedOnly, true, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.rollingRestart(ctx, d.controlProcesses(), random)
	}},
	{"release", plannedOnly, false, releaseUpstream},
	{"changes", plannedOnly, false, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		for range 1 + random.IntN(4) {
			d.putDesiredState(ctx, random, 4*time.Second)
			sleepContext(ctx, time.Duration(random.IntN(800))*time.Millisecond)
		}
		return nil
	}},
	{"reload", plannedOnly, false, func(_ context.Context, d *deployment, _ *rand.Rand) error {
		for _, p := range d.allProcesses() {
			p.signal(syscall.SIGHUP, false)
		}
		return nil
	}},
	{"kill", withUnplanned, false, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.killAndRestart(ctx, d.randomProcess(random, d.balancers, d.agents), random, func(*process) error { return nil })
	}},
	{"pause", withUnplanned, false, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.suspendAndResume(ctx, d.randomProcess(random, d.balancers, d.agents), random)
	}},
	{"crash of an upstream", withUnplanned, false, crashUpstream},
	{"link", withUnplanned, false, injectLinkFault},
	{"kill of a voter", withVoterFaults, true, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.killAndRestart(ctx, d.randomProcess(random, d.controlProcesses()), random, func(*process) error { return nil })
	}},
	{"pause of a voter", withVoterFaults, true, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.suspendAndResume(ctx, d.randomProcess(random, d.controlProcesses()), random)
	}},
	{"lost disk", withVoterFaults, true, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.killAndRestart(ctx, d.randomProcess(random, d.controlProcesses()), random, func(p *process) error { return os.RemoveAll(p.settings.DataFolder) })
	}},
	{"torn write", withVoterFaults, true, func(ctx context.Context, d *deployment, random *rand.Rand) error {
		return d.killAndRestart(ctx, d.randomProcess(random, d.controlProcesses()), random, appendTornRecord)
	}},
}

// injectFaults starts random faults of the mode until the context is done, and
// waits for them to end. Faults may overlap.
func (d *deployment) injectFaults(ctx context.Context, random *rand.Rand, maxMode faultMode) {
	var eligible []fault
	for _, candidate := range allFaults {
		if candidate.minMode <= maxMode {
			eligible = append(eligible, candidate)
		}
	}
	if d.options.ReplaceControl {
		eligible = append(eligible, controlReplacement)
	}
	var running sync.WaitGroup
	var voterLock sync.Mutex
	for ctx.Err() == nil {
		chosen := eligible[random.IntN(len(eligible))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0)) //nolint:gosec // Choices must be reproducible; no secrecy is needed.
		running.Add(1)
		go func() {
			defer running.Done()
			if chosen.disturbsVoter {
				voterLock.Lock()
				defer voterLock.Unlock()
				// Gives the voter time to catch up before the next one is
				// disturbed.
				defer sleepContext(ctx, reachableAfter)
				if ctx.Err() != nil {
					return
				}
			}
			d.logEvent("%s begins", chosen.name)
			if err := chosen.inject(ctx, d, faultRandom); err != nil {
				d.recordBreach("SOAK", "%s: %v", chosen.name, err)
			}
			d.logEvent("%s ends", chosen.name)
		}()
		sleepContext(ctx, time.Duration(300+random.IntN(2000))*time.Millisecond)
	}
	running.Wait()
}

// randomProcess draws a process of the given groups. The caller must take its
// faultLock, because another fault may already disturb it.
func (d *deployment) randomProcess(random *rand.Rand, groups ...[]*process) *process {
	var candidates []*process
	for _, group := range groups {
		candidates = append(candidates, group...)
	}
	return candidates[random.IntN(len(candidates))]
}

// rollingRestart restarts some processes of a group one after the other. It skips
// processes that another fault disturbs.
func (d *deployment) rollingRestart(ctx context.Context, group []*process, random *rand.Rand) error {
	for _, i := range random.Perm(len(group))[:1+random.IntN(len(group))] {
		if ctx.Err() != nil {
			return nil
		}
		p := group[i]
		if !p.faultLock.TryLock() {
			continue
		}
		d.logEvent("SIGTERM to %s", p.name())
		p.stop()
		err := p.start()
		p.faultLock.Unlock()
		if err != nil {
			return err
		}
		sleepContext(ctx, time.Duration(800+random.IntN(700))*time.Millisecond)
	}
	return nil
}

// killAndRestart kills a process, damages its data folder and starts it again
// after a random time.
func (d *deployment) killAndRestart(ctx context.Context, p *process, random *rand.Rand, damage func(*process) error) error {
	if !p.faultLock.TryLock() {
		return nil
	}
	defer p.faultLock.Unlock()
	down := time.Duration(100+random.IntN(3000)) * time.Millisecond
	d.logEvent("SIGKILL to %s for %s", p.name(), down)
	d.recordUnplannedFault(time.Now().Add(down), p.address())
	p.kill()
	if err := damage(p); err != nil {
		return err
	}
	sleepContext(ctx, down)
	d.recordUnplannedFault(time.Now(), p.address())
	return p.start()
}

// suspendAndResume stops a process with SIGSTOP and continues it after a random
// time.
func (d *deployment) suspendAndResume(ctx context.Context, p *process, random *rand.Rand) error {
	if !p.faultLock.TryLock() {
		return nil
	}
	defer p.faultLock.Unlock()
	suspended := time.Duration(300+random.IntN(4000)) * time.Millisecond
	d.logEvent("%s is paused for %s", p.name(), suspended)
	d.recordUnplannedFault(time.Now().Add(suspended), p.address())
	p.signal(syscall.SIGSTOP, false)
	sleepContext(ctx, suspended)
	p.signal(syscall.SIGCONT, false)
	d.recordUnplannedFault(time.Now(), p.address())
	return nil
}

// appendTornRecord appends the first bytes of a record to the log, as a power loss
// during a write does.
func appendTornRecord(p *process) error {
	file, err := os.OpenFile(filepath.Join(p.settings.DataFolder, "log"), os.O_APPEND|os.O_WRONLY, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil // Nothing has been written since the data folder was deleted.
	}
	if err != nil {
		return err
	}
	_, err = file.Write([]byte{0, 0, 1})
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// injectLinkFault drops all datagrams of a VM, or makes its links lossy or slow. The
// fault affects one or both directions.
func injectLinkFault(ctx context.Context, d *deployment, random *rand.Rand) error {
	target := d.randomProcess(random, d.balancers[voterCount:], d.agents)
	faultsByName := map[string]linkFault{
		"cut": {drop: 1}, "lossy": {drop: 0.3}, "slow": {delay: time.Duration(30+random.IntN(150)) * time.Millisecond},
	}
	names := []string{"cut", "lossy", "slow"}
	name := names[random.IntN(len(names))]
	directions := random.IntN(3)
	duration := time.Duration(500+random.IntN(4000)) * time.Millisecond
	d.logEvent("links of %s: %s, ways %d, for %s", target.name(), name, directions, duration)
	setFault := func(f linkFault) {
		for _, p := range d.allProcesses() {
			if directions != 1 {
				d.relay.setFault(target.address(), p.address(), f)
			}
			if directions != 0 {
				d.relay.setFault(p.address(), target.address(), f)
			}
		}
	}
	d.recordUnplannedFault(time.Now().Add(duration), target.address())
	setFault(faultsByName[name])
	sleepContext(ctx, duration)
	setFault(linkFault{})
	d.recordUnplannedFault(time.Now(), target.address())
	return nil
}

// upstreamAt returns the upstream that runs at the application address of an
// agent, or nil.
func (d *deployment) upstreamAt(app netip.AddrPort) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[app]
}

// replaceUpstream stops a random upstream with stopOld and starts another one at
// the same address.
func (d *deployment) replaceUpstream(random *rand.Rand, stopOld func(u *upstream)) error {
	agent := d.randomProcess(random, d.agents)
	if !agent.faultLock.TryLock() {
		return nil
	}
	defer agent.faultLock.Unlock()
	u := d.upstreamAt(agent.settings.App)
	if u == nil {
		return nil
	}
	stopOld(u)
	return d.startUpstream(agent, d.newUpstreamID())
}

// crashUpstream stops an upstream without notifying its agent, and replaces it
// after a random time.
func crashUpstream(ctx context.Context, d *deployment, random *rand.Rand) error {
	return d.replaceUpstream(random, func(u *upstream) {
		d.logEvent("upstream %s crashes", u.id)
		u.stop()
		sleepContext(ctx, time.Duration(random.IntN(2500))*time.Millisecond)
	})
}

// releaseUpstream drains an upstream and deregisters it from its agent before it
// stops it.
func releaseUpstream(ctx context.Context, d *deployment, random *rand.Rand) error {
	return d.replaceUpstream(random, func(u *upstream) {
		d.logEvent("upstream %s leaves", u.id)
		u.mu.Lock()
		u.leaving = true
		u.mu.Unlock()
		sleepContext(ctx, maxDrainTime+time.Duration(random.IntN(1500))*time.Millisecond)
		if err := u.callAgent(ctx, http.MethodDelete, nil); err != nil && ctx.Err() == nil {
			d.logEvent("the end of upstream %s was not acknowledged: %v", u.id, err)
		}
		u.stop()
	})
}
