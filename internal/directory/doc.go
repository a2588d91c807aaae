// Package directory keeps which processes run where, and what upstreams have
// announced, on platforms that have no inventory. Every process announces its
// own record to the control processes, and balancers ask them for what has
// changed. Records of one place are ordered by process, then by revision, so
// that late ones lose; lists of several control processes are merged.
//
// The package does no I/O: it takes the time and messages and returns messages.
// A Table, a Server and a Client are used from one goroutine at a time.
package directory
