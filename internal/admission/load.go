package admission

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
)

// Levels is the number of priorities that are distinguished. All lower priorities count
// as the lowest one of these.
const Levels = 8

// Level is a priority: 0 is the highest.
type Level uint8

// Lowest is the level of requests whose class is not known.
const Lowest Level = Levels - 1

// LevelOf returns the level of a class.
func LevelOf(class intent.Class) Level {
	return Level(min(max(class.Priority, 0), int(Lowest)))
}

// Load is what an upstream has to do when a decision is made.
type Load struct {
	// Limit is the number of requests that the upstream takes well at once.
	Limit int
	// InProgress counts the requests that were delivered and are not answered, Deferred
	// those that wait beside the upstream, and Awaited the new flows whose first request
	// has not arrived.
	InProgress, Deferred, Awaited [Levels]int
}

// ahead returns the number of requests that are served before a new one of a level: those
// at the upstream, and those of the same or a higher level beside it. An awaited request
// counts half: while it is on its way, as many of those in progress end.
func (l *Load) ahead(level Level) int {
	return sum(&l.InProgress, Lowest) + sum(&l.Deferred, level) + sum(&l.Awaited, Lowest)/2
}

// placesUsed returns the number of places at the upstream that are in use or needed by
// requests that go before a new one of a level.
func (l *Load) placesUsed(level Level) int {
	return sum(&l.InProgress, Lowest) + sum(&l.Deferred, level) + sum(&l.Awaited, level)
}

// expectedTime returns the time until a request is answered that has the given number of
// requests before it, at least the limit.
func (l *Load) expectedTime(ahead int, serviceTime time.Duration) time.Duration {
	waits := float64(ahead-l.Limit+1) / float64(max(l.Limit, 1))
	return time.Duration((waits + serviceTimesNeeded) * float64(serviceTime))
}

// ofHigher returns the number of requests of the levels above the given one.
func (l *Load) ofHigher(level Level) int {
	if level == 0 {
		return 0
	}
	return sum(&l.InProgress, level-1) + sum(&l.Deferred, level-1) + sum(&l.Awaited, level-1)
}

// sum adds the counts of the levels up to and including the given one.
func sum(counts *[Levels]int, level Level) int {
	total := 0
	for _, count := range counts[:level+1] {
		total += count
	}
	return total
}
