package keys

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"bramleyhold.example/bramleyhold/internal/durable"
	"bramleyhold.example/bramleyhold/internal/frame"
)

const (
	// secretBytes is K0, K1 and MAC of a frame.Secret in this order, with K0
	// and K1 in big endian.
	secretBytes = 8 + 8 + 32
	// maxFrameKeys: one key seals, and the one before or after it also opens.
	maxFrameKeys = 2
)

// frameKeys is the content of a frame key file.
type frameKeys struct {
	Current uint8      `json:"current"`
	Keys    []frameKey `json:"keys"`
}

type frameKey struct {
	ID     uint8  `json:"id"`
	Secret []byte `json:"secret"`
}

func newFrameKey(id uint8) frameKey {
	k := frameKey{ID: id, Secret: make([]byte, secretBytes)}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(k.Secret)
	return k
}

func firstFrameKeys() frameKeys {
	const firstID = 1
	return frameKeys{Current: firstID, Keys: []frameKey{newFrameKey(firstID)}}
}

func (k *frameKeys) find(id uint8) *frameKey {
	for i := range k.Keys {
		if k.Keys[i].ID == id {
			return &k.Keys[i]
		}
	}
	return nil
}

func writeFrameKeys(path string, k frameKeys) error {
	text, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		return err
	}
	return durable.ReplaceFile(path, append(text, '\n'), privateMode)
}

func readFrameKeys(path string) (frameKeys, error) {
	text, err := readPrivate(path)
	if err != nil {
		return frameKeys{}, fmt.Errorf("load frame keys: %w", err)
	}
	var k frameKeys
	if err := json.Unmarshal(text, &k); err != nil {
		return frameKeys{}, &StateError{Path: path, Reason: err.Error()}
	}
	if len(k.Keys) < 1 || len(k.Keys) > maxFrameKeys || k.find(k.Current) == nil {
		return frameKeys{}, &StateError{Path: path, Reason: "want one or two keys, with the current one among them"}
	}
	if len(k.Keys) == maxFrameKeys && k.Keys[0].ID == k.Keys[1].ID {
		return frameKeys{}, &StateError{Path: path, Reason: "both keys have the same id"}
	}
	for _, key := range k.Keys {
		if len(key.Secret) != secretBytes {
			return frameKeys{}, &StateError{Path: path, Reason: fmt.Sprintf("key %d has %d bytes, want %d", key.ID, len(key.Secret), secretBytes)}
		}
	}
	return k, nil
}

// LoadFrameKeys reads the frame keys from the folder of a VM.
func LoadFrameKeys(dir string) (*frame.Keys, error) {
	k, err := readFrameKeys(filepath.Join(dir, frameFile))
	if err != nil {
		return nil, err
	}
	loaded := &frame.Keys{Current: k.Current, Secrets: make(map[uint8]frame.Secret, len(k.Keys))}
	for _, key := range k.Keys {
		s := frame.Secret{K0: binary.BigEndian.Uint64(key.Secret), K1: binary.BigEndian.Uint64(key.Secret[8:])}
		copy(s.MAC[:], key.Secret[16:])
		loaded.Secrets[key.ID] = s
	}
	return loaded, nil
}

// Rotation is the result of a step of a rotation.
type Rotation struct {
	// Current seals; Other opens as well.
	Current, Other uint8
	// Folders are the VM folders that were updated and have to be copied to
	// their VMs before the next step.
	Folders []string
}

// StageFrameKey adds the next key, which opens frames but does not seal them
// yet, in place of the key before the current one.
func StageFrameKey(dir string) (Rotation, error) {
	return rotate(dir, func(k *frameKeys) error {
		next := k.Current + 1
		if k.find(next) != nil {
			return &StateError{Path: filepath.Join(dir, frameFile), Reason: fmt.Sprintf("key %d is staged already; copy it to all VMs, then activate it", next)}
		}
		k.Keys = []frameKey{*k.find(k.Current), newFrameKey(next)}
		return nil
	})
}

// ActivateFrameKey makes the staged key seal. Every VM must have the staged
// key before, or it drops the frames of those that use it.
func ActivateFrameKey(dir string) (Rotation, error) {
	return rotate(dir, func(k *frameKeys) error {
		next := k.Current + 1
		if k.find(next) == nil {
			return &StateError{Path: filepath.Join(dir, frameFile), Reason: "no key is staged"}
		}
		k.Current = next
		return nil
	})
}

// rotate changes the keys of the cluster folder, then those of the VM folders.
// It refuses while VM folders differ from the cluster folder, because an
// interrupted step must be finished before the next one.
func rotate(dir string, change func(*frameKeys) error) (Rotation, error) {
	path := filepath.Join(dir, frameFile)
	k, err := readFrameKeys(path)
	if err != nil {
		return Rotation{}, err
	}
	repaired, err := distribute(dir)
	if err != nil {
		return Rotation{}, err
	}
	if len(repaired) > 0 {
		return Rotation{}, &StateError{Path: path, Reason: fmt.Sprintf("an interrupted step was finished in %v; copy these folders to their VMs, then repeat the command", repaired)}
	}
	if err := change(&k); err != nil {
		return Rotation{}, err
	}
	if err := writeFrameKeys(path, k); err != nil {
		return Rotation{}, err
	}
	r := Rotation{Current: k.Current}
	for _, key := range k.Keys {
		if key.ID != k.Current {
			r.Other = key.ID
		}
	}
	r.Folders, err = distribute(dir)
	return r, err
}

// distribute copies the frame keys to the VM folders whose copy differs.
func distribute(dir string) ([]string, error) {
	copies, err := filepath.Glob(filepath.Join(dir, vmFolder, "*", frameFile))
	if err != nil {
		return nil, err
	}
	want, err := os.ReadFile(filepath.Join(dir, frameFile))
	if err != nil {
		return nil, err
	}
	var updated []string
	for _, path := range copies {
		have, err := os.ReadFile(path)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return updated, err
		}
		if bytes.Equal(have, want) {
			continue
		}
		if err := durable.ReplaceFile(path, want, privateMode); err != nil {
			return updated, err
		}
		updated = append(updated, filepath.Dir(path))
	}
	return updated, nil
}

// copySecrets checks the secrets of the cluster folder and copies them.
func copySecrets(dir, folder string) error {
	if _, err := LoadFrameKeys(dir); err != nil {
		return err
	}
	if _, err := LoadFlowHasher(dir); err != nil {
		return err
	}
	for _, name := range []string{flowFile, frameFile} {
		content, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		if err := durable.ReplaceFile(filepath.Join(folder, name), content, privateMode); err != nil {
			return err
		}
	}
	return nil
}
