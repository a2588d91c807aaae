package keys

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"path/filepath"

	"bramleyhold.example/bramleyhold/internal/durable"
	"bramleyhold.example/bramleyhold/internal/flow"
)

// flowSecretBytes is the size of K0 and K1 of a flow.Hasher, in big endian.
const flowSecretBytes = 8 + 8

// flowSecret is the content of the flow hash file. It is separate from the frame keys
// because it is not rotated: another secret would change the home of every flow. The
// home is the member that rendezvous hashing ranks first for a flow.
type flowSecret struct {
	Secret []byte `json:"secret"`
}

func writeFlowSecret(path string) error {
	secret := flowSecret{Secret: make([]byte, flowSecretBytes)}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret.Secret)
	text, err := json.Marshal(secret)
	if err != nil {
		return err
	}
	return durable.ReplaceFile(path, append(text, '\n'), privateMode)
}

// LoadFlowHasher reads the secret of flow hashes from the folder of a VM. All
// processes of a cluster have the same secret.
func LoadFlowHasher(folder string) (flow.Hasher, error) {
	path := filepath.Join(folder, flowFile)
	text, err := readPrivateFile(path)
	if err != nil {
		return flow.Hasher{}, fmt.Errorf("load flow hash secret: %w", err)
	}
	var secret flowSecret
	if err := json.Unmarshal(text, &secret); err != nil {
		return flow.Hasher{}, &FileError{Path: path, Reason: err.Error()}
	}
	if len(secret.Secret) != flowSecretBytes {
		return flow.Hasher{}, &FileError{Path: path, Reason: fmt.Sprintf("secret has %d bytes, want %d", len(secret.Secret), flowSecretBytes)}
	}
	return flow.Hasher{K0: binary.BigEndian.Uint64(secret.Secret), K1: binary.BigEndian.Uint64(secret.Secret[8:])}, nil
}
