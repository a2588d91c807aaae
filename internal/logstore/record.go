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
	headerSize = 12
	// MaxRecord bounds the content of one record.
	MaxRecord = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the content of one record. Exactly one field is set.
type record struct {
	Entry     *consensus.Entry     `cbor:"1,keyasint,omitempty"`
	HardState *consensus.HardState `cbor:"2,keyasint,omitempty"`
	Snapshot  *consensus.Snapshot  `cbor:"3,keyasint,omitempty"`
}

func (r *record) fields() int {
	count := 0
	for _, set := range []bool{r.Entry != nil, r.HardState != nil, r.Snapshot != nil} {
		if set {
			count++
		}
	}
	return count
}

// errTorn is returned by decodeRecord for an incomplete record.
var errTorn = errors.New("record is incomplete")

// appendRecord appends the encoded record.
func appendRecord(buffer []byte, r record) ([]byte, error) {
	content, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(content) > MaxRecord {
		return nil, fmt.Errorf("record of %d bytes exceeds the limit of %d", len(content), MaxRecord)
	}
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[0:], uint32(len(content)))
	binary.BigEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.BigEndian.PutUint32(header[8:], crc32.Checksum(content, castagnoli))
	return append(append(buffer, header[:]...), content...), nil
}

// decodeRecord reads the first record and returns its encoded size.
func decodeRecord(data []byte) (record, int, error) {
	if len(data) < headerSize {
		return record{}, 0, errTorn
	}
	if crc32.Checksum(data[:4], castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return record{}, 0, errors.New("wrong checksum of the record length")
	}
	length := binary.BigEndian.Uint32(data)
	if length > MaxRecord {
		return record{}, 0, fmt.Errorf("record length %d exceeds the limit of %d", length, MaxRecord)
	}
	if uint64(len(data)-headerSize) < uint64(length) {
		return record{}, 0, errTorn
	}
	content := data[headerSize : headerSize+int(length)]
	if crc32.Checksum(content, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return record{}, 0, errors.New("wrong checksum of the record content")
	}
	var r record
	if err := cbor.Unmarshal(content, &r); err != nil {
		return record{}, 0, fmt.Errorf("decode record: %w", err)
	}
	if r.fields() != 1 {
		return record{}, 0, fmt.Errorf("record has %d fields, want 1", r.fields())
	}
	return r, headerSize + int(length), nil
}
