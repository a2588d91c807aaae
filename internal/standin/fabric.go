// Package standin holds small stand-ins for what surrounds the load balancer:
// the fabric that hands packets to balancers, and upstream servers. They serve
// development and tests only.
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

// PacketDevice is where callers' packets come from and answers go to.
type PacketDevice interface {
	ReadPacket(b []byte) (int, error)
	WritePacket(b []byte) error
	Close() error
}

const packetBytes = 65_536

// Fabric hands each packet to any of the balancers at random.
type Fabric struct {
	device PacketDevice
	link   *udplink.Link
	random *rand.Rand

	mu        sync.Mutex
	balancers []netip.AddrPort
}

// NewFabric returns a fabric without balancers.
func NewFabric(device PacketDevice, address netip.AddrPort, seed uint64) (*Fabric, error) {
	link, err := udplink.Open(address)
	if err != nil {
		return nil, err
	}
	return &Fabric{device: device, link: link, random: rand.New(rand.NewPCG(seed, 0))}, nil
}

// Address is where balancers send packets for callers.
func (f *Fabric) Address() netip.AddrPort { return f.link.Address() }

// SetBalancers replaces the packet addresses of the balancers.
func (f *Fabric) SetBalancers(addresses []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), addresses...)
}

// Run carries packets until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(f.link.Close(), f.device.Close())
	})
	group.Go(f.toBalancers)
	group.Go(f.toCallers)
	return group.Wait()
}

func (f *Fabric) toBalancers() error {
	b := make([]byte, packetBytes)
	for {
		n, err := f.device.ReadPacket(b)
		if errors.Is(err, os.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("fabric: read packet: %w", err)
		}
		if to, ok := f.pick(); ok {
			// A packet that is not taken is lost, as on any network.
			_ = f.link.Send(b[:n], to)
		}
	}
}

func (f *Fabric) pick() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))], true
}

func (f *Fabric) toCallers() error {
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
