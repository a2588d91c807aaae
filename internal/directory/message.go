package directory

import "net/netip"

// SyncRequest goes from a process to a control process, each askInterval and after a
// change of the own record.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`

	Self Record
	// Epoch and Position are where the asking process stands in the table of
	// the control process.
	Epoch    uint64
	Position uint64
	// Version is the version of the desired state that the process has.
	Version uint64
	// Subscribe asks for the records of others.
	Subscribe bool
}

// SyncResponse goes back, and unasked to subscribers after a change.
type SyncResponse struct {
	_ struct{} `cbor:",toarray"`

	Epoch uint64
	// Records are those that changed after From up to To.
	From, To uint64
	Records  []Record
	// Controls are the addresses of the control processes.
	Controls []netip.Addr
	// Leader is the address of the control process that leads, if it is known.
	Leader netip.Addr
	// Version is the version of the desired state that is in force there.
	Version uint64
	// Complete: the table has the records of all processes that can reach the
	// control process, and the records up to To are the last ones.
	Complete bool
	// ProcessIncarnation is the latest process known at the place of the asking one.
	ProcessIncarnation uint64
}
