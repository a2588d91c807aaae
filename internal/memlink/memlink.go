// Package memlink simulates network links between processes in memory, under
// virtual time. Links lose, delay, duplicate and reorder messages. Each direction of
// a link has its own quality. The same seed gives the same deliveries.
package memlink

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Quality describes one direction of a link.
type Quality struct {
	Delay time.Duration
	// Jitter is the maximum extra delay of a message, uniformly distributed. It
	// causes reordering.
	Jitter    time.Duration
	Loss      float64
	Duplicate float64
	Down      bool
}

// Packet is a message in transit. At is its time of arrival.
type Packet[A comparable, B any] struct {
	At       time.Time
	From, To A
	Body     B
	sequence uint64
}

// Network holds the messages in transit between addresses of type A. The messages
// have bodies of type B.
type Network[A comparable, B any] struct {
	// Link returns the quality of the link from one address to another.
	Link func(from, to A) Quality
	// Uplink is the bandwidth of each sender in bytes per second; 0 means
	// unlimited.
	Uplink float64

	rng          *rand.Rand
	queue        arrivalQueue[A, B]
	sequence     uint64
	uplinkFreeAt map[A]time.Time
}

// New returns a network in which link determines the quality of each direction.
func New[A comparable, B any](rng *rand.Rand, link func(from, to A) Quality) *Network[A, B] {
	return &Network[A, B]{Link: link, rng: rng, uplinkFreeAt: map[A]time.Time{}}
}

// reserveUplink occupies the sender's uplink for one message. It returns the time at
// which the last byte of the message leaves the sender.
func (n *Network[A, B]) reserveUplink(now time.Time, from A, size int) time.Time {
	if n.Uplink == 0 {
		return now
	}
	start := now
	if n.uplinkFreeAt[from].After(start) {
		start = n.uplinkFreeAt[from]
	}
	departure := start.Add(time.Duration(float64(size) / n.Uplink * float64(time.Second)))
	n.uplinkFreeAt[from] = departure
	return departure
}

// Send sends a message with a size in bytes. Depending on the quality of the link,
// the message is lost, delayed or duplicated.
func (n *Network[A, B]) Send(now time.Time, from, to A, body B, size int) {
	quality := n.Link(from, to)
	now = n.reserveUplink(now, from, size)
	copies := 1
	if quality.Duplicate > 0 && n.rng.Float64() < quality.Duplicate {
		copies = 2
	}
	for range copies {
		if quality.Down || quality.Loss > 0 && n.rng.Float64() < quality.Loss {
			continue
		}
		delay := quality.Delay
		if quality.Jitter > 0 {
			delay += time.Duration(n.rng.Int64N(int64(quality.Jitter)))
		}
		n.sequence++
		heap.Push(&n.queue, Packet[A, B]{At: now.Add(delay), From: from, To: to, Body: body, sequence: n.sequence})
	}
}

// Next removes and returns the next message that arrives no later than until.
func (n *Network[A, B]) Next(until time.Time) (Packet[A, B], bool) {
	if len(n.queue) == 0 || n.queue[0].At.After(until) {
		return Packet[A, B]{}, false
	}
	return heap.Pop(&n.queue).(Packet[A, B]), true
}

// arrivalQueue is a heap of messages, ordered by time of arrival and then by the
// order of sending.
type arrivalQueue[A comparable, B any] []Packet[A, B]

func (q arrivalQueue[A, B]) Len() int { return len(q) }
func (q arrivalQueue[A, B]) Less(i, j int) bool {
	if !q[i].At.Equal(q[j].At) {
		return q[i].At.Before(q[j].At)
	}
	return q[i].sequence < q[j].sequence
}
func (q arrivalQueue[A, B]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *arrivalQueue[A, B]) Push(x any)   { *q = append(*q, x.(Packet[A, B])) }
func (q *arrivalQueue[A, B]) Pop() any {
	lastIndex := len(*q) - 1
	earliest := (*q)[lastIndex]
	(*q)[lastIndex] = Packet[A, B]{}
	*q = (*q)[:lastIndex]
	return earliest
}
