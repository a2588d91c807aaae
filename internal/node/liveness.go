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

// learnPeriod is how long after its start a process takes a later incarnation of
// its VM for that of its predecessor. A young process repairs its records each
// second for 30 s.
const learnPeriod = 30 * time.Second

// SupersededError reports that a successor on the same VM has taken over.
type SupersededError struct {
	VM         vm.ID
	Own, Later vm.Incarnation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("%s: a successor with incarnation %d has taken over from this process (incarnation %d)", e.VM, e.Later, e.Own)
}

// liveness runs the membership of one process over the transport.
type liveness struct {
	send    func(kind frame.Kind, to netip.AddrPort, body []byte)
	cfg     *Config
	changed func()
	now     func() time.Time
	started time.Time
	// renewable: a greater incarnation is announced here. Otherwise the owner
	// asks for it with pendingIncarnation and calls renew.
	renewable bool
	// superseded gets the reason to stop.
	superseded chan error

	mu      sync.Mutex
	node    *membership.Node
	changes uint64
	pending vm.Incarnation
}

func newLiveness(send func(frame.Kind, netip.AddrPort, []byte), cfg *Config, status view.Status, changed func()) *liveness {
	self := view.Member{
		VM: cfg.VM, Role: cfg.Role, Zone: cfg.Zone, Service: cfg.Service,
		Address: cfg.Address, Incarnation: cfg.Incarnation, Status: status,
	}
	source := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation)))
	return &liveness{
		send: send, cfg: cfg, changed: changed, now: time.Now, started: time.Now(), renewable: true,
		superseded: make(chan error, 1),
		node:       membership.New(membership.Config{Self: self, Seeds: cfg.Seeds, Rand: source}),
	}
}

// run takes part until the context ends or a successor has taken over.
func (l *liveness) run(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		l.tick()
		select {
		case <-ctx.Done():
			return nil
		case err := <-l.superseded:
			return err
		case <-ticker.C:
		}
	}
}

func (l *liveness) tick() {
	l.do(func(now time.Time) membership.Output { return l.node.Tick(now) })
}

// do runs one step and carries out its output.
func (l *liveness) do(step func(now time.Time) membership.Output) {
	l.mu.Lock()
	now := l.now()
	output := step(now)
	changes := l.node.Changes()
	changed := changes != l.changes
	l.changes = changes
	l.mu.Unlock()
	for _, s := range output.Sends {
		l.send(frame.KindGossip, s.To, s.Body)
	}
	for _, e := range output.Events {
		l.report(now, &e)
		if e.Kind == membership.Superseded {
			l.takeSuperseded(now, e.Incarnation)
		}
	}
	if changed {
		l.changed()
	}
}

// report records a change of the membership. The log gets only what operators
// look into; joins and renewals of a large fleet would fill it.
func (l *liveness) report(now time.Time, e *membership.Event) {
	l.cfg.Events.Add(event.Event{At: now, Kind: event.Kind("member_" + e.Kind), Object: string(e.VM), Reason: e.Reason})
	level := logrus.DebugLevel
	switch e.Kind {
	case membership.Suspected, membership.Failed, membership.ZoneLost:
		level = logrus.WarnLevel
	case membership.Superseded:
		level = logrus.ErrorLevel
	case membership.Refuted, membership.ZoneReturned, membership.Left:
		level = logrus.InfoLevel
	}
	l.cfg.Log.WithFields(logrus.Fields{
		"change": string(e.Kind), "member": string(e.VM), "incarnation": uint64(e.Incarnation), "zone": e.Zone.String(), "reason": e.Reason,
	}).Log(level, "membership changed")
}

// takeSuperseded decides whose the later incarnation is. A process that has just
// started is the successor although its clock is behind that of its predecessor,
// and announces a greater incarnation. An older process stops. If it is wrong
// because it learned too late, it is started again and then learns in time.
func (l *liveness) takeSuperseded(now time.Time, later vm.Incarnation) {
	if now.Sub(l.started) >= learnPeriod {
		select {
		case l.superseded <- &SupersededError{VM: l.cfg.VM, Own: l.self().Incarnation, Later: later}:
		default:
		}
		return
	}
	l.cfg.Log.WithField("incarnation", later+1).Warn("the clock is behind that of the predecessor; a greater incarnation is announced")
	if l.renewable {
		l.renew(later+1, l.self().Status)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = max(l.pending, later+1)
}

// pendingIncarnation returns the incarnation to be announced, or 0.
func (l *liveness) pendingIncarnation() vm.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending
}

// renew announces a greater incarnation.
func (l *liveness) renew(incarnation vm.Incarnation, status view.Status) {
	l.do(func(now time.Time) membership.Output {
		if l.pending <= incarnation {
			l.pending = 0
		}
		self := l.node.Self()
		self.Incarnation, self.Status = incarnation, status
		return l.node.Announce(now, self)
	})
}

func (l *liveness) handle(from netip.AddrPort, body []byte) {
	l.do(func(now time.Time) membership.Output { return l.node.Handle(now, from, body) })
}

// announceUpstream changes the own status and the end of the slow start.
func (l *liveness) announceUpstream(status view.Status, coldUntil time.Time) {
	l.do(func(now time.Time) membership.Output {
		self := l.node.Self()
		self.Status, self.WarmUpUntil = status, coldUntil
		return l.node.Announce(now, self)
	})
}

// announce changes the own status.
func (l *liveness) announce(status view.Status) {
	l.do(func(now time.Time) membership.Output {
		self := l.node.Self()
		self.Status = status
		return l.node.Announce(now, self)
	})
}

// self returns the own announcement.
func (l *liveness) self() view.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Self()
}

func (l *liveness) members() []view.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Members()
}
