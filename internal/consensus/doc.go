// Package consensus implements the Raft algorithm for one replica of a
// replicated log. It includes pre-vote, a periodic quorum check of the leader,
// read-index reads, learners, membership changes of one replica at a time and
// snapshots.
//
// The package does no I/O. The owner of a Core passes in the time, received
// messages and proposals. It processes each Output in this order:
//
//  1. Persist Snapshot, Entries and HardState with one sync.
//  2. Send Messages.
//  3. Call Persisted.
//  4. Apply Committed.
package consensus
