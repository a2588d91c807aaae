// Package agent makes the decisions of the agent process that runs beside an
// upstream. It does no I/O. It takes the time and typed events (packets, peer
// messages, views, ticks) and returns typed actions, which the adapter
// executes.
//
// Terms of this package:
//
//   - Opening: the packet that opens a flow, a SYN or the first datagram.
//   - Holder: the agent that has a flow in its flow table, or its upstream.
//   - Home: the member that rendezvous hashing ranks first for a flow.
//   - Registrar: a member that keeps a copy of the records of a flow for its
//     holder. The home of a flow is a registrar, or the holder itself.
//   - Placer: the agent that selects the upstream for an opening.
//   - Forwarding chain: the agents that a packet passes in the order of their
//     rank until one has its flow.
//   - Slot: the capacity of an upstream for one short request at a time.
//   - Alias: the source address and port under which the upstream sees a caller.
//   - Claim: the exclusive right to run an opening of a non-idempotent service,
//     granted by the home of its flow.
//   - Incarnation: one run of the agent process. A restart starts the next one.
package agent
