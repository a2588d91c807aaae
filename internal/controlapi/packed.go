package controlapi

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"bramleyhold.example/bramleyhold/internal/intent"
)

// maxUnpackedBytes bounds the decompressed content of an update.
const maxUnpackedBytes = 64 << 20

// UpdateContent is the part of an IntentUpdate that may be compressed.
type UpdateContent struct {
	Changes  []intent.Change `json:"changes,omitempty"`
	Snapshot *intent.State   `json:"snapshot,omitempty"`
}

// PackedUpdate is the encoding in which bramley-control sends an IntentUpdate.
// The content is either in Changes or, compressed by UpdateContent.Pack, in
// Packed.
type PackedUpdate struct {
	FromRevision uint64          `json:"from_revision"`
	ToRevision   uint64          `json:"to_revision"`
	Changes      []intent.Change `json:"changes,omitempty"`
	Packed       []byte          `json:"packed,omitempty"`
}

// Pack returns the content as gzip-compressed JSON.
func (c UpdateContent) Pack() ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, fmt.Errorf("pack update: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack update: %w", err)
	}
	return buffer.Bytes(), nil
}

// unpack decodes the result of Pack.
func unpack(data []byte) (UpdateContent, error) {
	var c UpdateContent
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return c, fmt.Errorf("unpack update: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(&c); err != nil {
		return c, fmt.Errorf("unpack update: %w", err)
	}
	return c, nil
}

// UnmarshalJSON implements json.Unmarshaler. It decodes both an IntentUpdate
// and a PackedUpdate.
func (u *IntentUpdate) UnmarshalJSON(data []byte) error {
	type plain IntentUpdate
	wire := struct {
		*plain
		Packed []byte `json:"packed"`
	}{plain: (*plain)(u)}
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	if len(wire.Packed) == 0 {
		return nil
	}
	content, err := unpack(wire.Packed)
	u.Changes, u.Snapshot = content.Changes, content.Snapshot
	return err
}
