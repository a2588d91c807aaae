// Package consensus decides the content of a replicated log. It follows the
// Raft algorithm with pre-vote, a quorum check of the leader, read-index reads,
// learners, single-replica configuration changes and snapshots.
//
// The package does no I/O. The owner of a Core passes in the time, messages and
// proposals, and processes each Output in this order: persist Snapshot, Entries
// and HardState with one sync; send Messages; call Persisted; apply Committed.
package consensus
