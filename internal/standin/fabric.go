// Package standin provides stand-ins for what surrounds the load balancer: the
// fabric, which distributes packets to balancers, and upstream servers. They are
// for development and tests only.
package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"

	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/udplink"
)

// PacketDevice is a network device that delivers packets of callers and accepts
// packets for them.
type PacketDevice interface {
	ReadPacket(b []byte) (int, error)
	WritePacket(b []byte) error
	Close() error
}

const maxPacketBytes = 65_536

// Fabric sends each packet of a caller to a random balancer.
type Fabric struct {
	device PacketDevice
	link   *udplink.Link
	random *rand.Rand

	mu        sync.Mutex
	balancers []netip.AddrPort
}

// NewFabric returns a fabric without balancers. Until SetBalancers adds some, it
// drops all packets of callers.
func NewFabric(device PacketDevice, address netip.AddrPort, seed uint64) (*Fabric, error) {
	link, err := udplink.Open(address)
	if err != nil {
		return nil, err
	}
	return &Fabric{device: device, link: link, random: rand.New(rand.NewPCG(seed, 0))}, nil
}

// Address returns the address to which balancers send packets for callers.
func (f *Fabric) Address() netip.AddrPort { return f.link.Address() }

// SetBalancers replaces the packet addresses of the balancers.
func (f *Fabric) SetBalancers(addresses []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), addresses...)
}

// Run forwards packets in both directions until the context is done.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(f.link.Close(), f.device.Close())
	})
	group.Go(f.forwardToBalancers)
	group.Go(f.forwardToCallers)
	return group.Wait()
}

func (f *Fabric) forwardToBalancers() error {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, err := f.device.ReadPacket(buffer)
		if errors.Is(err, os.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("fabric: read packet: %w", err)
		}
		if balancer, ok := f.randomBalancer(); ok {
			// A packet that cannot be sent is lost, as on any network.
			_ = f.link.Send(buffer[:n], balancer)
		}
	}
}

func (f *Fabric) randomBalancer() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))], true
}

func (f *Fabric) forwardToCallers() error {
	batch := udplink.NewBatch()
	for {
		err := f.link.Receive(batch)
		if udplink.Closed(err) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("fabric: receive: %w", err)
		}
		for i := range batch.Len() {
			_ = f.device.WritePacket(batch.Datagram(i))
		}
	}
}
