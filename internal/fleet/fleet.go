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

// Fleet is a deployment in this process. Its components can be stopped and started
// separately.
type Fleet struct {
	Plan   Plan
	Log    *logrus.Entry
	Tracer *telemetry.Tracer

	frameKeys        *frame.Keys
	hasher           flow.Hasher
	fabric           *standin.Fabric
	controlAddresses []string
	gossipSeeds      []netip.AddrPort

	mu         sync.Mutex
	components map[vm.ID]*component
	// packetAddresses holds the packet address of each balancer that the fabric
	// sends packets to.
	packetAddresses map[vm.ID]netip.AddrPort
	nodes           map[vm.ID]serviceNode
	upstreamServers map[vm.ID]*standin.Upstream
}

// serviceNode is a balancer or an agent.
type serviceNode interface {
	ReadyMembers(name service.Name) int
	Counters() map[string]int64
}

// component is one part of the fleet that runs until it is cancelled.
type component struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// New returns a fleet. Start starts it.
func New(plan Plan, log *logrus.Entry, tracer *telemetry.Tracer) *Fleet {
	secret := frame.Secret{K0: plan.Seed + 1, K1: plan.Seed + 2, MAC: [32]byte{1}}
	return &Fleet{
		Plan: plan, Log: log, Tracer: tracer,
		frameKeys:  &frame.Keys{Current: 1, Secrets: map[uint8]frame.Secret{1: secret}},
		hasher:     flow.Hasher{K0: plan.Seed + 3, K1: plan.Seed + 4},
		components: map[vm.ID]*component{}, packetAddresses: map[vm.ID]netip.AddrPort{},
		nodes: map[vm.ID]serviceNode{}, upstreamServers: map[vm.ID]*standin.Upstream{},
	}
}

// Start starts all components. On an error it stops the running ones.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.startAll(ctx); err != nil {
		return errors.Join(err, f.Stop())
	}
	return nil
}

func (f *Fleet) startAll(ctx context.Context) error {
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
	upstreamNumber := 0
	for _, s := range f.Plan.Services {
		for j := range s.Upstreams {
			if err := f.startUpstreamWithAgent(ctx, s.Name, j, upstreamNumber); err != nil {
				return err
			}
			upstreamNumber++
		}
	}
	return nil
}

// startComponent runs a component in the background under an ID.
func (f *Fleet) startComponent(ctx context.Context, id vm.ID, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	started := &component{cancel: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.components[id] = started
	f.mu.Unlock()
	go func() {
		defer close(started.done)
		started.err = run(ctx)
		if started.err != nil {
			f.Log.WithField("part", id).WithError(started.err).Error("component failed")
		}
	}()
}

// StopComponent stops one component and waits until it has ended.
func (f *Fleet) StopComponent(id vm.ID) error {
	f.mu.Lock()
	stopping, ok := f.components[id]
	delete(f.components, id)
	delete(f.nodes, id)
	f.mu.Unlock()
	if !ok {
		return nil
	}
	stopping.cancel()
	<-stopping.done
	return stopping.err
}

// Stop stops all components and removes the TUN devices of the agents.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	ids := make([]vm.ID, 0, len(f.components))
	for id := range f.components {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	var errs error
	for _, id := range ids {
		errs = errors.Join(errs, f.StopComponent(id))
	}
	upstreamNumber := 0
	for _, s := range f.Plan.Services {
		for range s.Upstreams {
			errs = errors.Join(errs, tun.Remove(f.deviceName(upstreamNumber)))
			upstreamNumber++
		}
	}
	return errs
}

func (f *Fleet) deviceName(upstreamNumber int) string {
	return fmt.Sprintf("%s-a%d", f.Plan.Prefix, upstreamNumber+1)
}

func (f *Fleet) startFabric(ctx context.Context) error {
	routes := make([]netip.Prefix, 0, len(f.Plan.Services))
	for i := range f.Plan.Services {
		routes = append(routes, netip.PrefixFrom(f.Plan.virtualAddress(i).Addr(), 32))
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
	f.startComponent(ctx, "fabric", f.fabric.Run)
	return nil
}

// nodeConfig returns the settings that balancers, agents and observers have in
// common.
func (f *Fleet) nodeConfig(id vm.ID, zoneNumber int) node.Config {
	return node.Config{
		VM: id, Zone: f.Plan.zoneOf(zoneNumber), Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Control: f.controlAddresses, Seeds: f.gossipSeeds, Keys: f.frameKeys, Hasher: f.hasher, Seed: f.Plan.Seed + uint64(len(f.components)),
		Log: f.Log.WithField("vm", string(id)), Metrics: metrics.NewRegistry(), Tracer: f.Tracer, TraceEvery: f.Plan.TraceEvery,
	}
}

// ControlAddresses returns the addresses of the control replicas.
func (f *Fleet) ControlAddresses() []string { return f.controlAddresses }

// VirtualAddress returns the address on which callers reach a service.
func (f *Fleet) VirtualAddress(name service.Name) netip.AddrPort {
	for i, s := range f.Plan.Services {
		if s.Name == name {
			return f.Plan.virtualAddress(i)
		}
	}
	return netip.AddrPort{}
}

// ServedRequests returns the number of requests to which the server of an upstream
// has responded.
func (f *Fleet) ServedRequests(id vm.ID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.upstreamServers[id]; ok {
		return s.CompletedRequests()
	}
	return 0
}

// readinessPollInterval is the time between two checks of a condition that the
// fleet waits for.
const readinessPollInterval = 50 * time.Millisecond

// WaitReady waits until every balancer and agent has all upstreams of all services
// as ready members.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		if f.allNodesReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the fleet is not ready: %w", ctx.Err())
		case <-time.After(readinessPollInterval):
		}
	}
}

func (f *Fleet) allNodesReady() bool {
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

// Counters returns the counters of every running balancer and agent.
func (f *Fleet) Counters() map[vm.ID]map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	counters := make(map[vm.ID]map[string]int64, len(f.nodes))
	for id, n := range f.nodes {
		counters[id] = n.Counters()
	}
	return counters
}
