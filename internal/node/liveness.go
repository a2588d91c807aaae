package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// successorWindow is how long after its start a process treats a later incarnation
// of its VM as its predecessor, whose clock was ahead. In the first 30 s after its
// start, a process repairs its membership records every second.
const successorWindow = 30 * time.Second

// SupersededError reports that a successor of this process runs on the same VM.
type SupersededError struct {
	VM                                   vm.ID
	OwnIncarnation, SuccessorIncarnation vm.Incarnation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("%s: a successor with incarnation %d has taken over from this process (incarnation %d)", e.VM, e.SuccessorIncarnation, e.OwnIncarnation)
}

// membershipRunner runs the membership protocol of one process over the transport.
type membershipRunner struct {
	send      func(kind frame.Kind, to netip.AddrPort, body []byte)
	cfg       *Config
	onChange  func()
	now       func() time.Time
	startedAt time.Time
	// announcesIncarnations makes the runner announce a greater incarnation itself
	// when one is needed. Otherwise its owner polls pendingIncarnation and calls
	// announceIncarnation.
	announcesIncarnations bool
	// stopReason receives a *SupersededError when the process has to stop.
	stopReason chan error

	mu              sync.Mutex
	node            *membership.Node
	lastChangeCount uint64
	nextIncarnation vm.Incarnation
}

func newMembershipRunner(send func(frame.Kind, netip.AddrPort, []byte), cfg *Config, status view.Status, onChange func()) *membershipRunner {
	self := view.Member{
		VM: cfg.VM, Role: cfg.Role, Zone: cfg.Zone, Service: cfg.Service,
		Address: cfg.Address, Incarnation: cfg.Incarnation, Status: status,
	}
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation)))
	return &membershipRunner{
		send: send, cfg: cfg, onChange: onChange, now: time.Now, startedAt: time.Now(), announcesIncarnations: true,
		stopReason: make(chan error, 1),
		node:       membership.New(membership.Config{Self: self, Seeds: cfg.Seeds, Rand: random}),
	}
}

// run takes part in the membership until the context ends or a successor supersedes
// this process.
func (r *membershipRunner) run(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		r.tick()
		select {
		case <-ctx.Done():
			return nil
		case err := <-r.stopReason:
			return err
		case <-ticker.C:
		}
	}
}

func (r *membershipRunner) tick() {
	r.step(func(now time.Time) membership.Output { return r.node.Tick(now) })
}

// step advances the membership node, sends its messages and records its events.
func (r *membershipRunner) step(advance func(now time.Time) membership.Output) {
	r.mu.Lock()
	now := r.now()
	output := advance(now)
	changeCount := r.node.ChangeCount()
	membersChanged := changeCount != r.lastChangeCount
	r.lastChangeCount = changeCount
	r.mu.Unlock()
	for _, message := range output.Messages {
		r.send(frame.KindGossip, message.To, message.Body)
	}
	for _, e := range output.Events {
		r.recordEvent(now, &e)
		if e.Kind == membership.OwnVMSuperseded {
			r.handleSuperseded(now, e.Incarnation)
		}
	}
	if membersChanged {
		r.onChange()
	}
}

// recordEvent adds a membership change to the events and logs it. Changes that
// operators do not have to look into are logged at debug level. Otherwise the joins
// and updates of a large fleet would fill the log.
func (r *membershipRunner) recordEvent(now time.Time, e *membership.Event) {
	r.cfg.Events.Add(event.Event{At: now, Kind: event.Kind("member_" + e.Kind), Object: string(e.VM), Reason: e.Reason})
	level := logrus.DebugLevel
	switch e.Kind {
	case membership.Suspected, membership.Failed, membership.ZoneLost:
		level = logrus.WarnLevel
	case membership.OwnVMSuperseded:
		level = logrus.ErrorLevel
	case membership.Refuted, membership.ZoneReturned, membership.Left:
		level = logrus.InfoLevel
	}
	r.cfg.Log.WithFields(logrus.Fields{
		"change": string(e.Kind), "member": string(e.VM), "incarnation": uint64(e.Incarnation), "zone": e.Zone.String(), "reason": e.Reason,
	}).Log(level, "membership changed")
}

// handleSuperseded handles a later incarnation of this VM. Within successorWindow
// after its start, this process counts as the successor of a process whose clock was
// ahead. It then announces a greater incarnation. After that time, this process
// counts as the predecessor and stops.
//
// A successor that receives the later incarnation only after successorWindow stops
// too. It is started again and then receives that incarnation in time.
func (r *membershipRunner) handleSuperseded(now time.Time, successor vm.Incarnation) {
	if now.Sub(r.startedAt) >= successorWindow {
		select {
		case r.stopReason <- &SupersededError{VM: r.cfg.VM, OwnIncarnation: r.ownMember().Incarnation, SuccessorIncarnation: successor}:
		default:
		}
		return
	}
	r.cfg.Log.WithField("incarnation", successor+1).Warn("clock is behind that of the predecessor; announcing a greater incarnation")
	if r.announcesIncarnations {
		r.announceIncarnation(successor+1, r.ownMember().Status)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextIncarnation = max(r.nextIncarnation, successor+1)
}

// pendingIncarnation returns the incarnation that the owner has to announce, or 0.
func (r *membershipRunner) pendingIncarnation() vm.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextIncarnation
}

// announceIncarnation announces a greater incarnation and a status of this process.
func (r *membershipRunner) announceIncarnation(incarnation vm.Incarnation, status view.Status) {
	r.step(func(now time.Time) membership.Output {
		if r.nextIncarnation <= incarnation {
			r.nextIncarnation = 0
		}
		self := r.node.Self()
		self.Incarnation, self.Status = incarnation, status
		return r.node.Announce(now, self)
	})
}

func (r *membershipRunner) handleGossip(from netip.AddrPort, body []byte) {
	r.step(func(now time.Time) membership.Output { return r.node.Handle(now, from, body) })
}

// announceUpstreamStatus announces the status of this process and the end of the
// warm-up of its upstream.
func (r *membershipRunner) announceUpstreamStatus(status view.Status, warmUpUntil time.Time) {
	r.step(func(now time.Time) membership.Output {
		self := r.node.Self()
		self.Status, self.WarmUpUntil = status, warmUpUntil
		return r.node.Announce(now, self)
	})
}

// announceStatus announces the status of this process.
func (r *membershipRunner) announceStatus(status view.Status) {
	r.step(func(now time.Time) membership.Output {
		self := r.node.Self()
		self.Status = status
		return r.node.Announce(now, self)
	})
}

// ownMember returns the member that this process announces.
func (r *membershipRunner) ownMember() view.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Self()
}

func (r *membershipRunner) members() []view.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Members()
}
