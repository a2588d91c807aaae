package fabric

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/durable"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// knownProcessesFile is the name of the file in the data folder.
	knownProcessesFile = "processes"
	knownProcessesMode = 0o600
	// knownProcessesInterval is the least time between two writes of the file. A process
	// that is missing from it learns of this control process from the seeds instead.
	knownProcessesInterval = 5 * time.Second
)

// knownProcess is a process in the directory of a control process.
type knownProcess struct {
	_ struct{} `cbor:",toarray"`

	Role    vm.Role
	Address netip.Addr
}

// knownProcesses keeps the addresses of the other processes on the disk of a control
// process, so that it can announce itself to them when it starts again.
//
// Load pattern: all VMs lose power. Balancers and agents know only the seeds from their
// settings when they are back. Control processes that are no seeds had the desired
// state 0.3 s before the seeds ran, and nobody asked them.
type knownProcesses struct {
	path      string
	list      []knownProcess
	writtenAt time.Time
	// writing is set while a goroutine writes the file.
	writing bool
}

// load reads the file. A file that does not exist lists no processes.
func (k *knownProcesses) load() error {
	content, err := os.ReadFile(k.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read known processes: %w", err)
	}
	if err := cbor.Unmarshal(content, &k.list); err != nil {
		return fmt.Errorf("decode known processes in %s: %w", k.path, err)
	}
	return nil
}

// update sets the list from the directory. It reports whether the file must be written.
func (k *knownProcesses) update(now time.Time, table *directory.Table, self netip.Addr) bool {
	if k.writing || now.Sub(k.writtenAt) < knownProcessesInterval {
		return false
	}
	var list []knownProcess
	for _, role := range []vm.Role{vm.RoleBalancer, vm.RoleUpstream, vm.RoleControl} {
		table.Entries(role, func(entry *directory.Entry) {
			if role != vm.RoleControl || entry.Address != self {
				list = append(list, knownProcess{Role: role, Address: entry.Address})
			}
		})
	}
	slices.SortFunc(list, func(a, b knownProcess) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), a.Address.Compare(b.Address))
	})
	if slices.Equal(list, k.list) {
		return false
	}
	k.list, k.writtenAt, k.writing = list, now, true
	return true
}

// announce sends the status of this control process to the processes that it knew
// before it started. A process that does not know it responds with its record.
func (c *Control) announce() {
	if !c.hasReplica() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.known.load(); err != nil {
		c.Log.WithError(err).Warn("not announced to known processes; they learn of this process from the seeds")
		return
	}
	status := c.directoryServer.Status()
	for _, process := range c.known.list {
		c.sendSyncResponses([]directory.AddressedResponse{{Role: process.Role, To: process.Address, SyncResponse: status}})
	}
	c.Log.WithField("processes", len(c.known.list)).Info("announced to known processes")
}

// saveKnownProcesses writes the known processes if they have changed. It is called with
// the lock held. A slow or full disk must not hold up anything else, so a goroutine
// writes the file.
func (c *Control) saveKnownProcesses(now time.Time) {
	if !c.hasReplica() || !c.known.update(now, c.directoryServer.Table(), c.cfg.Address) {
		return
	}
	content, err := cbor.Marshal(c.known.list)
	if err != nil {
		c.known.writing = false
		c.Log.WithError(err).Error("known processes not written")
		return
	}
	go func() {
		err := durable.ReplaceFile(c.known.path, content, knownProcessesMode)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.known.writing = false
		if err != nil {
			c.known.list = nil
			c.Log.WithError(err).Warn("known processes not written")
		}
	}()
}

// knownProcessesPath returns the path of the file in the data folder.
func knownProcessesPath(dataFolder string) string {
	return filepath.Join(dataFolder, knownProcessesFile)
}
