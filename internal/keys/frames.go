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
	// frameSecretBytes is the size of K0, K1 and MAC of a frame.Secret, in this
	// order. K0 and K1 are in big endian.
	frameSecretBytes = 8 + 8 + 32
	// maxFrameKeys counts the current key, which seals and opens frames, and the
	// previous or next key, which only opens them.
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
	key := frameKey{ID: id, Secret: make([]byte, frameSecretBytes)}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(key.Secret)
	return key
}

func newFrameKeys() frameKeys {
	const firstID = 1
	return frameKeys{Current: firstID, Keys: []frameKey{newFrameKey(firstID)}}
}

func (k *frameKeys) keyByID(id uint8) *frameKey {
	for i := range k.Keys {
		if k.Keys[i].ID == id {
			return &k.Keys[i]
		}
	}
	return nil
}

func writeFrameKeys(path string, keys frameKeys) error {
	text, err := json.MarshalIndent(keys, "", "  ")
	if err != nil {
		return err
	}
	return durable.ReplaceFile(path, append(text, '\n'), privateMode)
}

func readFrameKeys(path string) (frameKeys, error) {
	text, err := readPrivateFile(path)
	if err != nil {
		return frameKeys{}, fmt.Errorf("load frame keys: %w", err)
	}
	var keys frameKeys
	if err := json.Unmarshal(text, &keys); err != nil {
		return frameKeys{}, &FileError{Path: path, Reason: err.Error()}
	}
	if len(keys.Keys) < 1 || len(keys.Keys) > maxFrameKeys || keys.keyByID(keys.Current) == nil {
		return frameKeys{}, &FileError{Path: path, Reason: "want one or two keys, with the current one among them"}
	}
	if len(keys.Keys) == maxFrameKeys && keys.Keys[0].ID == keys.Keys[1].ID {
		return frameKeys{}, &FileError{Path: path, Reason: "both keys have the same id"}
	}
	for _, key := range keys.Keys {
		if len(key.Secret) != frameSecretBytes {
			return frameKeys{}, &FileError{Path: path, Reason: fmt.Sprintf("key %d has %d bytes, want %d", key.ID, len(key.Secret), frameSecretBytes)}
		}
	}
	return keys, nil
}

// LoadFrameKeys reads the frame keys from the folder of a VM.
func LoadFrameKeys(folder string) (*frame.Keys, error) {
	keys, err := readFrameKeys(filepath.Join(folder, frameFile))
	if err != nil {
		return nil, err
	}
	loaded := &frame.Keys{Current: keys.Current, Secrets: make(map[uint8]frame.Secret, len(keys.Keys))}
	for _, key := range keys.Keys {
		secret := frame.Secret{K0: binary.BigEndian.Uint64(key.Secret), K1: binary.BigEndian.Uint64(key.Secret[8:])}
		copy(secret.MAC[:], key.Secret[16:])
		loaded.Secrets[key.ID] = secret
	}
	return loaded, nil
}

// Rotation is the result of a step of a rotation.
type Rotation struct {
	// Current is the id of the key that seals and opens frames. Other is the id of
	// the key that only opens them.
	Current, Other uint8
	// Folders are the updated VM folders. They have to be copied to their VMs before
	// the next step.
	Folders []string
}

// StageFrameKey replaces the previous key by the next key. The next key opens frames
// but does not seal them before it is activated.
func StageFrameKey(clusterFolder string) (Rotation, error) {
	return rotateFrameKeys(clusterFolder, func(k *frameKeys) error {
		next := k.Current + 1
		if k.keyByID(next) != nil {
			return &FileError{Path: filepath.Join(clusterFolder, frameFile), Reason: fmt.Sprintf("key %d is staged already; copy it to all VMs, then activate it", next)}
		}
		k.Keys = []frameKey{*k.keyByID(k.Current), newFrameKey(next)}
		return nil
	})
}

// ActivateFrameKey makes the staged key the current key, which seals frames. Every VM
// must have the staged key before. A VM without it drops the frames of VMs that seal
// with it.
func ActivateFrameKey(clusterFolder string) (Rotation, error) {
	return rotateFrameKeys(clusterFolder, func(k *frameKeys) error {
		next := k.Current + 1
		if k.keyByID(next) == nil {
			return &FileError{Path: filepath.Join(clusterFolder, frameFile), Reason: "no key is staged"}
		}
		k.Current = next
		return nil
	})
}

// rotateFrameKeys changes the keys of the cluster folder and then copies them to the
// VM folders. If VM folders differ from the cluster folder, the previous step was
// interrupted. That step is finished instead, and an error is returned.
func rotateFrameKeys(clusterFolder string, change func(*frameKeys) error) (Rotation, error) {
	path := filepath.Join(clusterFolder, frameFile)
	keys, err := readFrameKeys(path)
	if err != nil {
		return Rotation{}, err
	}
	finished, err := updateVMFolders(clusterFolder)
	if err != nil {
		return Rotation{}, err
	}
	if len(finished) > 0 {
		return Rotation{}, &FileError{Path: path, Reason: fmt.Sprintf("an interrupted step was finished in %v; copy these folders to their VMs, then repeat the command", finished)}
	}
	if err := change(&keys); err != nil {
		return Rotation{}, err
	}
	if err := writeFrameKeys(path, keys); err != nil {
		return Rotation{}, err
	}
	rotation := Rotation{Current: keys.Current}
	for _, key := range keys.Keys {
		if key.ID != keys.Current {
			rotation.Other = key.ID
		}
	}
	rotation.Folders, err = updateVMFolders(clusterFolder)
	return rotation, err
}

// updateVMFolders copies the frame keys of the cluster folder to the VM folders whose
// copy differs. It returns these VM folders.
func updateVMFolders(clusterFolder string) ([]string, error) {
	vmKeyFiles, err := filepath.Glob(filepath.Join(clusterFolder, vmFolder, "*", frameFile))
	if err != nil {
		return nil, err
	}
	clusterKeys, err := os.ReadFile(filepath.Join(clusterFolder, frameFile))
	if err != nil {
		return nil, err
	}
	var updated []string
	for _, path := range vmKeyFiles {
		vmKeys, err := os.ReadFile(path)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return updated, err
		}
		if bytes.Equal(vmKeys, clusterKeys) {
			continue
		}
		if err := durable.ReplaceFile(path, clusterKeys, privateMode); err != nil {
			return updated, err
		}
		updated = append(updated, filepath.Dir(path))
	}
	return updated, nil
}

// copySecrets checks the frame keys and the flow hash secret of the cluster folder
// and copies them to a VM folder.
func copySecrets(clusterFolder, folder string) error {
	if _, err := LoadFrameKeys(clusterFolder); err != nil {
		return err
	}
	if _, err := LoadFlowHasher(clusterFolder); err != nil {
		return err
	}
	for _, name := range []string{flowFile, frameFile} {
		content, err := os.ReadFile(filepath.Join(clusterFolder, name))
		if err != nil {
			return err
		}
		if err := durable.ReplaceFile(filepath.Join(folder, name), content, privateMode); err != nil {
			return err
		}
	}
	return nil
}
