package measure

import (
	"container/heap"
	"time"
)

// event is a function that runs at a given virtual time. Events with the same time
// run in the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// virtualClock holds the current virtual time and the queue of scheduled events.
type virtualClock struct {
	now      time.Time
	sequence uint64
	queue    eventQueue
}

func newVirtualClock() *virtualClock { return &virtualClock{now: time.Unix(1_700_000_000, 0).UTC()} }

// schedule adds an event that runs after a delay.
func (c *virtualClock) schedule(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(d), sequence: c.sequence, run: run})
}

// runUntil runs all events that are due up to and including end, and then sets the
// clock to end.
func (c *virtualClock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
