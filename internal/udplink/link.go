// Package udplink sends and receives frames between VMs over UDP, in batches. It also
// has a packet source that carries IP packets over UDP and needs no privileges.
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
	// BatchSize is the largest number of datagrams per system call.
	BatchSize = 32
	// MaxDatagram is the largest size of a frame in bytes. It exceeds an inner
	// packet of the tunnel MTU with the largest frame header.
	MaxDatagram = 2048
	// socketBufferBytes holds the datagrams that arrive while the process is not
	// scheduled.
	socketBufferBytes = 4 << 20
)

// batchConn is implemented by the IPv4 and the IPv6 packet connection. Both packages
// use the same message type.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Link is a UDP socket that sends and receives datagrams in batches.
type Link struct {
	conn        *net.UDPConn
	batchSocket batchConn
	udpAddrs    sync.Map // netip.AddrPort -> *net.UDPAddr
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
	// The kernel reduces the sizes to its limits. That is not an error.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	l := &Link{conn: conn, batchSocket: ipv4.NewPacketConn(conn)}
	if address.Addr().Is6() {
		l.batchSocket = ipv6.NewPacketConn(conn)
	}
	return l, nil
}

// Address returns the bound address.
func (l *Link) Address() netip.AddrPort {
	a := l.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket, which unblocks all reads.
func (l *Link) Close() error { return l.conn.Close() }

// Closed reports whether an error means that the link was closed.
func Closed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Batch holds received datagrams. It is reused between calls.
type Batch struct {
	messages []ipv4.Message
	received int
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
	b.received = 0
	n, err := l.batchSocket.ReadBatch(b.messages, 0)
	if err != nil {
		return err
	}
	b.received = n
	return nil
}

// Len returns the number of received datagrams.
func (b *Batch) Len() int { return b.received }

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

// Queue collects datagrams to send them in batches. It must be used by one goroutine
// only.
type Queue struct {
	link     *Link
	messages []ipv4.Message
	buffers  [][]byte
	queued   int
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
func (q *Queue) Next() []byte { return q.buffers[q.queued][:0] }

// Add queues the buffer from Next, filled, and sends the batch when it is full.
func (q *Queue) Add(b []byte, to netip.AddrPort) error {
	q.buffers[q.queued] = b
	q.messages[q.queued].Buffers[0] = b
	q.messages[q.queued].Addr = q.link.cachedUDPAddr(to)
	q.queued++
	if q.queued < len(q.messages) {
		return nil
	}
	return q.Flush()
}

// Flush sends the queued datagrams. Datagrams that the kernel rejects are lost, like
// datagrams lost in the network. Flush returns the first error.
func (q *Queue) Flush() error {
	var firstErr error
	for next := 0; next < q.queued; {
		n, err := q.link.batchSocket.WriteBatch(q.messages[next:q.queued], 0)
		if err != nil {
			if firstErr == nil {
				firstErr = err
			}
			n = 1 // Skip the datagram that the kernel rejected.
		}
		next += n
	}
	q.queued = 0
	return firstErr
}

// Send sends one datagram without batching.
func (l *Link) Send(b []byte, to netip.AddrPort) error {
	_, err := l.conn.WriteToUDPAddrPort(b, to)
	return err
}

// cachedUDPAddr returns the address as a *net.UDPAddr. Addresses are cached until the
// link is closed, which saves an allocation per datagram. There are far fewer peers
// than datagrams.
func (l *Link) cachedUDPAddr(to netip.AddrPort) *net.UDPAddr {
	if addr, ok := l.udpAddrs.Load(to); ok {
		return addr.(*net.UDPAddr)
	}
	addr := net.UDPAddrFromAddrPort(to)
	l.udpAddrs.Store(to, addr)
	return addr
}

// SetReadDeadline sets the time at which a waiting Receive returns an error.
func (l *Link) SetReadDeadline(t time.Time) error { return l.conn.SetReadDeadline(t) }
