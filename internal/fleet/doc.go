// Package fleet starts all roles of a small deployment in one process on
// loopback: control replicas, balancers, agents and stand-in upstreams behind a
// stand-in fabric. It serves development and the end-to-end test.
package fleet
