package agent

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Handoff is what an agent leaves for its next life in the data folder on a
// planned stop.
type Handoff struct {
	VM          vm.ID             `cbor:"1,keyasint"`
	Incarnation vm.Incarnation    `cbor:"2,keyasint"`
	Flows       []peer.FlowRecord `cbor:"3,keyasint"`
}

// HandoffError reports a handoff that cannot be used.
type HandoffError struct {
	Reason string
}

func (e *HandoffError) Error() string { return "handoff: " + e.Reason }

// maxHandoffFlows bounds a decoded handoff.
const maxHandoffFlows = 1 << 20

// Export returns all flows for the next life of the agent.
func (c *Core) Export() Handoff {
	h := Handoff{VM: c.cfg.VM, Incarnation: c.cfg.Incarnation}
	for i := range c.flows.shards {
		s := &c.flows.shards[i]
		s.mu.Lock()
		for _, f := range s.flows {
			h.Flows = append(h.Flows, f.record(c.cfg.Incarnation))
		}
		s.mu.Unlock()
	}
	slices.SortFunc(h.Flows, byOpening)
	return h
}

// Import takes the flows of an earlier life up again and returns how many. The
// view must be set. A handoff of another VM or of a later life is rejected.
func (c *Core) Import(now time.Time, h Handoff) (int, error) {
	svc := c.service()
	switch {
	case svc == nil:
		return 0, &HandoffError{Reason: "no view"}
	case h.VM != c.cfg.VM:
		return 0, &HandoffError{Reason: fmt.Sprintf("written by %s, not by %s", h.VM, c.cfg.VM)}
	case h.Incarnation >= c.cfg.Incarnation:
		return 0, &HandoffError{Reason: fmt.Sprintf("incarnation %d is not older than %d", h.Incarnation, c.cfg.Incarnation)}
	}
	count := 0
	for i := range h.Flows {
		if c.restore(now, svc, &h.Flows[i]) {
			count++
		}
	}
	c.forgetAnnounced()
	return count, nil
}

// EncodeHandoff returns the bytes to be written to the data folder.
func EncodeHandoff(h Handoff) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHandoff reads what EncodeHandoff has written.
func DecodeHandoff(b []byte) (Handoff, error) {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxHandoffFlows}.DecMode()
	if err != nil {
		return Handoff{}, err
	}
	var h Handoff
	if err := mode.Unmarshal(b, &h); err != nil {
		return Handoff{}, &HandoffError{Reason: err.Error()}
	}
	return h, nil
}

func itoa(n int) string { return strconv.Itoa(n) }
