// Package decisionlog writes one JSON line for each decision about a request.
// Logging never blocks the decision.
//
// Entries are queued in two ring buffers of fixed size. One holds successes, at a
// limited rate. The other holds the entries that explain a failure or a delay. A
// separate goroutine formats and writes them. If the reader of the output stalls,
// the ring buffers fill up. Further entries are then dropped and counted by event,
// and the counts are written as one line when there is room again.
//
// docs/OPERATIONS.md describes the fields.
package decisionlog

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/flow"
)

const (
	// rateLimitedCapacity and priorityCapacity are the capacities of the ring
	// buffers, in entries. They bound the memory: a queued entry takes about 250
	// bytes.
	rateLimitedCapacity = 128
	priorityCapacity    = 512
	// rateLimitPerSecond bounds the entries about successes per second. It is
	// above the rate of openings at a usual entry VM.
	rateLimitPerSecond = 100
	// maxLoggerBytes bounds the queued lines of the logger.
	maxLoggerBytes = 64 << 10
	// maxBatchEntries bounds the entries in one write.
	maxBatchEntries = 64
	// writeInterval is the pause after a write, in which entries accumulate for
	// the next one.
	writeInterval = 50 * time.Millisecond
)

// Entry describes one decision. The output omits empty fields.
type Entry struct {
	At time.Time
	// Event is what was decided, and Reason why.
	Event, Reason string
	Flow          flow.Key
	// Peer is the VM that was selected or that has responded.
	Peer netip.Addr
	// Load and Slots are the last reported load and slots of the peer. AgeMillis
	// is the age of that report.
	Load, Slots int
	AgeMillis   int64
	// AnswerMillis is the learned time of an answer of the peer and HealthPermille the
	// share of its requests that end well, both AnswerAgeMillis old. They are zero unless
	// the peer was selected by them.
	AnswerMillis, AnswerAgeMillis int64
	HealthPermille                int
	// Version is the version of the desired state that the decision used.
	Version uint64
	// Attempt numbers the attempts at the placement of an opening, from 1.
	Attempt int
	// RequestID is the ID of the request. It is empty if the packet has none.
	RequestID string
}

// Log queues entries and writes them to the output. It is safe for concurrent use.
// The logger of the process writes through it too, so that other log lines cannot
// block a decision either.
type Log struct {
	out        io.Writer
	baseFields *logrus.Entry

	mu sync.Mutex
	// loggerOutput holds queued lines of the logger.
	loggerOutput []byte
	rateLimited  ring
	priority     ring
	// dropped counts the entries that were not queued, by event.
	dropped map[string]uint64
	// rateSecond is the Unix time in seconds to which countInSecond refers.
	rateSecond    int64
	countInSecond int
	// wakeWriter wakes the writer goroutine when something is queued.
	wakeWriter chan struct{}
}

// ring is a ring buffer of queued entries; first is the index of the oldest.
type ring struct {
	entries []Entry
	first   int
	count   int
}

// push appends an entry. It reports false if the ring buffer is full.
func (r *ring) push(entry Entry) bool {
	if r.count == len(r.entries) {
		return false
	}
	r.entries[(r.first+r.count)%len(r.entries)] = entry
	r.count++
	return true
}

// pop removes the oldest entry. It reports false if the ring buffer is empty.
func (r *ring) pop() (Entry, bool) {
	if r.count == 0 {
		return Entry{}, false
	}
	entry := r.entries[r.first]
	r.first = (r.first + 1) % len(r.entries)
	r.count--
	return entry, true
}

// New returns a log that writes to out. SetFields must be called before the first
// entry is logged. Start or Run writes the entries.
func New(out io.Writer) *Log {
	return &Log{
		out:         out,
		rateLimited: ring{entries: make([]Entry, rateLimitedCapacity)}, priority: ring{entries: make([]Entry, priorityCapacity)},
		dropped: map[string]uint64{}, wakeWriter: make(chan struct{}, 1),
	}
}

// SetFields sets the logger and the fields of every line.
func (l *Log) SetFields(entry *logrus.Entry) { l.baseFields = entry }

// Write queues a line of the logger. It never returns an error: if there is no
// room, it drops and counts the line.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	stored := len(l.loggerOutput)+len(line) <= maxLoggerBytes
	if stored {
		l.loggerOutput = append(l.loggerOutput, line...)
	}
	l.countDropUnlockAndWake(stored, "logger")
	return len(line), nil
}

