// Package directory is a registry of running processes and of the upstreams beside
// agents. It serves platforms without an inventory; package fabric runs it.
//
// Every process sends its own record to the control processes in sync requests. A
// control process returns a sync response. If the process subscribes to the records
// of others, the response has the changes of the table since the last response.
// Balancers also get later changes pushed.
//
// A record has a key, the role and address of its process. The process incarnation
// numbers the runs of processes under one key, the revision the records of one run.
// Records with the same key are ordered by process incarnation, then by revision, so
// that delayed records are ignored. A client merges the tables of several control
// processes.
//
// Three other numbers must not be confused with these. Record.Incarnation is the run
// of the upstream process beside an agent. An epoch is one run of a Server. A position
// counts the changes of the table within one epoch.
//
// The package does no I/O. Its methods take the current time and messages, and
// return messages. A Table, a Server and a Client are each used by one goroutine at
// a time.
package directory
