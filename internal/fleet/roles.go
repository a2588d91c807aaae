package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/node"
	"bramleyhold.example/bramleyhold/internal/probe"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/standin"
	"bramleyhold.example/bramleyhold/internal/tun"
	"bramleyhold.example/bramleyhold/internal/udplink"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func (f *Fleet) startControl(ctx context.Context) error {
	addresses := map[vm.ID]string{}
	for i := range f.Plan.Control {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[controlName(i)] = address
		f.control = append(f.control, address)
	}
	for i := range f.Plan.Control {
		if err := f.startReplica(ctx, i, addresses); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	return l.Addr().String(), l.Close()
}

func (f *Fleet) startReplica(ctx context.Context, n int, peers map[vm.ID]string) error {
	id := controlName(n)
	files, err := logstore.OpenFolder(filepath.Join(f.Plan.Folder, string(id)))
	if err != nil {
		return err
	}
	observer, err := node.NewObserver(f.nodeConfig(id, n))
	if err != nil {
		return errors.Join(err, files.Close())
	}
	f.seeds = append(f.seeds, observer.Address())
	server, err := control.New(control.Options{
		VM: id, Listen: peers[id], Peers: peers, Files: files, Members: observer.Members,
		Log: f.Log.WithField("vm", string(id)), Registry: metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	f.run(ctx, id, server.Run)
	f.run(ctx, id+"-members", observer.Run)
	return nil
}

// StartBalancer starts the balancer with a number.
func (f *Fleet) StartBalancer(ctx context.Context, n int) error {
	id := balancerName(n)
	packets, err := udplink.OpenPackets(netip.MustParseAddrPort("127.0.0.1:0"), f.fabric.Address())
	if err != nil {
		return err
	}
	b, err := node.NewBalancer(f.nodeConfig(id, n), packets)
	if err != nil {
		return errors.Join(err, packets.Close())
	}
	f.mu.Lock()
	f.nodes[id] = b
	f.mu.Unlock()
	f.run(ctx, id, func(ctx context.Context) error {
		go f.joinFabric(ctx, id, b, packets.Address())
		return b.Run(ctx)
	})
	return nil
}

// joinFabric adds a balancer to the fabric when it is healthy, as the health
// check of a fabric does.
func (f *Fleet) joinFabric(ctx context.Context, id vm.ID, b *node.Balancer, address netip.AddrPort) {
	for !b.Health().Healthy {
		select {
		case <-ctx.Done():
			return
		case <-time.After(settleInterval):
		}
	}
	f.setBalancer(id, address)
}

// StopBalancer takes a balancer out of the fabric and stops it.
func (f *Fleet) StopBalancer(n int) error {
	f.setBalancer(balancerName(n), netip.AddrPort{})
	return f.StopPart(balancerName(n))
}

func (f *Fleet) setBalancer(id vm.ID, address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers[id] = address
	if !address.IsValid() {
		delete(f.balancers, id)
	}
	list := make([]netip.AddrPort, 0, len(f.balancers))
	for i := range f.Plan.Balancers {
		if a, ok := f.balancers[balancerName(i)]; ok {
			list = append(list, a)
		}
	}
	f.fabric.SetBalancers(list)
}

func (f *Fleet) startUpstream(ctx context.Context, s service.Name, index, n int) error {
	if err := f.StartAgent(ctx, s, index, n); err != nil {
		return err
	}
	id := upstreamName(s, index)
	address := netip.AddrPortFrom(f.Plan.serverAddress(n), upstreamPort)
	server, err := standin.NewUpstream(id, address.String(), f.slots(s))
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.servers[id] = server
	f.mu.Unlock()
	f.run(ctx, id+"-server", server.Run)
	return nil
}

func (f *Fleet) slots(name service.Name) int {
	for _, s := range f.Plan.Services {
		if s.Name == name {
			return s.Slots
		}
	}
	return 0
}

// StartAgent starts the agent of an upstream; n counts all upstreams.
func (f *Fleet) StartAgent(ctx context.Context, s service.Name, index, n int) error {
	id := upstreamName(s, index)
	device, err := tun.Open(tun.Config{
		Name: f.deviceName(n), MTU: 1500, Persistent: true,
		Addresses: []netip.Prefix{netip.PrefixFrom(f.Plan.serverAddress(n), 32)},
		Routes:    []netip.Prefix{f.Plan.aliases(n)},
	})
	if err != nil {
		return err
	}
	cfg := node.AgentConfig{
		Config: f.nodeConfig(id, index), Aliases: f.Plan.aliases(n),
		Upstream: netip.AddrPortFrom(f.Plan.serverAddress(n), upstreamPort),
		Prober:   probe.NewHTTP(fmt.Sprintf("http://%s:%d/health", f.Plan.serverAddress(n), upstreamPort)),
	}
	cfg.Service = s
	a, err := node.NewAgent(cfg, device)
	if err != nil {
		return errors.Join(err, device.Close())
	}
	f.mu.Lock()
	f.nodes[id] = a
	f.mu.Unlock()
	f.run(ctx, id, a.Run)
	return nil
}
