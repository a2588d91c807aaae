package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

// base holds the parts that balancers and agents share: transport, membership,
// intent feed, and the view that is built from members and intent.
type base struct {
	cfg            Config
	transport      *transport
	membership     *membershipRunner
	intentFeed     *intentFeed
	operatorServer *rpc.Server
	methods        rpc.Methods
	onView         func(*view.View)

	startedAt time.Time
	// startupComplete is set when the node first reports healthy. It stays set, so
	// that a later loss of members does not take the node out of the fabric.
	startupComplete atomic.Bool

	mu              sync.Mutex
	builtView       *view.View
	rebuildRequests chan struct{}
}

func newBase(cfg Config, status view.Status, onView func(*view.View), methods rpc.Methods) (*base, error) {
	cfg.setDefaults()
	b := &base{cfg: cfg, methods: methods, onView: onView, startedAt: time.Now(), rebuildRequests: make(chan struct{}, 1)}
	if err := b.bindAddress(); err != nil {
		return nil, err
	}
	transport := b.transport
	b.membership = newMembershipRunner(transport.sealAndSend, &b.cfg, status, b.requestRebuild)
	var err error
	b.intentFeed, err = newIntentFeed(&b.cfg, b.requestRebuild)
	if err != nil {
		return nil, errors.Join(err, transport.link.Close(), b.operatorServer.Close())
	}
	b.buildView()
	return b, nil
}

// bindAttempts bounds how often another port is tried if the one that is free for
// UDP is in use for TCP.
const bindAttempts = 8

// bindAddress binds the address for frames over UDP and operators' requests over
// TCP. Without a configured port, both use the same free port.
func (b *base) bindAddress() error {
	var bindErrs error
	for range bindAttempts {
		transport, err := openTransport(&b.cfg)
		if err != nil {
			return fmt.Errorf("frame link: %w", err)
		}
		address := transport.link.Address()
		b.operatorServer, err = rpc.Listen(address.String(), b.cfg.ServerTLS, b.methods.Handler(), b.reportRejectedConnection)
		if err == nil {
			b.transport, b.cfg.Address = transport, address
			b.cfg.Log.WithField("address", address.String()).Info("listening")
			return nil
		}
		bindErrs = errors.Join(bindErrs, err, transport.link.Close())
		if b.cfg.Address.Port() != 0 {
			break
		}
	}
	return bindErrs
}

func (b *base) reportRejectedConnection(err error) {
	metrics.GetOrRegisterCounter("admin.rejected", b.cfg.Metrics).Inc(1)
	b.cfg.Log.WithError(err).Warn("operator connection rejected")
}

func (b *base) requestRebuild() {
	select {
	case b.rebuildRequests <- struct{}{}:
	default:
	}
}

// buildView builds a view from the applied intent and the current members and
// passes it to the core. Without an intent it does nothing.
func (b *base) buildView() {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.intentFeed.appliedState()
	if state.Revision == 0 {
		return
	}
	b.builtView = view.Build(state, b.membership.members(), b.builtView, time.Now())
	b.onView(b.builtView)
}

const (
	// minViewPause and maxViewPause bound the pause between two view builds while
	// many members change.
	minViewPause = 20 * time.Millisecond
	maxViewPause = 2 * time.Second
	// viewPauseFactor is the ratio of the pause to the duration of the last build.
	// It keeps view builds below 1.1 % of a core. At 6,600 members a build takes
	// 10 ms.
	viewPauseFactor = 90
)

// viewPause returns the pause after a build of the given duration.
func viewPause(build time.Duration) time.Duration {
	return min(max(minViewPause, viewPauseFactor*build), maxViewPause)
}

func (b *base) runViewBuilds(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.rebuildRequests:
		}
		started := time.Now()
		b.buildView()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(viewPause(time.Since(started))):
		}
	}
}

// startCommon runs the parts that balancers and agents share in the group until the
// context ends.
func (b *base) startCommon(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return b.operatorServer.Serve(ctx) })
	group.Go(func() error { <-ctx.Done(); return b.operatorServer.Close() })
	group.Go(func() error { return b.membership.run(ctx) })
	group.Go(func() error { return b.runViewBuilds(ctx) })
	if len(b.cfg.Control) > 0 {
		group.Go(func() error { return b.intentFeed.run(ctx) })
	}
}

// latestView returns the view that was built last, or nil.
func (b *base) latestView() *view.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.builtView
}

// ReadyMembers returns how many members of a service accept openings in the view of
// this node.
func (b *base) ReadyMembers(name service.Name) int {
	svc := b.latestView().ServiceByName(name)
	if svc == nil {
		return 0
	}
	ready := 0
	for i := range svc.Members {
		if svc.Members[i].AcceptsOpenings() {
			ready++
		}
	}
	return ready
}
