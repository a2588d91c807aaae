// Package memlink delivers messages between processes in memory under virtual
// time. Links lose, delay, duplicate and reorder messages, each direction by
// itself. The same seed gives the same deliveries.
package memlink

import (
	"container/heap"
	"math/rand/v2"
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
type Packet[A comparable, B any] struct {
	At       time.Time
	From, To A
	Body     B
	sequence uint64
}

// Network holds the messages on their way between addresses of type A with
// bodies of type B.
type Network[A comparable, B any] struct {
	// Link returns the quality of the direction from one address to another.
	Link func(from, to A) Quality
	// Uplink is what one sender can send in bytes per second; 0 is unlimited.
	Uplink float64

	rng      *rand.Rand
	queue    packetHeap[A, B]
	sequence uint64
	busy     map[A]time.Time
}

// New returns a network with the given qualities.
func New[A comparable, B any](rng *rand.Rand, link func(from, to A) Quality) *Network[A, B] {
	return &Network[A, B]{Link: link, rng: rng, busy: map[A]time.Time{}}
}

// departure returns when the last byte of a message leaves its sender.
func (n *Network[A, B]) departure(now time.Time, from A, size int) time.Time {
	if n.Uplink == 0 {
		return now
	}
	start := now
	if n.busy[from].After(start) {
		start = n.busy[from]
	}
	end := start.Add(time.Duration(float64(size) / n.Uplink * float64(time.Second)))
	n.busy[from] = end
	return end
}

// Send puts a message of a size in bytes on its way, or loses it.
func (n *Network[A, B]) Send(now time.Time, from, to A, body B, size int) {
	q := n.Link(from, to)
	now = n.departure(now, from, size)
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
		heap.Push(&n.queue, Packet[A, B]{At: now.Add(delay), From: from, To: to, Body: body, sequence: n.sequence})
	}
}

// Next returns the next message that arrives no later than the given time.
func (n *Network[A, B]) Next(until time.Time) (Packet[A, B], bool) {
	if len(n.queue) == 0 || n.queue[0].At.After(until) {
		return Packet[A, B]{}, false
	}
	return heap.Pop(&n.queue).(Packet[A, B]), true
}

type packetHeap[A comparable, B any] []Packet[A, B]

func (h packetHeap[A, B]) Len() int { return len(h) }
func (h packetHeap[A, B]) Less(i, j int) bool {
	if !h[i].At.Equal(h[j].At) {
		return h[i].At.Before(h[j].At)
	}
	return h[i].sequence < h[j].sequence
}
func (h packetHeap[A, B]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *packetHeap[A, B]) Push(x any)   { *h = append(*h, x.(Packet[A, B])) }
func (h *packetHeap[A, B]) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = Packet[A, B]{}
	*h = (*h)[:last]
	return p
}
