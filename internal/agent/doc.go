// Package agent decides for the process beside an upstream. The agent owns the
// flows of its upstream: it places openings, admits them, keeps the flow table,
// registers its flows with peers and gets them back after a restart. It does no
// I/O: it takes the time and typed events and returns typed actions.
package agent
