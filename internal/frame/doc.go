// Package frame encodes and authenticates the frames between VMs. A frame is a
// header and a body: an IP packet, a peer message or a membership message. The
// authentication tag is computed with the secrets of the cluster. The package
// has no state except the keys, and does no I/O.
package frame
