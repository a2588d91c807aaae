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
	// maxOperations bounds the remembered operation ids.
	maxOperations = 4096
	// maxHistory bounds the history rows kept in the state.
	maxHistory = 4096
	// maxReason bounds the reason of a rejection, which is kept with its
	// operation id; an inventory can have thousands of findings.
	maxReason = 2048
)

// Kind says what a change does.
type Kind string

// The kinds of changes.
const (
	KindInventory Kind = "inventory"
	KindTraffic   Kind = "traffic"
	KindLeaving   Kind = "leaving"
	KindContract  Kind = "contract"
	// KindRemove is proposed by the control leader only.
	KindRemove Kind = "forget"
	// KindDesired replaces the versioned desired state. It carries no base
	// revision and no operation id: its version takes the place of both.
	KindDesired Kind = "desired"
)

// Change is one request of an operator or of the control leader. Exactly the
// field of its kind is set.
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
	Desired      *Desired      `json:"desired,omitempty"`
}

// TrafficRule says whether a service takes traffic.
type TrafficRule struct {
	Service service.Name `json:"service"`
	Enabled bool         `json:"enabled"`
}

// LeavingRule says whether a VM is leaving.
type LeavingRule struct {
	VM      vm.ID `json:"vm"`
	Leaving bool  `json:"leaving"`
}

// ContractRule sets the contract of a service.
type ContractRule struct {
	Service  service.Name     `json:"service"`
	Contract service.Contract `json:"contract"`
}

// Outcome says what became of a change.
type Outcome string

// The outcomes of a change.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	Rejected Outcome = "rejected"
	// Superseded: a higher version of the desired state is in force, so that
	// the change has no effect.
	Superseded Outcome = "superseded"
)

// Result is the answer to a change.
type Result struct {
	Outcome  Outcome `json:"outcome"`
	Revision uint64  `json:"revision"`
	Reason   string  `json:"reason,omitempty"`
	// ConflictingChange is set on a conflict: the accepted change with the same base
	// revision or, if its row is no longer kept, the latest one.
	ConflictingChange *HistoryEntry `json:"winner,omitempty"`
}

// Apply returns the state after a change and the answer to it. The given
// state is not modified. A known operation id returns its first answer and
// the same state; if the id belongs to another change, it is rejected. A change without an operation id is not remembered.
func Apply(s *State, c Change) (*State, Result) {
	if c.Kind == KindDesired && c.Desired != nil {
		next := s.Clone()
		result := next.decideDesired(c.Desired)
		return next, result
	}
	content := c.content()
	if op, ok := s.firstOperation(c.OperationID); ok {
		if op.Content != 0 && op.Content != content {
			return s, Result{Outcome: Rejected, Revision: s.Revision, Reason: otherChange(op)}
		}
		return s, op.Result
	}
	next := s.Clone()
	result := next.decide(c)
	next.remember(Operation{ID: c.OperationID, Content: content, Result: result})
	return next, result
}

// Replay returns the state after a change that control has accepted. Unlike
// Apply it does not look at operation ids: a node sees only accepted changes, so
// its list of remembered ids differs from that of control and could answer a
// reused id without applying the change.
func Replay(s *State, c Change) (*State, error) {
	if c.Kind == KindDesired && c.Desired != nil {
		next := s.Clone()
		next.decideDesired(c.Desired)
		return next, nil
	}
	if c.BaseRevision != s.Revision {
		return nil, &OrderError{Revision: s.Revision, Base: c.BaseRevision}
	}
	next := s.Clone()
	if result := next.decide(c); result.Outcome != Accepted {
		return nil, &RuleError{Object: "change", Name: c.OperationID, Reason: result.Reason}
	}
	return next, nil
}

// OrderError reports a change that does not continue the state.
type OrderError struct {
	Revision uint64
	Base     uint64
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("change on base revision %d cannot follow revision %d", e.Base, e.Revision)
}

