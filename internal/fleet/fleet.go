package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/node"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/standin"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/tun"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Fleet is a running deployment. Parts can be stopped and started one by one.
type Fleet struct {
	Plan   Plan
	Log    *logrus.Entry
	Tracer *telemetry.Tracer

	keys    *frame.Keys
	hasher  flow.Hasher
	fabric  *standin.Fabric
	control []string
	seeds   []netip.AddrPort

	mu        sync.Mutex
	tasks     map[vm.ID]*task
	balancers map[vm.ID]netip.AddrPort
	nodes     map[vm.ID]viewer
	servers   map[vm.ID]*standin.Upstream
}

// viewer is a node that decides on a view.
type viewer interface {
	ReadyMembers(name service.Name) int
	Counters() map[string]int64
}

// task is one part that runs until it is cancelled.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// New returns a fleet that is not started.
func New(plan Plan, log *logrus.Entry, tracer *telemetry.Tracer) *Fleet {
	secret := frame.Secret{K0: plan.Seed + 1, K1: plan.Seed + 2, MAC: [32]byte{1}}
	return &Fleet{
		Plan: plan, Log: log, Tracer: tracer,
		keys:   &frame.Keys{Current: 1, Secrets: map[uint8]frame.Secret{1: secret}},
		hasher: flow.Hasher{K0: plan.Seed + 3, K1: plan.Seed + 4},
		tasks:  map[vm.ID]*task{}, balancers: map[vm.ID]netip.AddrPort{},
		nodes: map[vm.ID]viewer{}, servers: map[vm.ID]*standin.Upstream{},
	}
}

// Start starts all parts. On an error the parts that run are stopped.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return errors.Join(err, f.Stop())
	}
	return nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startFabric(ctx); err != nil {
		return err
	}
	if err := f.startControl(ctx); err != nil {
		return err
	}
	for i := range f.Plan.Balancers {
		if err := f.StartBalancer(ctx, i); err != nil {
			return err
		}
	}
	n := 0
	for _, s := range f.Plan.Services {
		for j := range s.Upstreams {
			if err := f.startUpstream(ctx, s.Name, j, n); err != nil {
				return err
			}
			n++
		}
	}
	return nil
}

// run starts a part under a name.
func (f *Fleet) run(ctx context.Context, id vm.ID, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t := &task{cancel: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.tasks[id] = t
	f.mu.Unlock()
	go func() {
		defer close(t.done)
		t.err = run(ctx)
		if t.err != nil {
			f.Log.WithField("part", id).WithError(t.err).Error("part failed")
		}
	}()
}

// StopPart stops one part and waits for it.
func (f *Fleet) StopPart(id vm.ID) error {
	f.mu.Lock()
	t, ok := f.tasks[id]
	delete(f.tasks, id)
	delete(f.nodes, id)
	f.mu.Unlock()
	if !ok {
		return nil
	}
	t.cancel()
	<-t.done
	return t.err
}

// Stop stops all parts.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	ids := make([]vm.ID, 0, len(f.tasks))
	for id := range f.tasks {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	var all error
	for _, id := range ids {
		all = errors.Join(all, f.StopPart(id))
	}
	n := 0
	for _, s := range f.Plan.Services {
		for range s.Upstreams {
			all = errors.Join(all, tun.Remove(f.deviceName(n)))
			n++
		}
	}
	return all
}

func (f *Fleet) deviceName(agent int) string { return fmt.Sprintf("%s-a%d", f.Plan.Prefix, agent+1) }

func (f *Fleet) startFabric(ctx context.Context) error {
	routes := make([]netip.Prefix, 0, len(f.Plan.Services))
	for i := range f.Plan.Services {
		routes = append(routes, netip.PrefixFrom(f.Plan.virtual(i).Addr(), 32))
	}
	device, err := tun.Open(tun.Config{
		Name: f.Plan.Prefix + "-fabric", MTU: 1500, Routes: routes,
		Addresses: []netip.Prefix{netip.PrefixFrom(f.Plan.callerAddress(), 32)},
	})
	if err != nil {
		return err
	}
	f.fabric, err = standin.NewFabric(device, netip.MustParseAddrPort("127.0.0.1:0"), f.Plan.Seed)
	if err != nil {
		return errors.Join(err, device.Close())
	}
	f.run(ctx, "fabric", f.fabric.Run)
	return nil
}

// nodeConfig returns the settings that all nodes share.
func (f *Fleet) nodeConfig(id vm.ID, zone int) node.Config {
	return node.Config{
		VM: id, Zone: f.Plan.zone(zone), Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Control: f.control, Seeds: f.seeds, Keys: f.keys, Hasher: f.hasher, Seed: f.Plan.Seed + uint64(len(f.tasks)),
		Log: f.Log.WithField("vm", string(id)), Metrics: metrics.NewRegistry(), Tracer: f.Tracer, TraceEvery: f.Plan.TraceEvery,
	}
}

// Control returns the addresses of the control replicas.
func (f *Fleet) Control() []string { return f.control }

// VirtualAddress returns where callers reach a service.
func (f *Fleet) VirtualAddress(name service.Name) netip.AddrPort {
	for i, s := range f.Plan.Services {
		if s.Name == name {
			return f.Plan.virtual(i)
		}
	}
	return netip.AddrPort{}
}

// Served returns how many requests the server of an upstream has answered.
func (f *Fleet) Served(id vm.ID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		return s.Served()
	}
	return 0
}

// settleInterval is how often WaitReady looks.
const settleInterval = 50 * time.Millisecond

// WaitReady waits until every node sees all members of all services.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the fleet is not ready: %w", ctx.Err())
		case <-time.After(settleInterval):
		}
	}
}

func (f *Fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for _, s := range f.Plan.Services {
			if n.ReadyMembers(s.Name) < s.Upstreams {
				return false
			}
		}
	}
	return true
}

// Counters returns the counters of every node that runs.
func (f *Fleet) Counters() map[vm.ID]map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[vm.ID]map[string]int64, len(f.nodes))
	for id, n := range f.nodes {
		all[id] = n.Counters()
	}
	return all
}
