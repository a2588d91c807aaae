package controlapi

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"bramleyhold.example/bramleyhold/internal/intent"
)

// maxUnpacked bounds the decompressed content of an update.
const maxUnpacked = 64 << 20

// UpdateContent is the part of an IntentUpdate that is compressed when it is
// large.
type UpdateContent struct {
	Changes  []intent.Change `json:"changes,omitempty"`
	Snapshot *intent.State   `json:"snapshot,omitempty"`
}

// PackedUpdate is the form in which bramley-control sends an IntentUpdate. The
// content is in Changes, or compressed in Packed.
type PackedUpdate struct {
	FromRevision uint64          `json:"from_revision"`
	ToRevision   uint64          `json:"to_revision"`
	Changes      []intent.Change `json:"changes,omitempty"`
	Packed       []byte          `json:"packed,omitempty"`
}

// Pack returns the content as gzip of its JSON.
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

func unpack(data []byte) (UpdateContent, error) {
	var c UpdateContent
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return c, fmt.Errorf("unpack update: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&c); err != nil {
		return c, fmt.Errorf("unpack update: %w", err)
	}
	return c, nil
}

// UnmarshalJSON implements json.Unmarshaler. It also reads a PackedUpdate.
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