func (s *State) firstOperation(id string) (Operation, bool) {
	if id == "" {
		return Operation{}, false
	}
	i := slices.IndexFunc(s.Operations, func(op Operation) bool { return op.ID == id })
	if i < 0 {
		return Operation{}, false
	}
	return s.Operations[i], true
}

func otherChange(op Operation) string {
	return fmt.Sprintf("operation id %q belongs to another change, which was %s at revision %d", op.ID, op.Result.Outcome, op.Result.Revision)
}

// content returns a hash of what the change does, without who asked for it, on
// which base and under which id.
func (c *Change) content() uint64 {
	plain := *c
	plain.OperationID, plain.Operator, plain.BaseRevision = "", "", 0
	text, err := json.Marshal(plain)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(text)
}

func (s *State) decide(c Change) Result {
	if c.BaseRevision != s.Revision {
		return s.conflict(c.BaseRevision)
	}
	summary, err := s.modify(c)
	if err != nil {
		return Result{Outcome: Rejected, Revision: s.Revision, Reason: bounded(err.Error())}
	}
	s.Revision++
	s.History = appendBounded(s.History, HistoryEntry{
		Revision: s.Revision, OperationID: c.OperationID, Operator: c.Operator, Summary: summary,
	}, maxHistory)
	return Result{Outcome: Accepted, Revision: s.Revision}
}

func bounded(reason string) string {
	if len(reason) <= maxReason {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReason], "") + " …"
}

func (s *State) conflict(base uint64) Result {
	r := Result{Outcome: Conflict, Revision: s.Revision, Reason: fmt.Sprintf("base revision is %d, current revision is %d", base, s.Revision)}
	if n := len(s.History); n > 0 && base < s.Revision {
		winner := s.History[n-1]
		for _, row := range s.History {
			if row.Revision == base+1 {
				winner = row
			}
		}
		r.ConflictingChange = &winner
	}
	return r
}

func (s *State) remember(op Operation) {
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

func (s *State) modify(c Change) (summary string, err error) {
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
		return s.forget(*c.Remove)
	}
	return "", &RuleError{Object: "change", Name: string(c.Kind), Reason: "unknown kind or missing content"}
}

// RuleError reports a change that names something unknown or is malformed.
type RuleError struct {
	Object string
	Name   string
	Reason string
}

func (e *RuleError) Error() string { return fmt.Sprintf("%s %q: %s", e.Object, e.Name, e.Reason) }

// listedService returns the position of a service of the inventory. A retired
// service takes no rules.
func (s *State) listedService(name service.Name) (int, error) {
	i := slices.IndexFunc(s.Services, func(v Service) bool { return v.Name == name })
	if i < 0 || s.Services[i].Retired {
		return -1, &RuleError{Object: "service", Name: string(name), Reason: "not in the inventory"}
	}
	return i, nil
}

func (s *State) setTraffic(r TrafficRule) (string, error) {
	i, err := s.listedService(r.Service)
	if err != nil {
		return "", err
	}
	s.Services[i].Traffic = r.Enabled
	return fmt.Sprintf("service %s traffic=%t", r.Service, r.Enabled), nil
}

func (s *State) setLeaving(r LeavingRule) (string, error) {
	i := slices.IndexFunc(s.VMs, func(v VM) bool { return v.ID == r.VM })
	if i < 0 || s.VMs[i].Status == Retired {
		return "", &RuleError{Object: "vm", Name: string(r.VM), Reason: "not in the inventory"}
	}
	s.VMs[i].Status = Active
	if r.Leaving {
		s.VMs[i].Status = Leaving
	}
	return fmt.Sprintf("vm %s %s", r.VM, s.VMs[i].Status), nil
}

func (s *State) setContract(r ContractRule) (string, error) {
	i, err := s.listedService(r.Service)
	if err != nil {
		return "", err
	}
	s.Services[i].Contract = r.Contract
	return fmt.Sprintf("service %s contract idempotent=%t shape=%s queue=%s priority=%s",
		r.Service, r.Contract.Idempotent, r.Contract.Shape, r.Contract.QueueDeadline, r.Contract.Priority), nil
}
