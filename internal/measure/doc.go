// Package measure simulates a fleet on virtual time. It runs the balancer, agent
// and control packages against in-process models of the network, the callers and
// the upstream servers. It reports how often the invariants of the design page
// were violated. The same options and seed give the same result, byte for byte.
//
// The design page leaves some definitions open. This package defines them as
// follows:
//
//   - Holder: the upstream, or its agent, that owns a flow.
//   - Home: the member ranked first for a flow by rendezvous hashing. It keeps the
//     registration of the flow.
//   - Placer: the agent that selects the upstream for a new flow.
//   - Opening: the packet that opens a flow.
//   - Free slot: a slot of an eligible upstream that serves no request. No opening
//     is on its way to that slot either.
//   - Wait while free: an opening waits, or is refused, although some eligible
//     upstream has had a free slot for longer than the load interval and one
//     message each way. Openings with payload are not counted, because they may
//     wait for a claim.
//   - Work after leave: new work on an upstream, counted from the time at which it
//     received the rule that makes it leave.
//   - Control bytes: the bytes that the busiest node sends while openings arrive.
//   - Revision in force: a revision that every node has applied that was running
//     when the revision was accepted.
package measure
