// Package logstore stores the Raft log, the hard state and the latest snapshot of a
// control replica in one folder, the data folder. All data is synced to disk before
// Save returns.
//
// The folder contains the files "log" and "snapshot". While one of them is being
// replaced, it also contains a file with the suffix ".new". The file "lock" prevents a
// second process from using the folder. Each file except "lock" starts with a format
// line, followed by records. A record consists of a header of 12 bytes
// (length, CRC-32C of the length, CRC-32C of the content) and the content in CBOR.
//
// The checksum of the length distinguishes an incomplete record at the end of the
// file from a damaged length in the middle. Without it a damaged length would look
// like an incomplete last record, and all records after it would be dropped.
package logstore
