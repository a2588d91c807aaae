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
	vmFolder  = "vm"         // folder that contains the folders of the VMs
)

const (
	publicMode   = 0o644
	privateMode  = 0o600
	folderMode   = 0o700
	nonOwnerMask = 0o077
)

// FileError reports a file that is invalid or that prevents the operation.
type FileError struct {
	Path   string
	Reason string
}

func (e *FileError) Error() string { return e.Path + ": " + e.Reason }

// readPrivateFile reads a file. It rejects a file that other users can access.
func readPrivateFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&nonOwnerMask != 0 {
		return nil, &FileError{Path: path, Reason: fmt.Sprintf("mode is %04o, want %04o: others can read the private key", info.Mode().Perm(), privateMode)}
	}
	return os.ReadFile(path)
}
