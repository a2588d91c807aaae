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

// Observer takes part in the membership without handling packets. Each control VM
// runs one as a seed for processes that join.
type Observer struct {
	cfg        Config
	transport  *transport
	membership *membershipRunner
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
	o.membership = newMembershipRunner(t.sealAndSend, &o.cfg, view.Ready, func() {})
	return o, nil
}

// Address is where the observer receives gossip.
func (o *Observer) Address() netip.AddrPort { return o.cfg.Address }

// Members returns all members in the membership records.
func (o *Observer) Members() []view.Member { return o.membership.members() }

// Run takes part in the membership until the context ends.
func (o *Observer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.transport.closeWhenDone(ctx) })
	group.Go(func() error { return o.transport.receiveFrames(&observerFrameHandler{o}) })
	group.Go(func() error { return o.membership.run(ctx) })
	return group.Wait()
}

type observerFrameHandler struct {
	observer *Observer
}

func (r *observerFrameHandler) handlePacket(*frame.Header, []byte) {
	r.observer.transport.incrementCounter("drop.unexpected_packet")
}

func (r *observerFrameHandler) handlePeerMessage(netip.AddrPort, *peer.Message) {
	r.observer.transport.incrementCounter("drop.unexpected_message")
}

func (r *observerFrameHandler) handleGossip(from netip.AddrPort, body []byte) {
	r.observer.membership.handleGossip(from, body)
}

func (r *observerFrameHandler) finishBatch() {}
