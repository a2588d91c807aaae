// Package fabric runs a balancer, an agent or a control process on a platform
// whose fabric carries the packets of flows unchanged. It connects the decisions
// of steering and directory and a replica of control to sockets and timers, and
// decides nothing about packets itself. A Codec knows the layout of packets.
package fabric
