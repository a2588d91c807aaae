// Package logsearch finds the decision log lines of one request or flow in the log
// files of many processes, and explains the likely cause of a failure. Only lines
// that match the request or flow are decoded.
package logsearch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	// readBufferBytes is the size of the read buffer of each file.
	readBufferBytes = 1 << 20
	// maxLineBytes bounds the length of a line. Longer lines are skipped.
	maxLineBytes = 1 << 20
	// maxEntries bounds the entries in a result.
	maxEntries = 10_000
	// maxParallelFiles bounds the files that are searched concurrently.
	maxParallelFiles = 6
)

// Query selects the lines of one request or of one caller. Either RequestID or
// Caller is set.
type Query struct {
	// RequestID is the ID of the request.
	RequestID string
	// Caller is the address and port of the caller, as ADDRESS:PORT.
	Caller string
	// Window limits the search to this time before and after the request, because
	// the caller may use the same port for other flows. Zero sets no limit.
	Window time.Duration
	// At is the time of the failure if only the caller is known. If it is zero,
	// lines of all times match.
	At time.Time
}

// Entry is one line of a decision log.
type Entry struct {
	Time          time.Time `json:"time"`
	VM            string    `json:"vm"`
	Program       string    `json:"program"`
	Event         string    `json:"event"`
	Reason        string    `json:"reason"`
	Flow          string    `json:"flow"`
	Peer          string    `json:"peer,omitempty"`
	RequestID     string    `json:"request,omitempty"`
	Load          int       `json:"load,omitempty"`
	Slots         int       `json:"slots,omitempty"`
	LoadAgeMillis int64     `json:"load_age_ms,omitempty"`
	// AnswerMillis, AnswerAgeMillis and HealthPermille are set if the peer was selected by
	// what its agent has learned.
	AnswerMillis    int64  `json:"answer_ms,omitempty"`
	AnswerAgeMillis int64  `json:"answer_age_ms,omitempty"`
	HealthPermille  int    `json:"health_permille,omitempty"`
	Version         uint64 `json:"version,omitempty"`
	Attempt         int    `json:"try,omitempty"`
}

// Result holds the matching entries, sorted by time, and the likely cause of the
// failure.
type Result struct {
	Flow    string  `json:"flow"`
	Entries []Entry `json:"entries"`
	Cause   string  `json:"cause"`
}

// NotFoundError reports that no line matches a request or caller.
type NotFoundError struct{ Target string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("no log line matches %s", e.Target) }

// Search searches all files of a folder.
func Search(folder string, q Query) (Result, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return Result{}, fmt.Errorf("list %s: %w", folder, err)
	}
	caller, failureTime := q.Caller, q.At
	if q.RequestID != "" {
		matches, err := searchFiles(paths, []byte(`"request":"`+q.RequestID+`"`))
		if err != nil {
			return Result{}, err
		}
		if len(matches) == 0 {
			return Result{}, &NotFoundError{Target: "request " + q.RequestID}
		}
		// A request may have been attempted several times. The last match belongs
		// to the last attempt.
		lastAttempt := matches[len(matches)-1]
		caller, failureTime = callerAddress(lastAttempt.Flow), lastAttempt.Time
	}
	entries, err := searchFiles(paths, []byte(`"flow":"`+caller+`>`))
	if err != nil {
		return Result{}, err
	}
	entries = slices.DeleteFunc(entries, func(e Entry) bool {
		return !failureTime.IsZero() && q.Window > 0 && (e.Time.Before(failureTime.Add(-q.Window)) || e.Time.After(failureTime.Add(q.Window)))
	})
	if len(entries) == 0 {
		return Result{}, &NotFoundError{Target: "caller " + caller}
	}
	return Result{Flow: entries[0].Flow, Entries: entries, Cause: explain(entries)}, nil
}

// callerAddress returns the caller of a flow in the form CALLER>VIRTUAL.
func callerAddress(flow string) string {
	caller, _, _ := bytes.Cut([]byte(flow), []byte(">"))
	return string(caller)
}

// searchFiles returns the entries of all lines that contain the pattern, sorted by
// time.
func searchFiles(paths []string, pattern []byte) ([]Entry, error) {
	var mu sync.Mutex
	var found []Entry
	var errs error
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelFiles)
	for _, path := range paths {
		group.Add(1)
		go func() {
			defer group.Done()
			semaphore <- struct{}{}
			entries, err := searchFile(path, pattern)
			<-semaphore
			mu.Lock()
			defer mu.Unlock()
			found = append(found, entries...)
			errs = errors.Join(errs, err)
		}()
	}
	group.Wait()
	slices.SortStableFunc(found, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return found[:min(len(found), maxEntries)], errs
}

func searchFile(path string, pattern []byte) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	entries, err := searchLines(file, pattern)
	return entries, errors.Join(err, file.Close())
}

func searchLines(r io.Reader, pattern []byte) ([]Entry, error) {
	reader := bufio.NewReaderSize(r, readBufferBytes)
	var entries []Entry
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.Contains(line, pattern) && len(line) <= maxLineBytes && len(entries) < maxEntries {
			if entry, ok := decodeEntry(line); ok {
				entries = append(entries, entry)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return entries, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return entries, fmt.Errorf("read log: %w", err)
		}
	}
}

// decodeEntry decodes the JSON object in a line. Any prefix is skipped, because a
// log collector may have added a time or a name.
func decodeEntry(line []byte) (entry Entry, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return entry, false
	}
	return entry, json.Unmarshal(line[start:], &entry) == nil
}
