// Package steering decides for flows whose packets the fabric carries
// unchanged: a balancer may mark a packet and choose where it goes, and nothing
// else. The upstream owns its flows and returns packets of flows that it does
// not hold, so the state kept here is a cache that is rebuilt from packets and
// answers.
//
// A Balancer places openings and remembers where flows are. An Agent stands
// beside one upstream, passes its packets on and tells balancers what it
// accepts, returns or does not hold. Both do no I/O: they take the time, packets
// and messages, and append actions. They are not safe for concurrent use.
//
// docs/decisions/steering.md has the options that were weighed.
package steering
