// Package fanout decides how accepted revisions reach every node. It does no
// I/O: it takes the time, the members and received messages, and returns
// messages to send and the states that were applied. A Node is used from one
// goroutine at a time.
//
// The control leader sends each revision to one delegate per zone. Inside a
// zone the members form a tree of bounded degree with the delegate as its
// root. A node whose parent is silent asks the parent, then a control replica.
// Revisions are applied in order only and never taken back. Acknowledgements
// carry the lowest revision of a subtree, so that the leader knows which
// revision is in force everywhere.
//
// This is close to the raft-rs RFC "Follower Replication", in which a leader
// asks a follower in another data centre to forward log entries to its group.
// Here committed revisions are forwarded, and any member can be a delegate.
// docs/decisions/fanout.md has the comparison with direct sending.
package fanout
