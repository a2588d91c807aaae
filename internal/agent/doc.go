// Package agent makes the decisions of the agent process that runs beside an
// upstream. It does no I/O. It takes the time and typed events (packets, peer
// messages, views, ticks) and returns typed actions, which the adapter
// executes.
//
// Terms of this package:
//
//   - Opening: the packet that opens a flow, a SYN or the first datagram. An
//     opening may carry a request in its payload. The request may have been
//     executed once the payload was delivered to an upstream.
//   - Holder: the agent that has a flow in its flow table, or its upstream.
//   - Home: the reachable member that rendezvous hashing ranks first for a flow.
//   - Registrar: a member that keeps a copy of the records of a flow for its
//     holder. The home of a flow is a registrar, or the holder itself.
//   - Placer: the agent that selects the upstream for an opening.
//   - Home lookup: the placer sends an opening to the home, in case the flow is
//     registered there. After a home miss (no registration found) the opening
//     returns to the placer, which then sends no further lookup.
//   - Admit, decline, refuse: the selected agent admits an opening, or declines it
//     and returns it to the placer. An agent refuses an opening by resetting its
//     caller, which means that its request was not executed.
//   - Forwarding chain: the agents that a packet passes in the order of their
//     rank until one has its flow.
//   - Slot: the capacity of an upstream for one short request at a time.
//   - Alias: the source address and port under which the upstream sees a caller.
//   - Claim: the request to the home of a flow for the exclusive right to
//     deliver an opening with payload of a non-idempotent service. The home
//     responds with a grant or a denial. An agent whose claim timed
//     out sends a release, which removes a grant that the home may have given.
//   - Grace period: the time after a change of the service in which other
//     processes may still use the previous view.
//   - Draining, shedding: a draining agent accepts no more openings until it
//     stops. A shedding upstream requests that none are placed on it for now.
//   - Incarnation: one run of the agent process. A restart starts the next one.
//   - Epoch: the revision of a view. Claim.Epoch is that of the view of the
//     holder, frame.Header.Epoch that of the view of the balancer.
//
// This package serves deployments in which nodes rewrite packets and the agent
// owns the flows (see internal/node). Package steering serves those in which
// packets are carried unchanged and the upstream owns its flows.
package agent
