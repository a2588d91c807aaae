package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/loopback"
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
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		addresses[controlName(i)] = address.String()
		f.controlAddresses = append(f.controlAddresses, address.String())
	}
	for i := range f.Plan.Control {
		if err := f.startControlReplica(ctx, i, addresses); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startControlReplica(ctx context.Context, number int, peers map[vm.ID]string) error {
	id := controlName(number)
	files, err := logstore.OpenFolder(filepath.Join(f.Plan.Folder, string(id)))
	if err != nil {
		return err
	}
	observer, err := node.NewObserver(f.nodeConfig(id, number))
	if err != nil {
		return errors.Join(err, files.Close())
	}
	f.gossipSeeds = append(f.gossipSeeds, observer.Address())
	server, err := control.New(control.Options{
		VM: id, Listen: peers[id], InitialPeers: peers, Files: files, Members: observer.Members,
		Log: f.Log.WithField("vm", string(id)), Registry: metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	f.startComponent(ctx, id, server.Run)
	f.startComponent(ctx, id+"-members", observer.Run)
	return nil
}

// StartBalancer starts the balancer with the given number, counted from 0.
func (f *Fleet) StartBalancer(ctx context.Context, number int) error {
	id := balancerName(number)
	packetLink, err := udplink.OpenPackets(netip.MustParseAddrPort("127.0.0.1:0"), f.fabric.Address())
	if err != nil {
		return err
	}
	balancer, err := node.NewBalancer(f.nodeConfig(id, number), packetLink)
	if err != nil {
		return errors.Join(err, packetLink.Close())
	}
	f.mu.Lock()
	f.nodes[id] = balancer
	f.mu.Unlock()
	f.startComponent(ctx, id, func(ctx context.Context) error {
		go f.addToFabricWhenHealthy(ctx, id, balancer, packetLink.Address())
		return balancer.Run(ctx)
	})
	return nil
}

// addToFabricWhenHealthy waits until a balancer is healthy and then adds it to the
// fabric. It stands in for the health check of a real fabric.
func (f *Fleet) addToFabricWhenHealthy(ctx context.Context, id vm.ID, balancer *node.Balancer, address netip.AddrPort) {
	for !balancer.Health().Healthy {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readinessPollInterval):
		}
	}
	f.setPacketAddress(id, address)
}

// StopBalancer removes a balancer from the fabric and stops it.
func (f *Fleet) StopBalancer(number int) error {
	f.setPacketAddress(balancerName(number), netip.AddrPort{})
	return f.StopComponent(balancerName(number))
}

// setPacketAddress makes the fabric send packets to a balancer. An invalid address
// removes the balancer.
func (f *Fleet) setPacketAddress(id vm.ID, address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.packetAddresses[id] = address
	if !address.IsValid() {
		delete(f.packetAddresses, id)
	}
	addresses := make([]netip.AddrPort, 0, len(f.packetAddresses))
	for i := range f.Plan.Balancers {
		if a, ok := f.packetAddresses[balancerName(i)]; ok {
			addresses = append(addresses, a)
		}
	}
	f.fabric.SetBalancers(addresses)
}

func (f *Fleet) startUpstreamWithAgent(ctx context.Context, serviceName service.Name, index, upstreamNumber int) error {
	if err := f.StartAgent(ctx, serviceName, index, upstreamNumber); err != nil {
		return err
	}
	id := upstreamName(serviceName, index)
	address := netip.AddrPortFrom(f.Plan.serverAddress(upstreamNumber), upstreamPort)
	server, err := standin.NewUpstream(id, address.String(), f.slotsOf(serviceName))
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.upstreamServers[id] = server
	f.mu.Unlock()
	f.startComponent(ctx, id+"-server", server.Run)
	return nil
}

func (f *Fleet) slotsOf(name service.Name) int {
	for _, s := range f.Plan.Services {
		if s.Name == name {
			return s.Slots
		}
	}
	return 0
}

// StartAgent starts the agent of an upstream. index counts the upstreams of the
// service, and upstreamNumber those of all services, both from 0.
func (f *Fleet) StartAgent(ctx context.Context, serviceName service.Name, index, upstreamNumber int) error {
	id := upstreamName(serviceName, index)
	device, err := tun.Open(tun.Config{
		Name: f.deviceName(upstreamNumber), MTU: 1500, Persistent: true,
		Addresses: []netip.Prefix{netip.PrefixFrom(f.Plan.serverAddress(upstreamNumber), 32)},
		Routes:    []netip.Prefix{f.Plan.aliasPrefix(upstreamNumber)},
	})
	if err != nil {
		return err
	}
	config := node.AgentConfig{
		Config: f.nodeConfig(id, index), Aliases: f.Plan.aliasPrefix(upstreamNumber),
		Upstream: netip.AddrPortFrom(f.Plan.serverAddress(upstreamNumber), upstreamPort),
		Prober:   probe.NewHTTP(fmt.Sprintf("http://%s:%d/health", f.Plan.serverAddress(upstreamNumber), upstreamPort)),
	}
	config.Service = serviceName
	agent, err := node.NewAgent(config, device)
	if err != nil {
		return errors.Join(err, device.Close())
	}
	f.mu.Lock()
	f.nodes[id] = agent
	f.mu.Unlock()
	f.startComponent(ctx, id, agent.Run)
	return nil
}
