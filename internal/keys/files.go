package keys

import (
	"fmt"
	"os"
)

// The files of the cluster folder and of the folder of each VM.
const (
	caFile    = "ca.pem"     // certificate of the cluster CA
	caKeyFile = "ca.key"     // private key of the CA; cluster folder only
	tlsFile   = "tls.pem"    // certificate and private key of one VM
	frameFile = "frame.json" // frame keys
	flowFile  = "flow.json"  // secret of flow hashes
	vmFolder  = "vm"         // folder of the VM folders
)

const (
	publicMode  = 0o644
	privateMode = 0o600
	folderMode  = 0o700
	othersMask  = 0o077
)

// StateError reports that the files do not allow the operation.
type StateError struct {
	Path   string
	Reason string
}

func (e *StateError) Error() string { return e.Path + ": " + e.Reason }

// readPrivate refuses a file that others can read.
func readPrivate(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&othersMask != 0 {
		return nil, &StateError{Path: path, Reason: fmt.Sprintf("mode is %04o, want %04o: others can read the private key", info.Mode().Perm(), privateMode)}
	}
	return os.ReadFile(path)
}
