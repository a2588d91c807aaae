// Package keys creates and loads the keys of a cluster: its certificate authority
// (CA), the certificates for mutual TLS between processes and operators, the frame
// keys, which authenticate frames, and the secret of flow hashes. It uses only the
// crypto packages of the standard library. docs/bramleyctl.md describes the folders.
package keys
