package intent

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// maxOperations bounds the operations that the state records.
	maxOperations = 4096
	// maxHistory bounds the history entries in the state.
	maxHistory = 4096
	// maxReasonBytes bounds the reason of a rejection, which is recorded with
	// its operation id. An inventory can have thousands of findings.
	maxReasonBytes = 2048
)

// Kind is the kind of a change. It determines which field of the change is
// set.
type Kind string

// The kinds of changes.
const (
	KindInventory Kind = "inventory"
	KindTraffic   Kind = "traffic"
	KindLeaving   Kind = "leaving"
	KindContract  Kind = "contract"
	// KindRemove removes retired VMs. Only the control leader proposes it.
	KindRemove Kind = "forget"
	// KindDesired replaces the versioned desired state. The change has no base
	// revision and no operation id, because its version serves as both.
	KindDesired Kind = "desired"
	// KindZone takes an availability zone out of service or returns it to service.
	KindZone Kind = "zone"
)

// Change is a request of an operator or of the control leader to change the
// intent. Only the field of its kind is set.
type Change struct {
	OperationID  string        `json:"operation_id"`
	BaseRevision uint64        `json:"base_revision"`
	Operator     string        `json:"operator,omitempty"`
	Kind         Kind          `json:"kind"`
	Inventory    *Inventory    `json:"inventory,omitempty"`
	Traffic      *TrafficRule  `json:"traffic,omitempty"`
	Leaving      *LeavingRule  `json:"leaving,omitempty"`
	Contract     *ContractRule `json:"contract,omitempty"`
	Remove       *RemoveRule   `json:"forget,omitempty"`
	Desired      *DesiredState `json:"desired,omitempty"`
	Zone         *ZoneOrder    `json:"zone,omitempty"`
}

// TrafficRule enables or disables the traffic of a service.
type TrafficRule struct {
	Service service.Name `json:"service"`
	Enabled bool         `json:"enabled"`
}

// LeavingRule sets or clears the status Leaving of a VM.
type LeavingRule struct {
	VM      vm.ID `json:"vm"`
	Leaving bool  `json:"leaving"`
}

// ContractRule sets the contract of a service.
type ContractRule struct {
	Service  service.Name     `json:"service"`
	Contract service.Contract `json:"contract"`
}

// Outcome is the outcome of a proposed change.
type Outcome string

// The outcomes of a change.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	Rejected Outcome = "rejected"
	// Superseded means that the change has no effect, because a desired state
	// of a higher version has been applied.
	Superseded Outcome = "superseded"
)

// Result is the result of a proposed change.
type Result struct {
	Outcome  Outcome `json:"outcome"`
	Revision uint64  `json:"revision"`
	Reason   string  `json:"reason,omitempty"`
	// ConflictingChange is set on a conflict. It is the change that was
	// accepted on the same base revision. If its history entry is no longer
	// kept, it is the latest accepted change.
	ConflictingChange *HistoryEntry `json:"winner,omitempty"`
}

// Apply returns the state after a change and the result of the change. The
// given state is not modified. If the operation id is recorded for the same
// change, Apply returns the recorded result and the given state. If it is
// recorded for another change, the change is rejected. A change without an
// operation id is not recorded.
func Apply(s *State, c Change) (*State, Result) {
	switch {
	case c.Kind == KindDesired && c.Desired != nil:
		next := s.Clone()
		result := next.applyDesired(c.Desired)
		return next, result
	case c.isConditionalZoneOrder():
		next := s.Clone()
		result := next.applyConditionalZoneOrder(c.Zone)
		return next, result
	}
	hash := c.contentHash()
	if op, ok := s.findOperation(c.OperationID); ok {
		if op.ContentHash != 0 && op.ContentHash != hash {
			return s, Result{Outcome: Rejected, Revision: s.Revision, Reason: reusedIDReason(op)}
		}
		return s, op.Result
	}
	next := s.Clone()
	result := next.applyChange(c)
	next.recordOperation(Operation{ID: c.OperationID, ContentHash: hash, Result: result})
	return next, result
}

// Replay returns the state after a change that control has accepted. Unlike
// Apply it ignores operation ids. A node receives only accepted changes, so
// its recorded operations differ from those of control. It could find a reused
// id there and return its result without applying the change.
func Replay(s *State, c Change) (*State, error) {
	if c.Kind == KindDesired && c.Desired != nil {
		next := s.Clone()
		next.applyDesired(c.Desired)
		return next, nil
	}
	if c.BaseRevision != s.Revision {
		return nil, &BaseRevisionError{Revision: s.Revision, Base: c.BaseRevision}
	}
	next := s.Clone()
	if result := next.applyChange(c); result.Outcome != Accepted {
		return nil, &InvalidChangeError{Object: "change", Name: c.OperationID, Reason: result.Reason}
	}
	return next, nil
}

// BaseRevisionError reports a change whose base revision is not the revision
// of the state.
type BaseRevisionError struct {
	Revision uint64
	Base     uint64
}

func (e *BaseRevisionError) Error() string {
	return fmt.Sprintf("change on base revision %d cannot follow revision %d", e.Base, e.Revision)
}

// findOperation returns the recorded operation with the id.
func (s *State) findOperation(id string) (Operation, bool) {
	if id == "" {
		return Operation{}, false
	}
	i := slices.IndexFunc(s.Operations, func(op Operation) bool { return op.ID == id })
	if i < 0 {
		return Operation{}, false
	}
	return s.Operations[i], true
}

