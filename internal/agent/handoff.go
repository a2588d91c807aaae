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

// Handoff is written to the data folder on a planned stop for the next
// incarnation of the agent.
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

// maxHandoffFlows bounds the flows of a decoded handoff.
const maxHandoffFlows = 1 << 20

// Export returns all flows for the next incarnation of the agent.
func (c *Core) Export() Handoff {
	handoff := Handoff{VM: c.cfg.VM, Incarnation: c.cfg.Incarnation}
	for i := range c.flows.shards {
		shard := &c.flows.shards[i]
		shard.mu.Lock()
		for _, f := range shard.flows {
			handoff.Flows = append(handoff.Flows, f.toRecord(c.cfg.Incarnation))
		}
		shard.mu.Unlock()
	}
	slices.SortFunc(handoff.Flows, byOpenedAt)
	return handoff
}

// Import restores the flows of a previous incarnation and returns their number.
// The view must be set. A handoff of another VM is rejected, and so is one
// whose incarnation is not older than this one.
func (c *Core) Import(now time.Time, handoff Handoff) (int, error) {
	svc := c.currentService()
	switch {
	case svc == nil:
		return 0, &HandoffError{Reason: "the agent has no view yet"}
	case handoff.VM != c.cfg.VM:
		return 0, &HandoffError{Reason: fmt.Sprintf("written by VM %s, not by this VM %s", handoff.VM, c.cfg.VM)}
	case handoff.Incarnation >= c.cfg.Incarnation:
		return 0, &HandoffError{Reason: fmt.Sprintf("incarnation %d is not older than the current incarnation %d", handoff.Incarnation, c.cfg.Incarnation)}
	}
	count := 0
	for i := range handoff.Flows {
		if c.restoreFlow(now, svc, &handoff.Flows[i]) {
			count++
		}
	}
	c.scheduleReregistration()
	return count, nil
}

// EncodeHandoff returns the content of the handoff file.
func EncodeHandoff(handoff Handoff) ([]byte, error) { return cbor.Marshal(handoff) }

// DecodeHandoff decodes the content of the handoff file.
func DecodeHandoff(b []byte) (Handoff, error) {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxHandoffFlows}.DecMode()
	if err != nil {
		return Handoff{}, err
	}
	var handoff Handoff
	if err := mode.Unmarshal(b, &handoff); err != nil {
		return Handoff{}, &HandoffError{Reason: err.Error()}
	}
	return handoff, nil
}

func itoa(n int) string { return strconv.Itoa(n) }
