// Package memlink delivers messages between processes in memory under virtual
// time. Links lose, delay, duplicate and reorder messages, each direction by
// itself. The same seed gives the same deliveries.
package memlink

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Quality describes one direction of a link.
type Quality struct {
	Delay time.Duration
	// Jitter is added to the delay, evenly distributed; it reorders messages.
	Jitter    time.Duration
	Loss      float64
	Duplicate float64
	Down      bool
}

// Packet is a message on its way.
type Packet struct {
	At       time.Time
	From, To netip.AddrPort
	Body     []byte
	sequence uint64
}

// Network holds the messages on their way.
type Network struct {
	// Link returns the quality of the direction from one address to another.
	Link func(from, to netip.AddrPort) Quality

	rng      *rand.Rand
	queue    packetHeap
	sequence uint64
}

// New returns a network with the given qualities.
func New(rng *rand.Rand, link func(from, to netip.AddrPort) Quality) *Network {
	return &Network{Link: link, rng: rng}
}

// Send puts a message on its way, or loses it.
func (n *Network) Send(now time.Time, from, to netip.AddrPort, body []byte) {
	q := n.Link(from, to)
	copies := 1
	if q.Duplicate > 0 && n.rng.Float64() < q.Duplicate {
		copies = 2
	}
	for range copies {
		if q.Down || q.Loss > 0 && n.rng.Float64() < q.Loss {
			continue
		}
		delay := q.Delay
		if q.Jitter > 0 {
			delay += time.Duration(n.rng.Int64N(int64(q.Jitter)))
		}
		n.sequence++
		heap.Push(&n.queue, Packet{At: now.Add(delay), From: from, To: to, Body: body, sequence: n.sequence})
	}
}

// Next returns the next message that arrives no later than the given time.
func (n *Network) Next(until time.Time) (Packet, bool) {
	if len(n.queue) == 0 || n.queue[0].At.After(until) {
		return Packet{}, false
	}
	return heap.Pop(&n.queue).(Packet), true
}

type packetHeap []Packet

func (h packetHeap) Len() int { return len(h) }
func (h packetHeap) Less(i, j int) bool {
	if !h[i].At.Equal(h[j].At) {
		return h[i].At.Before(h[j].At)
	}
	return h[i].sequence < h[j].sequence
}
func (h packetHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *packetHeap) Push(x any)   { *h = append(*h, x.(Packet)) }
func (h *packetHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = Packet{}
	*h = (*h)[:last]
	return p
}
