// Package decisionlog writes one JSON line for each decision that touches a
// request, without ever holding up the decision. Lines wait in two rings of
// fixed size, one for ordinary successes and one for what an engineer looks for
// after a complaint. A goroutine of its own formats and writes them; when the
// reader of the output stalls, the rings fill up and further lines are counted
// by kind instead. The counts are written as one line when there is room again.
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
	// ordinaryLines and importantLines bound the memory: a line takes about 250
	// bytes while it waits.
	ordinaryLines  = 128
	importantLines = 512
	// ordinaryRate bounds the lines about ordinary successes, in lines per
	// second. Openings of a usual entry VM stay below it.
	ordinaryRate = 100
	// maxWrittenBytes bounds the lines of the logger that wait.
	maxWrittenBytes = 64 << 10
	// batchLines is how many lines share one write.
	batchLines = 64
	// writeInterval gathers lines for one write.
	writeInterval = 50 * time.Millisecond
)

// Entry is one decision. Empty fields are left out of the output.
type Entry struct {
	At time.Time
	// Event says what was decided and Reason why.
	Event, Reason string
	Flow          flow.Key
	// Peer is the VM that was chosen or that has answered.
	Peer netip.Addr
	// Load and Slots are what was known of the load of the peer, AgeMillis how
	// old that was.
	Load, Slots int
	AgeMillis   int64
	// Version is that of the desired state by which was decided.
	Version uint64
	// Attempt numbers the attempts to place an opening.
	Attempt int
	// RequestID is the id of a request, where it is visible.
	RequestID string
}

// Log is safe for concurrent use. It is also the output of the logger of its
// process, so that no other line can hold up a decision either.
type Log struct {
	out   io.Writer
	entry *logrus.Entry

	mu sync.Mutex
	// written holds lines of the logger.
	written   []byte
	ordinary  ring
	important ring
	// dropped counts the lines that were not kept, by event.
	dropped map[string]uint64
	second  int64
	inRate  int
	wake    chan struct{}
}

// ring holds the lines that wait, the oldest first.
type ring struct {
	lines []Entry
	first int
	count int
}

func (r *ring) put(l Entry) bool {
	if r.count == len(r.lines) {
		return false
	}
	r.lines[(r.first+r.count)%len(r.lines)] = l
	r.count++
	return true
}

func (r *ring) take() (Entry, bool) {
	if r.count == 0 {
		return Entry{}, false
	}
	l := r.lines[r.first]
	r.first = (r.first + 1) % len(r.lines)
	r.count--
	return l, true
}

// New returns a log that writes to out. Run must be called to write, and
// SetFields before the first decision.
func New(out io.Writer) *Log {
	return &Log{
		out:      out,
		ordinary: ring{lines: make([]Entry, ordinaryLines)}, important: ring{lines: make([]Entry, importantLines)},
		dropped: map[string]uint64{}, wake: make(chan struct{}, 1),
	}
}

// SetFields gives the fields that every line has.
func (l *Log) SetFields(entry *logrus.Entry) { l.entry = entry }

// Write takes a line of the logger. It never fails: a line without room is
// counted.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	kept := len(l.written)+len(line) <= maxWrittenBytes
	if kept {
		l.written = append(l.written, line...)
	}
	l.note(kept, "logger")
	return len(line), nil
}

// LogRateLimited records a success. Above ordinaryRate it is only counted.
func (l *Log) LogRateLimited(line Entry) {
	l.mu.Lock()
	if second := line.At.Unix(); second != l.second {
		l.second, l.inRate = second, 0
	}
	l.inRate++
	kept := l.inRate <= ordinaryRate && l.ordinary.put(line)
	l.note(kept, line.Event)
}

// LogAlways records a refusal, a reset, a move or an error.
func (l *Log) LogAlways(line Entry) {
	l.mu.Lock()
	l.note(l.important.put(line), line.Event)
}

// note counts a line that was not kept and wakes the writer. It releases the
// lock.
func (l *Log) note(kept bool, event string) {
	if !kept {
		l.dropped[event]++
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// stopTimeout bounds how long a stopping process waits for its last lines.
const stopTimeout = 200 * time.Millisecond

// Start runs the writer. The returned function writes what is left, but does
// not wait for a reader that has stalled.
func (l *Log) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	return func() {
		cancel()
		select {
		case <-done:
		case <-time.After(stopTimeout):
		}
	}
}

// Run writes lines until the context ends, then what is left.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case <-l.wake:
		}
		l.flush()
		select {
		case <-ctx.Done():
		case <-time.After(writeInterval):
		}
	}
}

func (l *Log) flush() {
	for {
		text, batch, dropped := l.next()
		if len(text) == 0 && len(batch) == 0 && dropped == nil {
			return
		}
		for i := range batch {
			text = l.append(text, l.fields(&batch[i]), batch[i].At)
		}
		if dropped != nil {
			text = l.append(text, logrus.Fields{"event": "lines_dropped", "counts": dropped}, time.Now())
		}
		// Nobody reads the output if this fails, and there is no other place.
		_, _ = l.out.Write(text)
	}
}

// next takes what the logger wrote, lines from both rings, and the counts when nothing waits any more.
func (l *Log) next() (text []byte, batch []Entry, dropped map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, l.written = l.written, nil
	for len(batch) < batchLines {
		line, ok := l.important.take()
		if !ok {
			line, ok = l.ordinary.take()
		}
		if !ok {
			break
		}
		batch = append(batch, line)
	}
	if len(batch) < batchLines && len(l.dropped) > 0 {
		dropped, l.dropped = l.dropped, map[string]uint64{}
	}
	return text, batch, dropped
}

func (l *Log) fields(line *Entry) logrus.Fields {
	f := logrus.Fields{"event": line.Event, "reason": line.Reason}
	if line.Flow.Caller.IsValid() {
		f["flow"] = line.Flow.Caller.String() + ">" + line.Flow.Virtual.String()
	}
	if line.Peer.IsValid() {
		f["peer"] = line.Peer.String()
	}
	if line.Slots > 0 {
		f["load"], f["slots"], f["load_age_ms"] = line.Load, line.Slots, line.AgeMillis
	}
	if line.Version > 0 {
		f["version"] = line.Version
	}
	if line.RequestID != "" {
		f["request"] = line.RequestID
	}
	if line.Attempt > 0 {
		f["try"] = line.Attempt
	}
	return f
}

func (l *Log) append(text []byte, fields logrus.Fields, at time.Time) []byte {
	entry := l.entry.WithFields(fields).WithTime(at)
	entry.Level, entry.Message = logrus.InfoLevel, "decision"
	line, err := l.entry.Logger.Formatter.Format(entry)
	if err != nil {
		// Only a field that JSON cannot hold fails, and there is none.
		return text
	}
	return append(text, line...)
}
