package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/logstore/logstoretest"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// raftGroup runs replicas that are opened again after each failure.
type raftGroup struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[vm.ID]*RaftNode
	disks map[vm.ID]*logstoretest.FullDisk
}

// newRaftGroup starts replicas whose first voters bootstrap the group. The others join it.
func newRaftGroup(t *testing.T, voters, others int) *raftGroup {
	g := &raftGroup{t: t, nodes: map[vm.ID]*RaftNode{}, disks: map[vm.ID]*logstoretest.FullDisk{}}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var peers []vm.ID
	for i := range voters {
		peers = append(peers, vm.ID(fmt.Sprint("c", i)))
	}
	for i := range voters + others {
		id, folder, disk := vm.ID(fmt.Sprint("c", i)), t.TempDir(), &logstoretest.FullDisk{}
		g.disks[id] = disk
		options := consensus.DefaultOptions(consensus.ReplicaID{VM: id}, peers)
		options.ElectionTimeout, options.HeartbeatInterval = 150*time.Millisecond, 30*time.Millisecond
		options.TargetVoters, options.MaxVoters, options.ReplaceVoterAfter = 3, 5, 300*time.Millisecond
		options.NoBootstrap = i >= voters
		running.Go(func() {
			for ctx.Err() == nil {
				err := g.runReplica(ctx, options, folder, disk)
				var writeErr *logstore.WriteError
				if ctx.Err() == nil && !errors.As(err, &writeErr) && !errors.Is(err, syscall.ENOSPC) {
					t.Errorf("replica %s: %v", id, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return g
}

func (g *raftGroup) runReplica(ctx context.Context, options consensus.Options, folder string, disk *logstoretest.FullDisk) error {
	files, err := logstore.OpenFolder(folder)
	if err != nil {
		return err
	}
	options.Self.Incarnation = vm.Incarnation(time.Now().UnixNano())
	node, err := OpenRaftNode(RaftOptions{
		Consensus: options, Files: disk.Wrap(files), Send: g.send, OnChange: func(ReplicaState) {},
		CompactEntries: 20, Random: rand.New(rand.NewPCG(1, uint64(options.Self.Incarnation))),
	})
	if err != nil {
		return errors.Join(err, files.Close())
	}
	g.set(options.Self.VM, node)
	defer g.set(options.Self.VM, nil)
	return node.Run(ctx)
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

// propose proposes a desired state at the leader. It reports whether it was accepted
// within a second.
func (g *raftGroup) propose(version uint64) bool {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	for ctx.Err() == nil {
		g.mu.Lock()
		var leader *RaftNode
		for _, node := range g.nodes {
			if node != nil && node.State().Role == consensus.Leader {
				leader = node
			}
		}
		g.mu.Unlock()
		if leader != nil {
			change := intent.Change{Kind: intent.KindDesired, Desired: &intent.DesiredState{Version: version, IdleTimeout: time.Second, Document: []byte("{}")}}
			if result, err := leader.Propose(ctx, change); err == nil && result.Outcome == intent.Accepted {
				return true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// Guards against changes that stay unanswered after full disks: the disks are full for a
// while one after the other, never two at once, while changes are made. While one is full
// and after the last one has room again, changes must be accepted.
func TestDisksFullInTurn(t *testing.T) {
	for _, others := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(others, " other replicas"), func(t *testing.T) {
			t.Parallel()
			g := newRaftGroup(t, 3, others)
			random := rand.New(rand.NewPCG(uint64(others), 5))
			require.Eventually(t, func() bool { return g.propose(1) }, 10*time.Second, time.Millisecond)
			version := uint64(1)
			for range 3 {
				for i := range 3 + others {
					disk := g.disks[vm.ID(fmt.Sprint("c", i))]
					disk.SetFull(true)
					for end := time.Now().Add(time.Duration(300+random.IntN(600)) * time.Millisecond); time.Now().Before(end); {
						version++
						g.propose(version)
					}
					disk.SetFull(false)
					time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				}
			}
			for range 20 {
				version++
				require.Eventually(t, func() bool { return g.propose(version) }, 5*time.Second, time.Millisecond, "version %d", version)
			}
		})
	}
}
