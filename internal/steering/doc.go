// Package steering decides where packets go for flows that the fabric carries
// unchanged. Package fabric runs it. It serves platforms on which packets reach the
// upstream as the caller sent them, and the upstream owns its flows. Package agent
// serves the other deployment, in which the agent owns the flows and rewrites their
// packets.
//
// The fabric is the platform's network between callers, balancers and agents. It
// delivers the packets of callers to a ready balancer. A packet, with a header in the
// platform's own layout, travels as the payload of a UDP datagram. A balancer selects
// the destination of the datagram and may add a forwarding header to the packet; it
// changes nothing else. An upstream returns packets of flows that it does not hold.
// The state in this package is therefore a cache, which is rebuilt from packets and
// messages.
//
// A Balancer runs on an entry VM. It places openings (packets that open a flow) on
// upstreams and caches the holder of each flow. The holder is the upstream that has
// the flow in its connection table; the term also denotes the agent of that
// upstream. A balancer that has no entry for a flow sends lookup requests to the
// agents (a holder lookup).
//
// An Agent runs beside one upstream and forwards its packets in both directions. It
// reports to balancers which openings the upstream accepts, which packets it returns
// and which flows it holds.
//
// Further terms of this package:
//
//   - Caller: the network client that opens a flow.
//   - Incarnation: one run of the upstream process. A restart starts the next one.
//   - Reject: an agent reports to the balancer that its upstream does not take an
//     opening. The balancer then tries another upstream, or queues or refuses the
//     opening.
//   - Refuse: a balancer resets the caller instead of placing its opening. The verdict
//     Refused has another meaning: it is one cause of a rejection.
//   - Deny: an agent reports that its upstream does not hold a flow.
//   - Candidate: an agent that cannot determine whether its upstream holds a flow, and
//     to which the balancer therefore sends a packet of the flow.
//
// Balancer and Agent do no I/O. Their methods take the current time and a packet or
// message, and append actions to a list. The program that uses this package carries
// the actions out. Balancer and Agent are not safe for concurrent use.
//
// docs/decisions/steering.md compares the design options.
package steering
