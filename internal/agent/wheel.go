package agent

import "time"

const (
	wheelBuckets = 256
	// wheelStep is the resolution of expiry. Flows with a deadline beyond the
	// range of the wheel (128 s) are checked early and linked again.
	wheelStep = 500 * time.Millisecond
)

// expiryWheel is a timer wheel that groups the flows of a shard by the time of
// their next check. A packet does not move its flow to another bucket: the
// deadline is computed again when the bucket is due.
type expiryWheel struct {
	buckets [wheelBuckets]*flowState
	// lastStep is the last step whose bucket was visited.
	lastStep int64
}

// wheelStepAt returns the step of the wheel at a time.
func wheelStepAt(unixNano int64) int64 { return unixNano / int64(wheelStep) }

// link adds a flow to the bucket of its deadline.
func (w *expiryWheel) link(f *flowState, deadline int64) {
	step := wheelStepAt(deadline) + 1
	step = min(max(step, w.lastStep+1), w.lastStep+wheelBuckets-1)
	bucket := step % wheelBuckets
	f.wheelBucket = int16(bucket)
	f.prev, f.next = nil, w.buckets[bucket]
	if f.next != nil {
		f.next.prev = f
	}
	w.buckets[bucket] = f
}

// unlink removes a flow from its bucket.
func (w *expiryWheel) unlink(f *flowState) {
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		w.buckets[f.wheelBucket] = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	}
	f.next, f.prev = nil, nil
}

// visitDue unlinks each flow whose bucket is due and calls visit with it.
func (w *expiryWheel) visitDue(now int64, visit func(*flowState)) {
	target := wheelStepAt(now)
	if w.lastStep == 0 || target-w.lastStep > wheelBuckets {
		w.lastStep = max(w.lastStep, target-wheelBuckets)
	}
	for w.lastStep < target {
		w.lastStep++
		bucket := w.lastStep % wheelBuckets
		f := w.buckets[bucket]
		w.buckets[bucket] = nil
		for f != nil {
			next := f.next
			f.next, f.prev = nil, nil
			visit(f)
			f = next
		}
	}
}
