// Package logsearch finds the lines of decision logs that belong to one request
// or flow, in the files of many processes, and names the likely cause of a
// failure. Lines that do not concern the request are not decoded.
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
	// readBytes is the buffer of one file.
	readBytes = 1 << 20
	// maxLineBytes bounds a line; longer ones are skipped.
	maxLineBytes = 1 << 20
	// maxEntries bounds the result.
	maxEntries = 10_000
	// parallelFiles are searched at once.
	parallelFiles = 6
)

// Query says which lines are wanted. Either Request or Caller is set.
type Query struct {
	Request string
	// Caller is the address and port of the caller, as ADDRESS:PORT.
	Caller string
	// Window bounds the time before and after the request; ports are used again.
	Window time.Duration
	// At is the time of the failure, if only the caller is known; zero finds all.
	At time.Time
}

// Entry is one line.
type Entry struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Program string    `json:"program"`
	Event   string    `json:"event"`
	Reason  string    `json:"reason"`
	Flow    string    `json:"flow"`
	Peer    string    `json:"peer,omitempty"`
	Request string    `json:"request,omitempty"`
	Load    int       `json:"load,omitempty"`
	Slots   int       `json:"slots,omitempty"`
	AgeMS   int64     `json:"load_age_ms,omitempty"`
	Version uint64    `json:"version,omitempty"`
	Try     int       `json:"try,omitempty"`
}

// Result is what was found, in the order of time.
type Result struct {
	Flow    string  `json:"flow"`
	Entries []Entry `json:"entries"`
	Cause   string  `json:"cause"`
}

// NotFoundError reports a request or flow that no line names.
type NotFoundError struct{ What string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("no line names %s", e.What) }

// Search reads all files of a folder.
func Search(folder string, q Query) (Result, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return Result{}, fmt.Errorf("list %s: %w", folder, err)
	}
	caller, at := q.Caller, q.At
	if q.Request != "" {
		found, err := searchFiles(paths, []byte(`"request":"`+q.Request+`"`))
		if err != nil {
			return Result{}, err
		}
		if len(found) == 0 {
			return Result{}, &NotFoundError{What: "request " + q.Request}
		}
		// Of several tries of a request the last one failed last.
		last := found[len(found)-1]
		caller, at = callerOf(last.Flow), last.Time
	}
	entries, err := searchFiles(paths, []byte(`"flow":"`+caller+`>`))
	if err != nil {
		return Result{}, err
	}
	entries = slices.DeleteFunc(entries, func(e Entry) bool {
		return !at.IsZero() && q.Window > 0 && (e.Time.Before(at.Add(-q.Window)) || e.Time.After(at.Add(q.Window)))
	})
	if len(entries) == 0 {
		return Result{}, &NotFoundError{What: "caller " + caller}
	}
	return Result{Flow: entries[0].Flow, Entries: entries, Cause: cause(entries)}, nil
}

func callerOf(flow string) string {
	before, _, _ := bytes.Cut([]byte(flow), []byte(">"))
	return string(before)
}

// searchFiles returns the entries of the lines that contain a text.
func searchFiles(paths []string, text []byte) ([]Entry, error) {
	var mu sync.Mutex
	var all []Entry
	var failures error
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelFiles)
	for _, path := range paths {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			entries, err := searchFile(path, text)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			all = append(all, entries...)
			failures = errors.Join(failures, err)
		}()
	}
	group.Wait()
	slices.SortStableFunc(all, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return all[:min(len(all), maxEntries)], failures
}

func searchFile(path string, text []byte) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	entries, err := searchLines(file, text)
	return entries, errors.Join(err, file.Close())
}

func searchLines(r io.Reader, text []byte) ([]Entry, error) {
	reader := bufio.NewReaderSize(r, readBytes)
	var entries []Entry
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.Contains(line, text) && len(line) <= maxLineBytes && len(entries) < maxEntries {
			if e, ok := decode(line); ok {
				entries = append(entries, e)
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

// decode reads the JSON object of a line. A collector may have put a time or a
// name in front of it.
func decode(line []byte) (e Entry, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return e, false
	}
	return e, json.Unmarshal(line[start:], &e) == nil
}
