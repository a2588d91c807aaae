package intent

import (
	"fmt"
	"slices"
	"strings"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// MaxRemovals bounds the VMs of one change, so that it is not larger than
	// other rules.
	MaxRemovals = 64
	// maxRemovalReasonBytes bounds the reason for removing one VM.
	maxRemovalReasonBytes = 64
)

// RemoveRule removes retired VMs that no longer hold flows. A retired service
// is removed with the last VM that refers to it.
type RemoveRule struct {
	VMs []RemovedVM `json:"vms"`
}

// RemovedVM is a retired VM with the reason why it is known to hold no flows.
type RemovedVM struct {
	VM     vm.ID  `json:"vm"`
	Reason string `json:"reason"`
}

func (r RemovedVM) String() string { return fmt.Sprintf("%s (%s)", r.VM, r.Reason) }

// String returns the summary for the history. It is part of the replicated
// state, so it must not change between builds.
func (r *RemoveRule) String() string {
	names := make([]string, 0, len(r.VMs))
	for _, removal := range r.VMs {
		names = append(names, removal.String())
	}
	return fmt.Sprintf("%d retired VMs forgotten: %s", len(names), strings.Join(names, ", "))
}

func (r *RemoveRule) validate(l *finding.List) {
	if n := len(r.VMs); n == 0 || n > MaxRemovals {
		l.Errorf(finding.Location{Object: "forget", Field: "vms"}, "%d VMs: want 1 to %d", n, MaxRemovals)
	}
	seen := make(map[vm.ID]bool, len(r.VMs))
	for _, removal := range r.VMs {
		checkName(l, "forget", "vm", string(removal.VM))
		if removal.Reason == "" || len(removal.Reason) > maxRemovalReasonBytes {
			l.Errorf(finding.Location{Object: "forget", Field: "reason"}, "length is %d bytes, want 1 to %d", len(removal.Reason), maxRemovalReasonBytes)
		}
		if seen[removal.VM] {
			l.Errorf(finding.Location{Object: "forget", Field: "vms"}, "%.40q appears twice", removal.VM)
		}
		seen[removal.VM] = true
	}
}

// removeRetiredVMs removes all VMs of the rule. If one of them is not retired,
// it removes none.
func (s *State) removeRetiredVMs(rule RemoveRule) (string, error) {
	l := finding.List{}
	rule.validate(&l)
	removed := make(map[vm.ID]bool, len(rule.VMs))
	for _, removal := range rule.VMs {
		if existing, ok := s.FindVM(removal.VM); !ok || existing.Status != Retired {
			l.Errorf(finding.Location{Object: fmt.Sprintf("vm %.40q", removal.VM), Field: "status"}, "is not retired")
		}
		removed[removal.VM] = true
	}
	if err := l.Err(); err != nil {
		return "", err
	}
	s.VMs = slices.DeleteFunc(s.VMs, func(v VM) bool { return removed[v.ID] })
	s.Services = dropUnreferencedServices(s.Services, s.VMs)
	return truncateText(rule.String()), nil
}