// LogRateLimited queues an entry about a success. Above rateLimitPerSecond the
// entry is dropped and counted.
func (l *Log) LogRateLimited(entry Entry) {
	l.mu.Lock()
	if second := entry.At.Unix(); second != l.rateSecond {
		l.rateSecond, l.countInSecond = second, 0
	}
	l.countInSecond++
	stored := l.countInSecond <= rateLimitPerSecond && l.rateLimited.push(entry)
	l.countDropUnlockAndWake(stored, entry.Event)
}

// LogAlways queues an entry about a refusal, a reset, a move or an error. There is
// no rate limit, but the entry is dropped and counted if the ring buffer is full.
func (l *Log) LogAlways(entry Entry) {
	l.mu.Lock()
	l.countDropUnlockAndWake(l.priority.push(entry), entry.Event)
}

// countDropUnlockAndWake counts an entry that was not stored, releases the lock
// and wakes the writer.
func (l *Log) countDropUnlockAndWake(stored bool, event string) {
	if !stored {
		l.dropped[event]++
	}
	l.mu.Unlock()
	select {
	case l.wakeWriter <- struct{}{}:
	default:
	}
}

// finalWriteTimeout bounds how long a stopping process waits until its last
// entries are written.
const finalWriteTimeout = 200 * time.Millisecond

// Start runs the writer in a goroutine. The returned function stops the writer
// after the queued entries are written. If the reader of the output has stalled,
// it returns after finalWriteTimeout.
func (l *Log) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	return func() {
		cancel()
		select {
		case <-done:
		case <-time.After(finalWriteTimeout):
		}
	}
}

// Run writes entries until the context ends, then those that are still queued.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case <-l.wakeWriter:
		}
		l.flush()
		select {
		case <-ctx.Done():
		case <-time.After(writeInterval):
		}
	}
}

// flush writes everything that is queued.
func (l *Log) flush() {
	for {
		text, batch, dropped := l.takeBatch()
		if len(text) == 0 && len(batch) == 0 && dropped == nil {
			return
		}
		for i := range batch {
			text = l.appendFormatted(text, l.entryFields(&batch[i]), batch[i].At)
		}
		if dropped != nil {
			text = l.appendFormatted(text, logrus.Fields{"event": "lines_dropped", "counts": dropped}, time.Now())
		}
		// If this fails, the output has no reader, and the error cannot be
		// reported elsewhere.
		_, _ = l.out.Write(text)
	}
}

// takeBatch removes the queued lines of the logger and up to maxBatchEntries
// entries, priority entries first. It also returns the counts of dropped entries
// once no entry is queued.
func (l *Log) takeBatch() (loggerOutput []byte, batch []Entry, dropped map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	loggerOutput, l.loggerOutput = l.loggerOutput, nil
	for len(batch) < maxBatchEntries {
		entry, ok := l.priority.pop()
		if !ok {
			entry, ok = l.rateLimited.pop()
		}
		if !ok {
			break
		}
		batch = append(batch, entry)
	}
	if len(batch) < maxBatchEntries && len(l.dropped) > 0 {
		dropped, l.dropped = l.dropped, map[string]uint64{}
	}
	return loggerOutput, batch, dropped
}

func (l *Log) entryFields(entry *Entry) logrus.Fields {
	fields := logrus.Fields{"event": entry.Event, "reason": entry.Reason}
	if entry.Flow.Caller.IsValid() {
		fields["flow"] = entry.Flow.Caller.String() + ">" + entry.Flow.Virtual.String()
	}
	if entry.Peer.IsValid() {
		fields["peer"] = entry.Peer.String()
	}
	if entry.Slots > 0 {
		fields["load"], fields["slots"], fields["load_age_ms"] = entry.Load, entry.Slots, entry.AgeMillis
	}
	if entry.HealthPermille > 0 {
		fields["answer_ms"], fields["answer_age_ms"], fields["health_permille"] = entry.AnswerMillis, entry.AnswerAgeMillis, entry.HealthPermille
	}
	if entry.Version > 0 {
		fields["version"] = entry.Version
	}
	if entry.RequestID != "" {
		fields["request"] = entry.RequestID
	}
	if entry.Attempt > 0 {
		fields["try"] = entry.Attempt
	}
	return fields
}

func (l *Log) appendFormatted(text []byte, fields logrus.Fields, when time.Time) []byte {
	entry := l.baseFields.WithFields(fields).WithTime(when)
	entry.Level, entry.Message = logrus.InfoLevel, "decision"
	line, err := l.baseFields.Logger.Formatter.Format(entry)
	if err != nil {
		// Formatting fails only for values that JSON cannot represent, and no
		// entry has one.
		return text
	}
	return append(text, line...)
}
