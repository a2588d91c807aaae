package node

import (
	"context"
	"net/netip"

	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Observer takes part in the membership without handling packets. A control VM
// runs one, so that joining processes find it.
type Observer struct {
	cfg       Config
	transport *transport
	liveness  *liveness
}

// NewObserver opens the frame link. Run must be called to start.
func NewObserver(cfg Config) (*Observer, error) {
	cfg.Role = vm.RoleControl
	cfg.setDefaults()
	o := &Observer{cfg: cfg}
	t, err := openTransport(&o.cfg)
	if err != nil {
		return nil, err
	}
	o.cfg.Address = t.link.Address()
	o.transport = t
	o.liveness = newLiveness(t.send, &o.cfg, view.Ready, func() {})
	return o, nil
}

// Address is where the observer receives gossip.
func (o *Observer) Address() netip.AddrPort { return o.cfg.Address }

// Members returns all known members.
func (o *Observer) Members() []view.Member { return o.liveness.members() }

// Run takes part until the context ends.
func (o *Observer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.transport.closeOn(ctx) })
	group.Go(func() error { return o.transport.receive(&observerReceiver{o}) })
	group.Go(func() error { return o.liveness.run(ctx) })
	return group.Wait()
}

type observerReceiver struct {
	o *Observer
}

func (r *observerReceiver) packet(*frame.Header, []byte) {
	r.o.transport.count("drop.unexpected_packet")
}

func (r *observerReceiver) message(netip.AddrPort, *peer.Message) {
	r.o.transport.count("drop.unexpected_message")
}

func (r *observerReceiver) gossip(from netip.AddrPort, body []byte) {
	r.o.liveness.handle(from, body)
}

func (r *observerReceiver) batchEnd() {}
