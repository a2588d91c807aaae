// Package fabric runs a balancer, an agent or a control process on a platform
// whose network fabric carries the packets of flows unchanged.
//
// The package does the I/O: it connects sockets and timers to the decision cores
// in steering and directory, and to the Raft replica in control. Those packages
// make all decisions about packets. A Codec implements the packet layout of the
// platform.
//
// The holder of a flow is the upstream that owns the flow, or its agent.
package fabric
