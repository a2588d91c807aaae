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

// mode is the class of faults of a run.
type mode int

const (
	// planned: restarts, releases and changes only. No flow may be reset.
	planned mode = iota
	// unplanned: kills, pauses and link faults as well.
	unplanned
	// core: the voters are disturbed too, one at a time.
	core
	modeCount
)

func (m mode) String() string { return [...]string{"planned", "unplanned", "core"}[m] }

// fault is one disturbance. It returns when it has ended.
type fault struct {
	name  string
	least mode
	// voter: one at a time.
	voter bool
	run   func(ctx context.Context, w *world, random *rand.Rand) error
}

var faultKinds = []fault{
	{"roll of balancers", planned, false, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.roll(ctx, w.balance, random)
	}},
	{"roll of agents", planned, false, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.roll(ctx, w.agents, random)
	}},
	{"roll of control", planned, true, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.roll(ctx, w.control, random)
	}},
	{"release", planned, false, release},
	{"changes", planned, false, func(ctx context.Context, w *world, random *rand.Rand) error {
		for range 1 + random.IntN(4) {
			w.change(ctx, random, 4*time.Second)
			pause(ctx, time.Duration(random.IntN(800))*time.Millisecond)
		}
		return nil
	}},
	{"reload", planned, false, func(_ context.Context, w *world, _ *rand.Rand) error {
		for _, p := range w.all {
			p.signal(syscall.SIGHUP, false)
		}
		return nil
	}},
	{"kill", unplanned, false, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.killed(ctx, w.pick(random, w.balance, w.agents), random, func(*process) error { return nil })
	}},
	{"pause", unplanned, false, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.paused(ctx, w.pick(random, w.balance, w.agents), random)
	}},
	{"crash of an upstream", unplanned, false, crashUpstream},
	{"link", unplanned, false, linkTrouble},
	{"kill of a voter", core, true, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.killed(ctx, w.pick(random, w.control), random, func(*process) error { return nil })
	}},
	{"pause of a voter", core, true, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.paused(ctx, w.pick(random, w.control), random)
	}},
	{"lost disk", core, true, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.killed(ctx, w.pick(random, w.control), random, func(p *process) error { return os.RemoveAll(p.settings.DataFolder) })
	}},
	{"torn write", core, true, func(ctx context.Context, w *world, random *rand.Rand) error {
		return w.killed(ctx, w.pick(random, w.control), random, tearLog)
	}},
}

// faults runs disturbances in series and overlapping until the context ends.
func (w *world) faults(ctx context.Context, random *rand.Rand, m mode) {
	var kinds []fault
	for _, k := range faultKinds {
		if k.least <= m {
			kinds = append(kinds, k)
		}
	}
	var running sync.WaitGroup
	var voter sync.Mutex
	for ctx.Err() == nil {
		k := kinds[random.IntN(len(kinds))]
		own := rand.New(rand.NewPCG(random.Uint64(), 0)) //nolint:gosec // Repeatable.
		running.Add(1)
		go func() {
			defer running.Done()
			if k.voter {
				voter.Lock()
				defer voter.Unlock()
				// The voter before has had its time to catch up.
				defer pause(ctx, contactTime)
				if ctx.Err() != nil {
					return
				}
			}
			w.note("%s begins", k.name)
			if err := k.run(ctx, w, own); err != nil {
				w.breach("SOAK", "%s: %v", k.name, err)
			}
			w.note("%s ends", k.name)
		}()
		pause(ctx, time.Duration(300+random.IntN(2000))*time.Millisecond)
	}
	running.Wait()
}

// pick draws a process of the given groups that nobody else disturbs.
func (w *world) pick(random *rand.Rand, groups ...[]*process) *process {
	var list []*process
	for _, g := range groups {
		list = append(list, g...)
	}
	return list[random.IntN(len(list))]
}

// roll restarts the processes of a group one after the other.
func (w *world) roll(ctx context.Context, group []*process, random *rand.Rand) error {
	for _, i := range random.Perm(len(group))[:1+random.IntN(len(group))] {
		if ctx.Err() != nil {
			return nil
		}
		p := group[i]
		if !p.busy.TryLock() {
			continue
		}
		w.note("SIGTERM to %s", p.name())
		p.stop()
		err := p.start()
		p.busy.Unlock()
		if err != nil {
			return err
		}
		pause(ctx, time.Duration(800+random.IntN(700))*time.Millisecond)
	}
	return nil
}

