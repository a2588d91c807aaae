package logstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/consensus"
)

const (
	recordHeaderSize = 12
	// MaxRecordBytes bounds the content of one record. The largest records are
	// snapshots.
	MaxRecordBytes = 64 << 20
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// record is the decoded content of one record. Exactly one field is set.
type record struct {
	Entry     *consensus.Entry     `cbor:"1,keyasint,omitempty"`
	HardState *consensus.HardState `cbor:"2,keyasint,omitempty"`
	Snapshot  *consensus.Snapshot  `cbor:"3,keyasint,omitempty"`
}

// fieldCount returns the number of fields that are set.
func (r *record) fieldCount() int {
	count := 0
	for _, isSet := range []bool{r.Entry != nil, r.HardState != nil, r.Snapshot != nil} {
		if isSet {
			count++
		}
	}
	return count
}

// errIncompleteRecord is returned by decodeRecord if the data ends within a record.
var errIncompleteRecord = errors.New("record is incomplete")

// appendRecord encodes a record, appends it to the buffer and returns the buffer.
func appendRecord(buffer []byte, r record) ([]byte, error) {
	content, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(content) > MaxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes exceeds the limit of %d", len(content), MaxRecordBytes)
	}
	var header [recordHeaderSize]byte
	binary.BigEndian.PutUint32(header[0:], uint32(len(content)))
	binary.BigEndian.PutUint32(header[4:], crc32.Checksum(header[:4], crc32cTable))
	binary.BigEndian.PutUint32(header[8:], crc32.Checksum(content, crc32cTable))
	return append(append(buffer, header[:]...), content...), nil
}

// decodeRecord decodes the first record of the data. It also returns the encoded
// size of the record.
func decodeRecord(data []byte) (record, int, error) {
	if len(data) < recordHeaderSize {
		return record{}, 0, errIncompleteRecord
	}
	if crc32.Checksum(data[:4], crc32cTable) != binary.BigEndian.Uint32(data[4:]) {
		return record{}, 0, errors.New("checksum of the record length does not match")
	}
	length := binary.BigEndian.Uint32(data)
	if length > MaxRecordBytes {
		return record{}, 0, fmt.Errorf("record length %d exceeds the limit of %d", length, MaxRecordBytes)
	}
	if uint64(len(data)-recordHeaderSize) < uint64(length) {
		return record{}, 0, errIncompleteRecord
	}
	content := data[recordHeaderSize : recordHeaderSize+int(length)]
	if crc32.Checksum(content, crc32cTable) != binary.BigEndian.Uint32(data[8:]) {
		return record{}, 0, errors.New("checksum of the record content does not match")
	}
	var r record
	if err := cbor.Unmarshal(content, &r); err != nil {
		return record{}, 0, fmt.Errorf("decode record: %w", err)
	}
	if r.fieldCount() != 1 {
		return record{}, 0, fmt.Errorf("record has %d fields set, want 1", r.fieldCount())
	}
	return r, recordHeaderSize + int(length), nil
}
