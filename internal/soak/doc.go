// Package soak is a fault-injection test of the platform programs. It runs them as
// separate processes on loopback, injects faults from outside and checks what
// callers, upstreams and operators observe.
//
// A relay between the processes delays and drops their datagrams. Signals stop,
// pause and kill processes. Data folders are deleted, or get a torn record at the
// end of the log. The soak signals only processes that it has started, by process
// ID.
//
// Every random choice is derived from the seed. The timing is not reproducible,
// because the processes run in real time.
package soak