// reusedIDReason returns the reason for rejecting a change with the id of
// another change.
func reusedIDReason(op Operation) string {
	return fmt.Sprintf("operation id %q belongs to another change, which was %s at revision %d", op.ID, op.Result.Outcome, op.Result.Revision)
}

// contentHash returns a hash of what the change does. It excludes the
// operator, the base revision and the operation id.
func (c *Change) contentHash() uint64 {
	content := *c
	content.OperationID, content.Operator, content.BaseRevision = "", "", 0
	encoded, err := json.Marshal(content)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

// applyChange modifies the state and adds a history entry if the change is
// accepted.
func (s *State) applyChange(c Change) Result {
	if c.BaseRevision != s.Revision {
		return s.conflictResult(c.BaseRevision)
	}
	summary, err := s.applyContent(c)
	if err != nil {
		return Result{Outcome: Rejected, Revision: s.Revision, Reason: truncateText(err.Error())}
	}
	s.Revision++
	s.History = appendBounded(s.History, HistoryEntry{
		Revision: s.Revision, OperationID: c.OperationID, Operator: c.Operator, Summary: summary,
	}, maxHistory)
	return Result{Outcome: Accepted, Revision: s.Revision}
}

// truncateText limits a text to maxReasonBytes.
func truncateText(text string) string {
	if len(text) <= maxReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxReasonBytes], "") + " …"
}

// conflictResult returns the result for a change whose base revision is not
// the current one.
func (s *State) conflictResult(base uint64) Result {
	result := Result{Outcome: Conflict, Revision: s.Revision, Reason: fmt.Sprintf("base revision is %d, current revision is %d", base, s.Revision)}
	if n := len(s.History); n > 0 && base < s.Revision {
		conflicting := s.History[n-1]
		for _, entry := range s.History {
			if entry.Revision == base+1 {
				conflicting = entry
			}
		}
		result.ConflictingChange = &conflicting
	}
	return result
}

func (s *State) recordOperation(op Operation) {
	if op.ID != "" {
		s.Operations = appendBounded(s.Operations, op, maxOperations)
	}
}

func appendBounded[T any](list []T, item T, limit int) []T {
	list = append(list, item)
	if len(list) > limit {
		list = slices.Delete(list, 0, len(list)-limit)
	}
	return list
}

// applyContent modifies the state according to the kind of the change. It
// returns the summary for the history.
func (s *State) applyContent(c Change) (summary string, err error) {
	switch {
	case c.Kind == KindInventory && c.Inventory != nil:
		return s.setInventory(*c.Inventory)
	case c.Kind == KindTraffic && c.Traffic != nil:
		return s.setTraffic(*c.Traffic)
	case c.Kind == KindLeaving && c.Leaving != nil:
		return s.setLeaving(*c.Leaving)
	case c.Kind == KindContract && c.Contract != nil:
		return s.setContract(*c.Contract)
	case c.Kind == KindRemove && c.Remove != nil:
		return s.removeRetiredVMs(*c.Remove)
	case c.Kind == KindZone && c.Zone != nil:
		return s.orderZone(c.Zone)
	}
	return "", &InvalidChangeError{Object: "change", Name: string(c.Kind), Reason: "unknown kind or missing content"}
}

// InvalidChangeError reports a change that is malformed or refers to an
// unknown object.
type InvalidChangeError struct {
	Object string
	Name   string
	Reason string
}

func (e *InvalidChangeError) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Object, e.Name, e.Reason)
}

// serviceIndex returns the index of a service of the inventory. Retired
// services are excluded, because no rule applies to them.
func (s *State) serviceIndex(name service.Name) (int, error) {
	i := slices.IndexFunc(s.Services, func(svc Service) bool { return svc.Name == name })
	if i < 0 || s.Services[i].Retired {
		return -1, &InvalidChangeError{Object: "service", Name: string(name), Reason: "not in the inventory"}
	}
	return i, nil
}

func (s *State) setTraffic(r TrafficRule) (string, error) {
	i, err := s.serviceIndex(r.Service)
	if err != nil {
		return "", err
	}
	s.Services[i].Traffic = r.Enabled
	return fmt.Sprintf("service %s traffic=%t", r.Service, r.Enabled), nil
}

func (s *State) setLeaving(r LeavingRule) (string, error) {
	i := slices.IndexFunc(s.VMs, func(v VM) bool { return v.ID == r.VM })
	if i < 0 || s.VMs[i].Status == Retired {
		return "", &InvalidChangeError{Object: "vm", Name: string(r.VM), Reason: "not in the inventory"}
	}
	s.VMs[i].Status = Active
	if r.Leaving {
		s.VMs[i].Status = Leaving
	}
	return fmt.Sprintf("vm %s %s", r.VM, s.VMs[i].Status), nil
}

func (s *State) setContract(r ContractRule) (string, error) {
	i, err := s.serviceIndex(r.Service)
	if err != nil {
		return "", err
	}
	s.Services[i].Contract = r.Contract
	return fmt.Sprintf("service %s contract idempotent=%t shape=%s queue=%s priority=%s%s",
		r.Service, r.Contract.Idempotent, r.Contract.Shape, r.Contract.QueueDeadline, r.Contract.Priority, r.Contract.WarmUpText()), nil
}
