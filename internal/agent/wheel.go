package agent

import "time"

const (
	wheelSlots = 256
	// wheelStep is the precision of expiry. Flows with a deadline beyond the
	// wheel (128 s) are looked at again when their slot comes round.
	wheelStep = 500 * time.Millisecond
)

// wheel keeps the flows of a shard by the time at which they have to be looked
// at. A packet does not move its flow: the deadline is computed again when the
// slot comes due.
type wheel struct {
	slots [wheelSlots]*flowState
	// cursor is the last step that was looked at.
	cursor int64
}

func wheelTime(unixNano int64) int64 { return unixNano / int64(wheelStep) }

// put links a flow into the slot of its deadline.
func (w *wheel) put(f *flowState, deadline int64) {
	step := wheelTime(deadline) + 1
	step = min(max(step, w.cursor+1), w.cursor+wheelSlots-1)
	slot := step % wheelSlots
	f.wheelSlot = int16(slot)
	f.prev, f.next = nil, w.slots[slot]
	if f.next != nil {
		f.next.prev = f
	}
	w.slots[slot] = f
}

// take unlinks a flow.
func (w *wheel) take(f *flowState) {
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		w.slots[f.wheelSlot] = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	}
	f.next, f.prev = nil, nil
}

// advance calls visit with each flow whose slot has come due, after unlinking
// it.
func (w *wheel) advance(now int64, visit func(*flowState)) {
	target := wheelTime(now)
	if w.cursor == 0 || target-w.cursor > wheelSlots {
		w.cursor = max(w.cursor, target-wheelSlots)
	}
	for w.cursor < target {
		w.cursor++
		slot := w.cursor % wheelSlots
		f := w.slots[slot]
		w.slots[slot] = nil
		for f != nil {
			next := f.next
			f.next, f.prev = nil, nil
			visit(f)
			f = next
		}
	}
}
