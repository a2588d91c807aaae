// Package logstore keeps the log, the hard state and the snapshots of a control
// replica under one folder. Everything is on disk before Save returns.
//
// The folder holds the files "log" and "snapshot" and, while one of them is
// being replaced, a file with the suffix ".new". A file starts with a format
// line. A record is a header of 12 bytes (length, CRC-32C of the length,
// CRC-32C of the content) and the content in CBOR. The checksum of the length
// tells a torn record at the end of the file from a damaged length in the
// middle, which would otherwise hide all records behind it.
package logstore
