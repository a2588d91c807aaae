package fabric

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// electionTimeout must be several times the sum of the largest delay between
	// zones and a sync on a slow disk.
	electionTimeout   = 600 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
	// replicaReopenDelay is the delay before a replica that has failed is opened
	// again, for example after a failed disk write.
	replicaReopenDelay = 300 * time.Millisecond
	// leadershipTransferTimeout bounds how long a stopping leader waits until another
	// replica leads.
	leadershipTransferTimeout = 2 * time.Second
	// leaveTimeout bounds how long a stopping replica waits until another one votes in its
	// place.
	leaveTimeout = time.Second
	// maxBatchBytes and maxInflightBatches bound the entries that are sent at once to a
	// replica that lacks many.
	maxBatchBytes      = 64 << 10
	maxInflightBatches = 4
	// maxChangeBytes bounds a change of the desired state, compressed. The rest of the largest
	// message is for the entries that are sent with it, and for the snapshot, which has the
	// history of changes besides the desired state.
	maxChangeBytes = 1 << 20
	// minReplaceVoterAfter exceeds the time without responses in an election.
	minReplaceVoterAfter = 2 * electionTimeout
	// minVoters is the smallest number of voters that keeps a majority after the loss
	// of one.
	minVoters = 3
)

// joinPeers are the control processes that were passed to a replica. They can admit it.
type joinPeers struct {
	node      *control.RaftNode
	addresses []netip.Addr
	// zones has the availability zone of each.
	zones map[vm.ID]zone.ID
}

// handOver transfers the leadership and the vote of the replica to others. The VM may be
// removed for good after this stop, together with others whose successors run.
func (c *Control) handOver(ctx context.Context) {
	raft := c.raftNode.Load()
	if raft == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.handOverTimeout())
	defer cancel()
	transferCtx, cancelTransfer := context.WithTimeout(ctx, leadershipTransferTimeout)
	raft.TransferLeadership(transferCtx)
	cancelTransfer()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	if err := raft.Leave(leaveCtx); err != nil {
		c.Log.WithError(err).Warn("stopping as a voter: no other replica has taken the place in time")
	}
}

// handOverTimeout returns how long a stopping replica may take to hand over. The rest of
// StopGracePeriod is for the end of the process.
func (c *Control) handOverTimeout() time.Duration {
	longest := leadershipTransferTimeout + leaveTimeout
	if half := c.cfg.StopGracePeriod / 2; half > 0 {
		return min(half, longest)
	}
	return longest
}

// runReplica runs the replica until the context ends, and opens it again after a
// failure such as a failed disk write. That is safe, because everything that the
// replica has acknowledged is on the disk.
func (c *Control) runReplica(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.openAndRunReplica(ctx)
		c.replicaClosed()
		if ctx.Err() != nil {
			return
		}
		c.Log.WithError(err).Error("replica stopped; opening it again")
		select {
		case <-ctx.Done():
		case <-time.After(replicaReopenDelay):
		}
	}
}

