package measure

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point of virtual time. Events at the same
// time run in the order in which they were scheduled.
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

// clock is virtual time with the events that are due.
type clock struct {
	now      time.Time
	sequence uint64
	queue    eventQueue
}

func newClock() *clock { return &clock{now: time.Unix(1_700_000_000, 0).UTC()} }

// after schedules f.
func (c *clock) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(d), sequence: c.sequence, run: f})
}

// runUntil runs the events up to a time.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
