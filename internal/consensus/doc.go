// Package consensus implements the Raft algorithm for one replica of a
// replicated log. It includes pre-vote, a periodic quorum check of the leader,
// read-index reads, learners, membership changes of one replica at a time and
// snapshots.
//
// The package does no I/O. The owner of a Core passes in the time, received
// messages and proposals. It processes each Output in this order:
//
//  1. Persist Snapshot, Entries and HardState. They must be synced to disk before
//     step 2.
//  2. Send Messages.
//  3. Call Persisted.
//  4. If InstallSnapshot is set, replace the applied state by Snapshot.
//  5. Apply Committed.
//  6. Complete Reads.
//
// Terms that have a particular meaning in this package:
//
//   - Incarnation: the lifetime of a replica's disk. A restart keeps the
//     incarnation, because it is stored in the hard state. A replica whose disk was
//     wiped starts a new incarnation.
//   - Peer: a VM that takes part in the bootstrap (Options.Peers).
//   - Empty disk: a disk without stored state, on a new VM or after a wipe.
//   - Without a cluster: a replica whose HardState.ClusterID is zero. A replica with
//     an empty disk starts in this state.
//   - Follower: in the role, a replica that is neither candidate nor leader. In the
//     replication code of the leader, any other replica of the configuration,
//     including learners.
//   - Eligible for promotion: a learner that has all committed entries and lacks at
//     most maxPromotionLag entries of the leader's log. The target of a leadership
//     transfer, in contrast, must have all entries of the leader's log.
//   - Reject: a follower rejects a request of a leader. A replica also rejects a
//     proposal or a read that it cannot accept.
package consensus
