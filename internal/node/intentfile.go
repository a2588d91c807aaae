package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/durable"
	"bramleyhold.example/bramleyhold/internal/intent"
)

const intentFileName = "intent.json"

// intentFile keeps the last applied intent, so that a node that restarts while
// control is unreachable goes on with it.
type intentFile struct {
	folder string
}

func newIntentFile(folder string) *intentFile { return &intentFile{folder: folder} }

func (f *intentFile) path() string { return filepath.Join(f.folder, intentFileName) }

// savedIntent is the content of the file.
type savedIntent struct {
	// Checksum is the xxhash of the state as it is in the file.
	Checksum uint64          `json:"checksum"`
	State    json.RawMessage `json:"state"`
}

// DamagedError reports a saved intent that was not written like this.
type DamagedError struct {
	Path   string
	Kept   string
	Reason string
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("saved intent %s is damaged (%s); it is kept as %s", e.Path, e.Reason, e.Kept)
}

// load returns the saved state, or nil if there is none. A damaged file is put
// aside and reported as *DamagedError: control has the intent, so that a damaged
// copy is no reason not to start.
func (f *intentFile) load() (*intent.State, error) {
	b, err := os.ReadFile(f.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read saved intent: %w", err)
	}
	s, err := decodeIntent(b)
	if err == nil {
		return s, nil
	}
	kept := f.path() + ".damaged"
	if moved := os.Rename(f.path(), kept); moved != nil {
		return nil, fmt.Errorf("put damaged intent aside: %w", errors.Join(err, moved))
	}
	return nil, &DamagedError{Path: f.path(), Kept: kept, Reason: err.Error()}
}

var errChecksum = errors.New("the checksum does not match")

func decodeIntent(b []byte) (*intent.State, error) {
	var saved savedIntent
	if err := json.Unmarshal(b, &saved); err != nil {
		return nil, err
	}
	if xxhash.Sum64(saved.State) != saved.Checksum {
		return nil, errChecksum
	}
	var s intent.State
	if err := json.Unmarshal(saved.State, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// save replaces the file. It lasts once the folder is synced.
func (f *intentFile) save(s *intent.State) error {
	state, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	b, err := json.Marshal(savedIntent{Checksum: xxhash.Sum64(state), State: state})
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	return replaceFile(f.folder, intentFileName, b)
}

// replaceFile replaces a file of the data folder, which it creates if needed.
func replaceFile(folder, name string, content []byte) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	return durable.ReplaceFile(filepath.Join(folder, name), content, fileMode)
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)
