// Package balancer selects the agent that receives each packet of a caller. It
// does no I/O.
//
// Its state is a view of the cluster, a bounded cache of hints and a bounded
// table of retransmissions. None of it has to survive a restart. A hint names
// the holder of a flow: the upstream that owns the flow. The home of a flow is
// the member ranked first for it by rendezvous hashing, and a placer is the
// agent that selects the upstream for a new flow. An opening is the packet that
// opens a flow: a SYN, or its first datagram.
package balancer
