// Package control implements the control server. Each server runs one replica
// of the Raft group, with its log files and the replicated intent. It serves
// the JSON-RPC methods of package controlapi.
package control
