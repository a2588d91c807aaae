package keys

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
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

// writeFile replaces a file as a whole: after a crash there is either the old
// or the new content, and never a private key that others can read.
func writeFile(path string, content []byte, mode os.FileMode) (err error) {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, "."+filepath.Base(path)+"-*")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("write %s: %w", path, errors.Join(err, os.Remove(f.Name())))
		}
	}()
	_, err = f.Write(content)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return err
	}
	return syncFolder(dir)
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

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
