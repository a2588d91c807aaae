// Package balancer decides, packet by packet, to which agent a balancer sends
// what it receives. It owns a view and a bounded cache of hints, neither of
// which must survive, and it does no I/O.
package balancer
