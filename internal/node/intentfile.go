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

// intentFile stores the last applied intent, so that a node that restarts while
// control is unreachable continues with that intent.
type intentFile struct {
	folder string
}

func newIntentFile(folder string) *intentFile { return &intentFile{folder: folder} }

func (f *intentFile) path() string { return filepath.Join(f.folder, intentFileName) }

// savedIntent is the content of the file.
type savedIntent struct {
	// Checksum is the xxhash of the encoded state in the file.
	Checksum uint64          `json:"checksum"`
	State    json.RawMessage `json:"state"`
}

// DamagedIntentError reports a saved intent that cannot be decoded or whose checksum
// does not match.
type DamagedIntentError struct {
	Path      string
	RenamedTo string
	Reason    string
}

func (e *DamagedIntentError) Error() string {
	return fmt.Sprintf("saved intent %s is damaged (%s); it is kept as %s", e.Path, e.Reason, e.RenamedTo)
}

// loadState returns the saved state, or nil if there is none. A damaged file is
// renamed and reported as *DamagedIntentError. It does not prevent the node from
// starting, because control has the intent.
func (f *intentFile) loadState() (*intent.State, error) {
	content, err := os.ReadFile(f.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read saved intent: %w", err)
	}
	state, err := decodeSavedIntent(content)
	if err == nil {
		return state, nil
	}
	renamedTo := f.path() + ".damaged"
	if renameErr := os.Rename(f.path(), renamedTo); renameErr != nil {
		return nil, fmt.Errorf("rename damaged intent file: %w", errors.Join(err, renameErr))
	}
	return nil, &DamagedIntentError{Path: f.path(), RenamedTo: renamedTo, Reason: err.Error()}
}

var errChecksumMismatch = errors.New("the checksum does not match")

func decodeSavedIntent(content []byte) (*intent.State, error) {
	var saved savedIntent
	if err := json.Unmarshal(content, &saved); err != nil {
		return nil, err
	}
	if xxhash.Sum64(saved.State) != saved.Checksum {
		return nil, errChecksumMismatch
	}
	var state intent.State
	if err := json.Unmarshal(saved.State, &state); err != nil {
		return nil, err
	}
	return &state, nil
}

// saveState replaces the file. When it returns nil, the file and its folder are
// synced to disk.
func (f *intentFile) saveState(state *intent.State) error {
	encodedState, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	content, err := json.Marshal(savedIntent{Checksum: xxhash.Sum64(encodedState), State: encodedState})
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	return replaceDataFile(f.folder, intentFileName, content)
}

// replaceDataFile replaces a file of the data folder and creates the folder if
// needed.
func replaceDataFile(folder, name string, content []byte) error {
	if err := os.MkdirAll(folder, dataFolderMode); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	return durable.ReplaceFile(filepath.Join(folder, name), content, dataFileMode)
}

const (
	dataFolderMode = 0o700
	dataFileMode   = 0o600
)
