package fabric

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// After a loss of power a control process must know the processes to announce itself to.
// It must not list itself, and must not write its disk more often than needed.
func TestKnownProcessesAreListedAgainAfterARestart(t *testing.T) {
	now := time.Unix(1000, 0)
	self := netip.MustParseAddr("10.0.0.1")
	table := directory.NewTable()
	put := func(role vm.Role, address string) {
		table.Put(now, &directory.Record{Role: role, Address: netip.MustParseAddr(address), ProcessIncarnation: 1, Revision: 1, Status: view.Ready})
	}
	put(vm.RoleControl, "10.0.0.1")
	put(vm.RoleControl, "10.0.0.2")
	put(vm.RoleBalancer, "10.0.0.1")
	put(vm.RoleUpstream, "10.0.0.9")

	known := knownProcesses{path: filepath.Join(t.TempDir(), knownProcessesFile)}
	require.NoError(t, known.load(), "no file yet")
	require.Empty(t, known.list)
	require.True(t, known.update(now, table, self))
	want := []knownProcess{
		{Role: vm.RoleBalancer, Address: self}, {Role: vm.RoleControl, Address: netip.MustParseAddr("10.0.0.2")}, {Role: vm.RoleUpstream, Address: netip.MustParseAddr("10.0.0.9")},
	}
	require.ElementsMatch(t, want, known.list)
	content, err := cbor.Marshal(known.list)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(known.path, content, knownProcessesMode))

	put(vm.RoleUpstream, "10.0.0.10")
	require.False(t, known.update(now.Add(time.Minute), table, self), "the last write has not ended")
	known.writing = false
	require.False(t, known.update(now.Add(time.Second), table, self), "too soon after the last write")
	require.True(t, known.update(now.Add(knownProcessesInterval), table, self))
	known.writing = false
	require.False(t, known.update(now.Add(time.Hour), table, self), "nothing has changed")

	restarted := knownProcesses{path: known.path}
	require.NoError(t, restarted.load())
	require.ElementsMatch(t, want, restarted.list)
}

// A file that a loss of power has damaged must be reported, and must not stop the
// process: it only announces itself to nobody.
func TestDamagedKnownProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), knownProcessesFile)
	require.NoError(t, os.WriteFile(path, []byte{0x83, 0xff}, knownProcessesMode))
	known := knownProcesses{path: path}
	require.ErrorContains(t, known.load(), path)
	require.Empty(t, known.list)
}
