// Package udplink carries frames between VMs over UDP, in batches. It also
// offers IP packets over UDP as a packet source that needs no privileges.
package udplink

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

const (
	// BatchSize is how many datagrams one system call carries at most.
	BatchSize = 32
	// MaxDatagram bounds a frame: an inner packet of the tunnel MTU with the
	// largest header stays below.
	MaxDatagram = 2048
	// socketBuffer absorbs bursts while the process is not scheduled.
	socketBuffer = 4 << 20
)

// batchConn is what the IPv4 and IPv6 sockets have in common. The message
// types of both packages are the same type.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Link is a UDP socket that sends and receives datagrams in batches.
type Link struct {
	conn  *net.UDPConn
	batch batchConn
	addrs sync.Map // netip.AddrPort -> *net.UDPAddr
}

// Open binds a socket.
func Open(address netip.AddrPort) (*Link, error) {
	network := "udp4"
	if address.Addr().Is6() {
		network = "udp6"
	}
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind %s: %w", address, err)
	}
	// The kernel caps the sizes at its own limits, which is no error.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	l := &Link{conn: conn, batch: ipv4.NewPacketConn(conn)}
	if address.Addr().Is6() {
		l.batch = ipv6.NewPacketConn(conn)
	}
	return l, nil
}

// Address returns the bound address.
func (l *Link) Address() netip.AddrPort {
	a := l.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close unblocks all reads.
func (l *Link) Close() error { return l.conn.Close() }

// Closed reports whether an error means that the link was closed.
func Closed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Batch holds received datagrams. It is reused between calls.
type Batch struct {
	messages []ipv4.Message
	count    int
}

// NewBatch returns a batch with memory for BatchSize datagrams.
func NewBatch() *Batch {
	b := &Batch{messages: make([]ipv4.Message, BatchSize)}
	for i := range b.messages {
		b.messages[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
	}
	return b
}

// Receive waits for at least one datagram.
func (l *Link) Receive(b *Batch) error {
	b.count = 0
	n, err := l.batch.ReadBatch(b.messages, 0)
	if err != nil {
		return err
	}
	b.count = n
	return nil
}

// Len returns the number of received datagrams.
func (b *Batch) Len() int { return b.count }

// Datagram returns the content of a received datagram.
func (b *Batch) Datagram(i int) []byte { return b.messages[i].Buffers[0][:b.messages[i].N] }

// From returns the sender of a received datagram.
func (b *Batch) From(i int) netip.AddrPort {
	a, ok := b.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	from := a.AddrPort()
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}

// Queue collects datagrams to be sent with few system calls. It is used by one
// goroutine.
type Queue struct {
	link     *Link
	messages []ipv4.Message
	buffers  [][]byte
	count    int
}

// NewQueue returns an empty queue that sends over the link.
func (l *Link) NewQueue() *Queue {
	q := &Queue{link: l, messages: make([]ipv4.Message, BatchSize), buffers: make([][]byte, BatchSize)}
	for i := range q.buffers {
		q.buffers[i] = make([]byte, 0, MaxDatagram)
		q.messages[i].Buffers = make([][]byte, 1)
	}
	return q
}

// Next returns an empty buffer for the next datagram.
func (q *Queue) Next() []byte { return q.buffers[q.count][:0] }

// Add queues the buffer from Next, filled, and sends the batch when it is full.
func (q *Queue) Add(b []byte, to netip.AddrPort) error {
	q.buffers[q.count] = b
	q.messages[q.count].Buffers[0] = b
	q.messages[q.count].Addr = q.link.udpAddr(to)
	q.count++
	if q.count < len(q.messages) {
		return nil
	}
	return q.Flush()
}

// Flush sends what is queued. Datagrams that the kernel does not take are lost,
// as on any network; the first error is returned.
func (q *Queue) Flush() error {
	var first error
	for sent := 0; sent < q.count; {
		n, err := q.link.batch.WriteBatch(q.messages[sent:q.count], 0)
		if err != nil {
			if first == nil {
				first = err
			}
			n = 1 // Skip the datagram that was refused.
		}
		sent += n
	}
	q.count = 0
	return first
}

// Send sends one datagram at once.
func (l *Link) Send(b []byte, to netip.AddrPort) error {
	_, err := l.conn.WriteToUDPAddrPort(b, to)
	return err
}

// udpAddr avoids an allocation for each datagram. Peers are few compared to
// packets, and their addresses are kept for as long as the link.
func (l *Link) udpAddr(to netip.AddrPort) *net.UDPAddr {
	if a, ok := l.addrs.Load(to); ok {
		return a.(*net.UDPAddr)
	}
	a := net.UDPAddrFromAddrPort(to)
	l.addrs.Store(to, a)
	return a
}

// SetReadDeadline makes a Receive that waits return at a time.
func (l *Link) SetReadDeadline(t time.Time) error { return l.conn.SetReadDeadline(t) }