// replicaClosed withdraws what this process told others about its replica. It may have
// been the leader.
func (c *Control) replicaClosed() {
	c.raftNode.Store(nil)
	c.replicaState.Store(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directoryServer.Leader = netip.Addr{}
	c.terms.withdraw()
	c.joinPeers = joinPeers{zones: c.joinPeers.zones}
}

func (c *Control) openAndRunReplica(ctx context.Context) error {
	files, err := c.openFolder(c.cfg.DataFolder)
	if err != nil {
		return err
	}
	raft, err := control.OpenRaftNode(control.RaftOptions{
		Consensus: c.consensusOptions(), Files: c.withSyncTiming(files), Send: c.sendConsensusMessages, OnChange: c.handleStateChange,
		MaxChangeBytes: maxChangeBytes, Random: newRandom(),
	})
	if err != nil {
		return errors.Join(err, files.Close())
	}
	c.handleStateChange(raft.State())
	c.raftNode.Store(raft)
	return raft.Run(ctx)
}

// withSyncTiming records the duration of disk syncs. A slow sync delays every
// proposal.
func (c *Control) withSyncTiming(files logstore.FileSystem) logstore.FileSystem {
	return logstore.WithSyncTiming(files, func(took time.Duration) { c.recordDuration("disk.syncs.us", took) })
}

// replicaID returns the ID of a replica: the address of its control process.
func replicaID(address netip.Addr) vm.ID { return vm.ID(address.String()) }

func (c *Control) consensusOptions() consensus.Options {
	self := consensus.ReplicaID{VM: replicaID(c.cfg.Address), Incarnation: vm.Incarnation(time.Now().UnixNano())}
	var peers []vm.ID
	for _, seed := range c.cfg.Seeds {
		if id := replicaID(seed); !slices.Contains(peers, id) {
			peers = append(peers, id)
		}
	}
	options := consensus.DefaultOptions(self, peers)
	options.NoBootstrap = !c.cfg.FirstStart
	options.MaxZoneLosses = c.cfg.MaxZoneLosses
	options.TargetVoters = max(2*max(c.cfg.MaxLosses, c.cfg.MaxZoneLosses)+1, minVoters)
	options.MaxVoters = 2*options.TargetVoters - 1
	options.ReplaceVoterAfter = c.replaceVoterAfter()
	options.ElectionTimeout, options.HeartbeatInterval = electionTimeout, heartbeatInterval
	options.MaxBatchBytes, options.MaxInflightBatches = maxBatchBytes, maxInflightBatches
	return options
}

// replaceVoterAfter returns how long a voter may be unresponsive before a learner
// replaces it. The successor of a VM that was removed without notice must have its vote
// within CatchUp. Half of that time remains for its admission and for the log.
func (c *Control) replaceVoterAfter() time.Duration {
	if half := c.cfg.CatchUp / 2; half > 0 && half < c.cfg.ReachableAfter {
		return max(half, minReplaceVoterAfter)
	}
	return c.cfg.ReachableAfter
}

// recordCatchUp records how long this replica was no voter. It runs in the goroutine of
// the replica.
func (c *Control) recordCatchUp(now time.Time, state *control.ReplicaState) {
	isVoter := slices.ContainsFunc(state.Voters, func(r consensus.ReplicaID) bool { return r == state.Self })
	switch {
	case !isVoter && c.learnerSince.IsZero():
		c.learnerSince = now
	case isVoter && !c.learnerSince.IsZero():
		took := now.Sub(c.learnerSince)
		c.learnerSince = time.Time{}
		c.recordDuration("replica.catch_up.us", took)
		c.Log.WithFields(logrus.Fields{"took_ms": took.Milliseconds(), "snapshot_index": state.SnapshotIndex, "applied": state.Applied}).Info("replica votes")
	}
}

func replicaNames(replicas []consensus.ReplicaID) []string {
	names := make([]string, 0, len(replicas))
	for _, r := range replicas {
		names = append(names, r.String())
	}
	return names
}

// updateJoinPeers passes the addresses and the zones of all control processes in the
// directory to the replica. They can admit it to the group.
func (c *Control) updateJoinPeers() {
	raft := c.raftNode.Load()
	if raft == nil {
		return
	}
	var addresses []netip.Addr
	zones := map[vm.ID]zone.ID{}
	c.directoryServer.Table().Entries(vm.RoleControl, func(e *directory.Entry) {
		addresses = append(addresses, e.Address)
		if !e.Zone.IsZero() {
			zones[replicaID(e.Address)] = e.Zone
		}
	})
	slices.SortFunc(addresses, netip.Addr.Compare)
	if raft == c.joinPeers.node && slices.Equal(addresses, c.joinPeers.addresses) && maps.Equal(zones, c.joinPeers.zones) {
		return
	}
	c.joinPeers = joinPeers{node: raft, addresses: addresses, zones: zones}
	ids := make([]vm.ID, 0, len(addresses))
	for _, a := range addresses {
		ids = append(ids, replicaID(a))
	}
	raft.SetJoinPeers(ids)
	raft.SetZones(zones)
	c.recordVotersByZone(c.replicaState.Load())
}

// unknownZone stands for the zone of a replica whose control process is not in the
// directory.
const unknownZone = "unknown"

// recordVotersByZone sets the gauge of the zone with the most voters, and returns the
// numbers of voters by zone. It is called with the lock held.
func (c *Control) recordVotersByZone(state *control.ReplicaState) map[string]int {
	perZone, largest := map[string]int{}, 0
	if state == nil {
		return perZone
	}
	for _, r := range state.Voters {
		id, ok := c.joinPeers.zones[r.VM]
		if !ok {
			perZone[unknownZone]++
			continue
		}
		perZone[id.String()]++
		largest = max(largest, perZone[id.String()])
	}
	c.setGauge("replica.voters.largest_zone", largest)
	return perZone
}
