// Package frame encodes the header between VMs and authenticates frames under
// the keys of the cluster. It keeps no state besides the keys and does no I/O.
package frame
