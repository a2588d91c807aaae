// Package packet parses, validates and rewrites IP packets of callers and
// upstreams. It does no I/O.
package packet
