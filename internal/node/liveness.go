package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/view"
)

// liveness runs the membership of one process over the transport.
type liveness struct {
	transport *transport
	cfg       *Config
	changed   func()

	mu      sync.Mutex
	node    *membership.Node
	changes uint64
}

func newLiveness(t *transport, cfg *Config, status view.Status, changed func()) *liveness {
	self := view.Member{
		VM: cfg.VM, Role: cfg.Role, Zone: cfg.Zone, Service: cfg.Service,
		Address: cfg.Address, Incarnation: cfg.Incarnation, Status: status,
	}
	source := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation)))
	return &liveness{
		transport: t, cfg: cfg, changed: changed,
		node: membership.New(membership.Config{Self: self, Seeds: cfg.Seeds, Rand: source}),
	}
}

func (l *liveness) run(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		l.do(func(now time.Time) membership.Output { return l.node.Tick(now) })
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// do runs one step and carries out its output.
func (l *liveness) do(step func(now time.Time) membership.Output) {
	l.mu.Lock()
	output := step(time.Now())
	changes := l.node.Changes()
	changed := changes != l.changes
	l.changes = changes
	l.mu.Unlock()
	for _, s := range output.Sends {
		l.transport.send(frame.KindGossip, s.To, s.Body)
	}
	for _, e := range output.Events {
		l.report(&e)
	}
	if changed {
		l.changed()
	}
}

// report records a change of the membership. The log gets only what operators
// look into; joins and renewals of a large fleet would fill it.
func (l *liveness) report(e *membership.Event) {
	l.cfg.Events.Add(event.Event{At: time.Now(), Kind: event.Kind("member_" + e.Kind), Object: string(e.VM), Reason: e.Reason})
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

func (l *liveness) handle(from netip.AddrPort, body []byte) {
	l.do(func(now time.Time) membership.Output { return l.node.Handle(now, from, body) })
}

// announce changes the own status.
func (l *liveness) announce(status view.Status) {
	l.do(func(now time.Time) membership.Output {
		self := l.node.Self()
		self.Status = status
		return l.node.Announce(now, self)
	})
}

func (l *liveness) members() []view.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Members()
}
