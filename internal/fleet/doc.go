// Package fleet runs a small deployment in one process on loopback: control
// replicas, balancers, agents, stand-in upstreams and a stand-in fabric. It is
// used for development and for the end-to-end tests.
package fleet
