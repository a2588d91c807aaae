// Package health evaluates the health of an upstream. It combines the results of
// probes with the openings that the agent counts in the data path. A probe is a
// request to the health and load endpoint of the upstream, or a TCP connect. The
// package does no I/O: a probe adapter passes the results in. The status only
// determines whether the upstream receives new flows. It never ends a flow.
package health
