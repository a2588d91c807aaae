// Package steering decides where packets go for flows that the fabric carries
// unchanged. A balancer may add a forwarding header to a packet and select its
// destination; it changes nothing else. The upstream owns its flows and returns
// packets of flows that it does not hold. The state in this package is therefore a
// cache, which is rebuilt from packets and messages.
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
// Balancer and Agent do no I/O. Their methods take the current time and a packet or
// message, and append actions to a list that the caller carries out. They are not
// safe for concurrent use.
//
// docs/decisions/steering.md compares the design options.
package steering
