// Package packet parses, checks and rewrites the IP packets of callers and
// upstreams. It does no I/O.
package packet
