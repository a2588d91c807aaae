// Package fanout distributes committed configuration revisions to all nodes. It does
// no I/O. Callers pass in the time, the members and received messages. Calls return
// messages to send and states that were applied. A Node is not safe for concurrent
// use.
//
// The control leader sends each revision to one delegate per zone. The members of a
// zone form a tree of bounded degree with the delegate as its root. A node that
// receives nothing from its parent pulls from the parent, and after a longer
// timeout from a control replica. Revisions are applied in order and never rolled
// back. Acknowledgements carry the lowest revision of a subtree. From them the
// leader derives the revision that is applied everywhere.
//
// This is close to the raft-rs RFC "Follower Replication", in which a leader
// delegates log replication within a group to a follower in another data centre.
// Here committed revisions are forwarded, and any member can be a delegate.
// docs/decisions/fanout.md has the comparison with direct sending.
package fanout
