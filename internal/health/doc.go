// Package health rates an upstream from the answers of its health and load
// endpoint, or from TCP connects, weighed against what the agent itself
// observes in the data path. It does no I/O: a probe adapter passes the
// results in. A rating decides about new work only; it never ends a flow.
package health
