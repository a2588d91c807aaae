package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/logstore/logstoretest"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// raftGroup runs replicas that are opened again after each failure.
type raftGroup struct {
	t       *testing.T
	root    string
	ctx     context.Context
	running sync.WaitGroup
	peers   []vm.ID
	// compactEntries is the number of entries at which a snapshot replaces the log, and
	// maxBatchBytes the size of a batch, if it is set. maxChangeBytes is the largest size of a
	// change, if it is set.
	compactEntries uint64
	maxBatchBytes  int
	maxChangeBytes int
	// onChange is called with the states of all replicas, if it is set.
	onChange func(id vm.ID, state ReplicaState)

	mu    sync.Mutex
	nodes map[vm.ID]*RaftNode
	disks map[vm.ID]*logstoretest.FullDisk
}

func newRaftGroup(t *testing.T) *raftGroup {
	// The folder is removed after the replicas have stopped: cleanups run in reverse order.
	g := &raftGroup{
		t: t, root: t.TempDir(), compactEntries: 20, onChange: func(vm.ID, ReplicaState) {},
		nodes: map[vm.ID]*RaftNode{}, disks: map[vm.ID]*logstoretest.FullDisk{},
	}
	var cancel context.CancelFunc
	g.ctx, cancel = context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); g.running.Wait() })
	return g
}

// start starts replicas whose first voters bootstrap the group. The others join it.
func (g *raftGroup) start(voters, others int) {
	for i := range voters {
		g.peers = append(g.peers, replicaName(i))
	}
	for i := range voters + others {
		g.startReplica(i)
	}
}

func replicaName(i int) vm.ID { return vm.ID(fmt.Sprint("c", i)) }

// startReplica starts a replica and opens it again after each failure, until the test ends.
func (g *raftGroup) startReplica(i int) {
	id, disk := replicaName(i), &logstoretest.FullDisk{}
	g.disks[id] = disk
	options := consensus.DefaultOptions(consensus.ReplicaID{VM: id}, g.peers)
	options.ElectionTimeout, options.HeartbeatInterval = 150*time.Millisecond, 30*time.Millisecond
	options.TargetVoters, options.MaxVoters, options.ReplaceVoterAfter = 3, 5, 300*time.Millisecond
	options.NoBootstrap = i >= len(g.peers)
	if g.maxBatchBytes > 0 {
		options.MaxBatchBytes = g.maxBatchBytes
	}
	g.running.Go(func() {
		for g.ctx.Err() == nil {
			err := g.runReplica(options, filepath.Join(g.root, string(id)), disk)
			var writeErr *logstore.WriteError
			if g.ctx.Err() == nil && !errors.As(err, &writeErr) && !errors.Is(err, syscall.ENOSPC) {
				g.t.Errorf("replica %s: %v", id, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (g *raftGroup) runReplica(options consensus.Options, folder string, disk *logstoretest.FullDisk) error {
	files, err := logstore.OpenFolder(folder)
	if err != nil {
		return err
	}
	options.Self.Incarnation = vm.Incarnation(time.Now().UnixNano())
	node, err := OpenRaftNode(RaftOptions{
		Consensus: options, Files: disk.Wrap(files), Send: g.send, OnChange: func(state ReplicaState) { g.onChange(options.Self.VM, state) },
		CompactEntries: g.compactEntries, MaxChangeBytes: g.maxChangeBytes, Random: rand.New(rand.NewPCG(1, uint64(options.Self.Incarnation))),
	})
	if err != nil {
		return errors.Join(err, files.Close())
	}
	g.set(options.Self.VM, node)
	defer g.set(options.Self.VM, nil)
	return node.Run(g.ctx)
}

func (g *raftGroup) set(id vm.ID, node *RaftNode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[id] = node
}

func (g *raftGroup) send(messages []consensus.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range messages {
		if node := g.nodes[m.To.VM]; node != nil {
			node.Deliver(m)
		}
	}
}

// leader returns a replica that regards itself as the leader, or nil.
func (g *raftGroup) leader() *RaftNode {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, node := range g.nodes {
		if node != nil && node.State().Role == consensus.Leader {
			return node
		}
	}
	return nil
}

// propose proposes a desired state at the leader. It reports whether it was accepted
// within a second.
func (g *raftGroup) propose(version uint64) bool {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if leader := g.leader(); leader != nil {
			change := intent.Change{Kind: intent.KindDesired, Desired: &intent.DesiredState{Version: version, IdleTimeout: time.Second, Document: []byte("{}")}}
			encoded, err := EncodeChange(change)
			if err != nil {
				g.t.Errorf("encode change: %v", err)
				return false
			}
			if result, err := leader.Propose(ctx, encoded); err == nil && result.Outcome == intent.Accepted {
				return true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
