// Package soak runs the programs of the users' platform as separate processes on
// loopback, disturbs them from outside and checks what callers, upstreams and
// operators see. A relay between the processes delays and drops their datagrams;
// signals stop, pause and kill them; disks are lost or get a torn end. Only
// processes that the soak has started are signalled, by their ids.
//
// Every choice follows from the seed; times on the wire do not, since the processes
// run in real time.
package soak