// killed kills a process, damages its disk and starts it again.
func (w *world) killed(ctx context.Context, p *process, random *rand.Rand, damage func(*process) error) error {
	if !p.busy.TryLock() {
		return nil
	}
	defer p.busy.Unlock()
	down := time.Duration(100+random.IntN(3000)) * time.Millisecond
	w.note("SIGKILL to %s for %s", p.name(), down)
	w.disturb(time.Now().Add(down), p.address())
	p.kill()
	if err := damage(p); err != nil {
		return err
	}
	pause(ctx, down)
	w.disturb(time.Now(), p.address())
	return p.start()
}

// paused stops a process for a while without its knowledge.
func (w *world) paused(ctx context.Context, p *process, random *rand.Rand) error {
	if !p.busy.TryLock() {
		return nil
	}
	defer p.busy.Unlock()
	asleep := time.Duration(300+random.IntN(4000)) * time.Millisecond
	w.note("%s is paused for %s", p.name(), asleep)
	w.disturb(time.Now().Add(asleep), p.address())
	p.signal(syscall.SIGSTOP, false)
	pause(ctx, asleep)
	p.signal(syscall.SIGCONT, false)
	w.disturb(time.Now(), p.address())
	return nil
}

// tearLog leaves the beginning of a record at the end of the log, as a loss of power
// during a write does.
func tearLog(p *process) error {
	file, err := os.OpenFile(filepath.Join(p.settings.DataFolder, "log"), os.O_APPEND|os.O_WRONLY, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil // Nothing has been written since the disk was lost.
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

// linkTrouble cuts a VM off, in one or both directions, or makes its links lossy or
// slow.
func linkTrouble(ctx context.Context, w *world, random *rand.Rand) error {
	victim := w.pick(random, w.balance[voters:], w.agents)
	faults := map[string]linkFault{
		"cut": {drop: 1}, "lossy": {drop: 0.3}, "slow": {delay: time.Duration(30+random.IntN(150)) * time.Millisecond},
	}
	names := []string{"cut", "lossy", "slow"}
	name := names[random.IntN(len(names))]
	ways := random.IntN(3)
	length := time.Duration(500+random.IntN(4000)) * time.Millisecond
	w.note("links of %s: %s, ways %d, for %s", victim.name(), name, ways, length)
	apply := func(f linkFault) {
		for _, p := range w.all {
			if ways != 1 {
				w.relay.set(victim.address(), p.address(), f)
			}
			if ways != 0 {
				w.relay.set(p.address(), victim.address(), f)
			}
		}
	}
	w.disturb(time.Now().Add(length), victim.address())
	apply(faults[name])
	pause(ctx, length)
	apply(linkFault{})
	w.disturb(time.Now(), victim.address())
	return nil
}

// upstreamAt returns the upstream beside an agent, if there is one.
func (w *world) upstreamAt(app netip.AddrPort) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[app]
}

// replaceUpstream ends an upstream in some way and starts another one in its place.
func (w *world) replaceUpstream(random *rand.Rand, end func(u *upstream)) error {
	agent := w.pick(random, w.agents)
	if !agent.busy.TryLock() {
		return nil
	}
	defer agent.busy.Unlock()
	u := w.upstreamAt(agent.settings.App)
	if u == nil {
		return nil
	}
	end(u)
	return w.startUpstream(agent, w.newID())
}

// crashUpstream ends an upstream without a word; the next one starts later.
func crashUpstream(ctx context.Context, w *world, random *rand.Rand) error {
	return w.replaceUpstream(random, func(u *upstream) {
		w.note("upstream %s crashes", u.id)
		u.crash()
		pause(ctx, time.Duration(random.IntN(2500))*time.Millisecond)
	})
}

// release drains an upstream before it ends.
func release(ctx context.Context, w *world, random *rand.Rand) error {
	return w.replaceUpstream(random, func(u *upstream) {
		w.note("upstream %s leaves", u.id)
		u.mu.Lock()
		u.leaving = true
		u.mu.Unlock()
		pause(ctx, drainTime+time.Duration(random.IntN(1500))*time.Millisecond)
		if err := u.call(ctx, http.MethodDelete, nil); err != nil && ctx.Err() == nil {
			w.note("the end of upstream %s was not acknowledged: %v", u.id, err)
		}
		u.crash()
	})
}
