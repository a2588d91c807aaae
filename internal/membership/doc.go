// Package membership implements a gossip protocol in the manner of SWIM: it
// detects failed processes and disseminates the announcements of all processes.
// It does no I/O. The time and received message bodies are parameters of its
// methods, which return messages to send and membership events. A Node is not safe
// for concurrent use.
//
// Inside a zone, members probe each other and gossip changes. Between zones, two
// delegates per zone exchange the changes of their own zones. Anti-entropy with
// digests repairs lost updates.
//
// Records of one member are ordered by incarnation, then version, then the
// liveness that its observers report. Old records therefore never replace newer
// ones. A member refutes a suspicion or failure by announcing a higher version.
//
// Liveness of other zones is leased per zone: the delegates of a zone increment
// its heartbeat counter. All members of a zone are shown as failed when its
// counter has not advanced within the lease. Renewing each record on its own
// would cost every node more than the whole budget for control traffic at 6,600
// members.
package membership
