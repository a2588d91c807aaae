package directory

import "slices"

// maxPendingRanges bounds the ranges that wait for the one before them. It has room for
// a table of 2,500 records that arrives in reverse order.
const maxPendingRanges = 256

// positionRange is the range of positions that a response covers.
type positionRange struct {
	from, to uint64
	// complete is set if the table was complete and had no records after to.
	complete bool
}

// receivedRanges is the part of a control process's table that has been received.
//
// Load pattern: a table of hundreds of records is sent in dozens of datagrams, which
// the network reorders. When only the next range in order was counted, one or two of
// them counted for each request, and the rest was requested and sent again: with 64
// balancers and ten control processes 4.5 MB/s, several times what callers sent.
type receivedRanges struct {
	// position is the position up to which all records have been received.
	position uint64
	// pending lists ranges that start after position.
	pending []positionRange
}

// add adds a range. It reports whether the table is known to be complete: the end of a
// range with complete set has been reached.
func (r *receivedRanges) add(received positionRange) (complete bool) {
	if received.to < r.position || slices.Contains(r.pending, received) {
		return false
	}
	if received.from > r.position {
		if len(r.pending) < maxPendingRanges {
			r.pending = append(r.pending, received)
		}
		return false
	}
	r.position, complete = received.to, received.complete
	for {
		index := slices.IndexFunc(r.pending, func(pending positionRange) bool { return pending.from <= r.position })
		if index < 0 {
			return complete
		}
		pending := r.pending[index]
		r.pending = slices.Delete(r.pending, index, index+1)
		if pending.to >= r.position {
			r.position, complete = pending.to, complete || pending.complete
		}
	}
}
