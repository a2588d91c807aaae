package fabric

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	replication "bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/logstore/logstoretest"
	"bramleyhold.example/bramleyhold/internal/loopback"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// A voter that was removed without notice must be replaced before its successor has run
// for CatchUp, whatever ReachableAfter is, and not during an election.
func TestReplaceVoterAfter(t *testing.T) {
	for _, c := range []struct{ reachableAfter, catchUp, want time.Duration }{
		{4 * time.Second, 4 * time.Second, 2 * time.Second},
		{5 * time.Second, 6 * time.Second, 3 * time.Second},
		{2 * time.Second, 6 * time.Second, 2 * time.Second},
		{4 * time.Second, 0, 4 * time.Second},
		{4 * time.Second, time.Second, minReplaceVoterAfter},
	} {
		control := &Control{node: &node{cfg: Config{ReachableAfter: c.reachableAfter, CatchUp: c.catchUp}}}
		require.Equal(t, c.want, control.replaceVoterAfter(), "%v", c)
	}
}

// Guards against a process that is killed while it hands over: half of the grace period
// must remain.
func TestHandOverTimeout(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		6 * time.Second: 3 * time.Second, 2 * time.Second: time.Second, time.Minute: 3 * time.Second, 0: 3 * time.Second,
	} {
		control := &Control{node: &node{cfg: Config{StopGracePeriod: grace}}}
		require.Equal(t, want, control.handOverTimeout(), "grace period %s", grace)
	}
}

// newTestControl returns a control process that is the only one of its deployment.
func newTestControl(t *testing.T) *Control {
	log := logrus.New()
	log.SetOutput(io.Discard)
	control, err := NewControl(Config{
		VM: "c", Address: loopback.Host, NodePort: 17720, ControlPort: 17721, Seeds: []netip.Addr{loopback.Host}, FirstStart: true, CountsAsLoss: true,
		MaxLosses: 1, DataFolder: t.TempDir(), ReachableAfter: 4 * time.Second,
	}, Dependencies{Log: logrus.NewEntry(log), Registry: metrics.NewRegistry(), Reload: func() (Config, error) { return Config{}, nil }})
	require.NoError(t, err)
	return control
}

// runControl runs a control process until the end of the test.
func runControl(t *testing.T, control *Control) {
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- control.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-stopped) })
}

// The zones of the directory must reach the replica, and the number of losses its options.
func TestZonesReachReplica(t *testing.T) {
	control := newTestControl(t)
	control.cfg.MaxZoneLosses = 2
	options := control.consensusOptions()
	require.Equal(t, 2, options.MaxZoneLosses)
	require.Equal(t, 5, options.TargetVoters, "two zones of three cannot be lost")
	control.directoryServer.Table().Put(time.Now(), &directory.Record{Role: vm.RoleControl, Address: control.cfg.Address, Zone: zone.ID{Region: "r", Name: "a"}, ProcessIncarnation: math.MaxUint64})
	runControl(t, control)
	gauge := metrics.GetOrRegisterGauge("replica.voters.largest_zone", control.Registry)
	require.Eventually(t, func() bool { return gauge.Value() == 1 }, 10*time.Second, 10*time.Millisecond)
}

// Guards against a process that names itself as the leader while its disk is full, and
// against a replica that knows no control process to join after its disk has room again.
func TestReplicaWithFullDisk(t *testing.T) {
	control := newTestControl(t)
	address := control.cfg.Address
	disk, folderFails := &logstoretest.FullDisk{}, atomic.Bool{}
	control.openFolder = func(path string) (logstore.FileSystem, error) {
		if folderFails.Load() {
			return nil, syscall.ENOSPC
		}
		files, err := logstore.OpenFolder(path)
		if err != nil {
			return nil, err
		}
		return disk.Wrap(files), nil
	}
	runControl(t, control)
	propose := func(version uint64) bool {
		_, err := control.Propose(t.Context(), &intent.DesiredState{Version: version, IdleTimeout: time.Second, Document: []byte("{}")})
		return err == nil
	}
	leader := func() netip.Addr {
		control.mu.Lock()
		defer control.mu.Unlock()
		return control.directoryServer.Leader
	}
	hasJoinPeers := func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return control.joinPeers.node != nil && control.joinPeers.node == control.raftNode.Load()
	}
	const timeout, interval = 10 * time.Second, 10 * time.Millisecond
	require.Eventually(t, func() bool { return propose(1) && leader() == address && hasJoinPeers() }, timeout, interval)
	first := control.raftNode.Load()
	disk.SetFull(true)
	folderFails.Store(true)
	require.False(t, propose(2))
	require.Eventually(t, func() bool { return !leader().IsValid() }, timeout, interval)
	disk.SetFull(false)
	folderFails.Store(false)
	require.Eventually(t, func() bool { return propose(3) && leader() == address && hasJoinPeers() }, timeout, interval)
	require.NotEqual(t, first, control.raftNode.Load())
}

// Guards against a change that is accepted and cannot be sent: the largest one must fit
// into a message between replicas, with the entries that are sent with it or, in a snapshot,
// with the history of changes.
func TestLargestChangeFitsIntoMessage(t *testing.T) {
	const headerBytes, historyBytes = 1 << 10, 64 << 10
	require.LessOrEqual(t, maxChangeBytes+max(maxBatchBytes, historyBytes)+headerBytes, maxPartsPerMessage*maxPartBytes)
}

// Guards against large desired states that are never acknowledged by a slow VM: the time to
// encode one must not count against the time that the majority has to commit it.
func TestSlowEncodingOfDesiredState(t *testing.T) {
	document := make([]byte, 600<<10) // Random bytes take long to compress.
	random := rand.New(rand.NewPCG(1, 8))
	for i := range document {
		document[i] = byte(random.Uint32())
	}
	desired := &intent.DesiredState{Version: 1, IdleTimeout: time.Second, Document: document}
	startedAt := time.Now()
	_, err := replication.EncodeChange(intent.Change{Kind: intent.KindDesired, Desired: desired})
	require.NoError(t, err)
	control := newTestControl(t)
	control.requestTimeout = time.Since(startedAt) / 2
	runControl(t, control)
	require.Eventually(t, func() bool {
		state := control.replicaState.Load()
		return state != nil && leaderAddress(state) == control.cfg.Address
	}, 10*time.Second, 10*time.Millisecond, "no leader")
	const attempts = 5
	for range attempts {
		startedAt := time.Now()
		if _, err = control.Propose(t.Context(), desired); err == nil && time.Since(startedAt) > control.requestTimeout {
			return
		}
	}
	t.Fatalf("no change was accepted whose encoding takes longer than the majority has: %v", err)
}
