package directory

import "net/netip"

// SyncRequest is sent by a process to a control process every syncInterval, and to all
// of them after a change of its own record.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`

	// Self is the record of the sender.
	Self Record
	// Epoch and Position are the position that the sender has reached in the table of
	// the control process.
	Epoch    uint64
	Position uint64
	// Version is the version of the sender's desired state.
	Version uint64
	// Subscribe requests the records of other processes.
	Subscribe bool
}

// SyncResponse is the response to a SyncRequest. Subscribers also get it without a
// request after a change.
type SyncResponse struct {
	_ struct{} `cbor:",toarray"`

	// Epoch identifies the run of the server. Positions are valid within one
	// epoch.
	Epoch uint64
	// Records lists the records that changed after position From, up to position To.
	From, To uint64
	Records  []Record
	// Controls lists the addresses of the control processes.
	Controls []netip.Addr
	// Leader is the address of the leader among the control processes, or invalid if it
	// is unknown.
	Leader netip.Addr
	// Version is the version of the desired state that the control process applies.
	Version uint64
	// Complete is set if the table has the records of all processes that can reach the
	// control process, and the records up to To are the last ones.
	Complete bool
	// ProcessIncarnation is the latest process incarnation in the table under the key
	// of the requesting process.
	ProcessIncarnation uint64
}
