package warmup

import (
	"sort"
	"time"
)

// maxWindowEvents bounds the times that a window keeps. Limits above it are lowered to it.
const maxWindowEvents = 4096

// window has the exact times of the last events, in order. Counting over exact times
// holds for every span of the given length, not only for those that begin at a reset.
type window struct {
	times []time.Time
}

// add records an event and removes the events that are older than keep.
func (w *window) add(now time.Time, keep time.Duration) {
	if len(w.times) > 0 {
		if last := w.times[len(w.times)-1]; now.Before(last) {
			now = last
		}
	}
	expired := w.indexAfter(now.Add(-keep))
	if len(w.times)-expired == maxWindowEvents {
		expired++
	}
	w.times = append(w.times[:copy(w.times, w.times[expired:])], now)
}

// count returns the number of events within the span that ends now. Its start is
// included.
func (w *window) count(now time.Time, span time.Duration) int {
	return len(w.times) - w.indexAfter(now.Add(-span))
}

// last returns the time of the last event, or zero.
func (w *window) last() time.Time {
	if len(w.times) == 0 {
		return time.Time{}
	}
	return w.times[len(w.times)-1]
}

// indexAfter returns the index of the first event that is not before at.
func (w *window) indexAfter(at time.Time) int {
	return sort.Search(len(w.times), func(i int) bool { return !w.times[i].Before(at) })
}
