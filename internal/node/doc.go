// Package node runs one balancer or one agent. It connects the decision core to
// sockets, devices, the membership and the intent feed. The core alone decides
// what happens to a packet; this package carries out its actions.
//
// An opening is the packet that opens a flow: a SYN or the first datagram. The
// holder is the agent that has the flow in its table. The home of a flow is the
// member that rendezvous hashing ranks first. The placer is the agent that
// selects the upstream for a new flow.
//
// An incarnation is one run of a process on a VM. A restarted process announces
// a greater incarnation than its predecessor.
package node
