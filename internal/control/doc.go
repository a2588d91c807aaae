// Package control is the control server: a replica that joins the replicated
// log, its files and the intent, and answers the jsonrpc2 methods of
// controlapi.
package control
