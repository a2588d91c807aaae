// Package keys makes and loads the keys of a cluster: its certificate
// authority, the certificates by which processes and operators verify each
// other, and the secrets that authenticate frames. It uses only the crypto
// packages of the standard library. docs/bramleyctl.md describes the folders.
package keys
