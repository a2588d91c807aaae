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

// linkFault is what the relay does to datagrams of one direction.
type linkFault struct {
	drop  float64
	delay time.Duration
}

type direction struct{ from, to netip.Addr }

// relay passes the datagrams between the VMs on.
type relay struct {
	offset  uint16
	sockets []*net.UDPConn
	done    sync.WaitGroup

	mu      sync.Mutex
	faults  map[direction]linkFault
	senders map[netip.AddrPort]*net.UDPConn
	random  *rand.Rand
}

func newRelay(offset uint16, seed uint64) *relay {
	return &relay{
		offset: offset, faults: map[direction]linkFault{}, senders: map[netip.AddrPort]*net.UDPConn{},
		random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // Repeatable faults; needs no secrecy.
	}
}

// listen takes the datagrams for the given ports of a VM.
func (r *relay) listen(vm netip.Addr, ports ...uint16) error {
	for _, port := range ports {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(vm, port+r.offset)))
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		r.sockets = append(r.sockets, conn)
		r.done.Add(1)
		go r.pass(conn, netip.AddrPortFrom(vm, port))
	}
	return nil
}

func (r *relay) pass(conn *net.UDPConn, to netip.AddrPort) {
	defer r.done.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error about an earlier datagram.
		}
		source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		r.mu.Lock()
		fault := r.faults[direction{source.Addr(), to.Addr()}]
		lost := fault.drop > 0 && r.random.Float64() < fault.drop
		r.mu.Unlock()
		if lost {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		if fault.delay > 0 {
			time.AfterFunc(fault.delay, func() { r.send(source, to, data) })
			continue
		}
		r.send(source, to, data)
	}
}

// send passes a datagram on from the address of its sender, which receivers go by.
func (r *relay) send(source, to netip.AddrPort, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn := r.senders[source]
	if conn == nil {
		var err error
		if conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(source.Addr(), 0))); err != nil {
			return // Lost, as a datagram may be.
		}
		r.senders[source] = conn
	}
	// The receiver may be down: its datagrams are lost then.
	_, _ = conn.WriteToUDPAddrPort(data, to)
}

// set puts a fault on a direction; the zero value ends it.
func (r *relay) set(from, to netip.Addr, f linkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[direction{from, to}] = f
}

func (r *relay) close() {
	for _, conn := range r.sockets {
		_ = conn.Close()
	}
	r.done.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.senders {
		_ = conn.Close()
	}
}
