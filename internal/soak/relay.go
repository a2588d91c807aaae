package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is the fault that the relay applies to datagrams in one direction.
type linkFault struct {
	// drop is the probability that a datagram is dropped.
	drop  float64
	delay time.Duration
}

// linkDirection is a link between two VMs in one direction.
type linkDirection struct{ from, to netip.Addr }

// relay forwards the datagrams between the VMs and applies link faults.
type relay struct {
	offset    uint16
	listeners []*net.UDPConn
	receivers sync.WaitGroup

	mu     sync.Mutex
	faults map[linkDirection]linkFault
	// senders holds one sending socket for each original sender.
	senders map[netip.AddrPort]*net.UDPConn
	random  *rand.Rand
}

func newRelay(offset uint16, seed uint64) *relay {
	return &relay{
		offset: offset, faults: map[linkDirection]linkFault{}, senders: map[netip.AddrPort]*net.UDPConn{},
		random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // Faults must be reproducible; no secrecy is needed.
	}
}

// listen starts to receive the datagrams for the given ports of a VM.
func (r *relay) listen(vm netip.Addr, ports ...uint16) error {
	for _, port := range ports {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(vm, port+r.offset)))
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		r.listeners = append(r.listeners, conn)
		r.receivers.Add(1)
		go r.receiveLoop(conn, netip.AddrPortFrom(vm, port))
	}
	return nil
}

func (r *relay) receiveLoop(conn *net.UDPConn, to netip.AddrPort) {
	defer r.receivers.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error for an earlier datagram.
		}
		source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		r.mu.Lock()
		fault := r.faults[linkDirection{source.Addr(), to.Addr()}]
		lost := fault.drop > 0 && r.random.Float64() < fault.drop
		r.mu.Unlock()
		if lost {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		if fault.delay > 0 {
			time.AfterFunc(fault.delay, func() { r.forward(source, to, data) })
			continue
		}
		r.forward(source, to, data)
	}
}

// forward sends a datagram from the IP address of its original sender, because
// receivers identify senders by it.
func (r *relay) forward(source, to netip.AddrPort, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn := r.senders[source]
	if conn == nil {
		var err error
		if conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(source.Addr(), 0))); err != nil {
			return // The datagram is lost, as on any network.
		}
		r.senders[source] = conn
	}
	// The datagram is lost if the receiver is down.
	_, _ = conn.WriteToUDPAddrPort(data, to)
}

// setFault applies a fault to one direction. The zero value removes it.
func (r *relay) setFault(from, to netip.Addr, f linkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[linkDirection{from, to}] = f
}

func (r *relay) close() {
	for _, conn := range r.listeners {
		_ = conn.Close()
	}
	r.receivers.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.senders {
		_ = conn.Close()
	}
}
