package intent

import (
	"fmt"
	"slices"
	"strings"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// MaxRemovals bounds the VMs of one change, so that it stays as small as
	// another rule.
	MaxRemovals = 64
	// maxForgetReason bounds the reason of one VM, in bytes.
	maxForgetReason = 64
)

// RemoveRule removes retired VMs that hold no flows any more. A retired service
// is removed with its last VM.
type RemoveRule struct {
	VMs []RemovedVM `json:"vms"`
}

// RemovedVM is a retired VM with the reason for which its flows are known to
// have ended.
type RemovedVM struct {
	VM     vm.ID  `json:"vm"`
	Reason string `json:"reason"`
}

func (f RemovedVM) String() string { return fmt.Sprintf("%s (%s)", f.VM, f.Reason) }

// String names the VMs with their reasons.
func (r *RemoveRule) String() string {
	names := make([]string, 0, len(r.VMs))
	for _, f := range r.VMs {
		names = append(names, f.String())
	}
	return fmt.Sprintf("%d retired VMs forgotten: %s", len(names), strings.Join(names, ", "))
}

func (r *RemoveRule) validate(l *finding.List) {
	if n := len(r.VMs); n == 0 || n > MaxRemovals {
		l.Errorf(finding.Location{Object: "forget", Field: "vms"}, "%d VMs: want 1 to %d", n, MaxRemovals)
	}
	seen := make(map[vm.ID]bool, len(r.VMs))
	for _, f := range r.VMs {
		checkName(l, "forget", "vm", string(f.VM))
		if f.Reason == "" || len(f.Reason) > maxForgetReason {
			l.Errorf(finding.Location{Object: "forget", Field: "reason"}, "length is %d bytes, want 1 to %d", len(f.Reason), maxForgetReason)
		}
		if seen[f.VM] {
			l.Errorf(finding.Location{Object: "forget", Field: "vms"}, "%.40q appears twice", f.VM)
		}
		seen[f.VM] = true
	}
}

// forget removes all VMs of the rule or, if one of them is not retired, none.
func (s *State) forget(r RemoveRule) (string, error) {
	l := finding.List{}
	r.validate(&l)
	forgotten := make(map[vm.ID]bool, len(r.VMs))
	for _, f := range r.VMs {
		if known, ok := s.FindVM(f.VM); !ok || known.Status != Retired {
			l.Errorf(finding.Location{Object: fmt.Sprintf("vm %.40q", f.VM), Field: "status"}, "is not retired")
		}
		forgotten[f.VM] = true
	}
	if err := l.Err(); err != nil {
		return "", err
	}
	s.VMs = slices.DeleteFunc(s.VMs, func(v VM) bool { return forgotten[v.ID] })
	s.Services = withoutUnused(s.Services, s.VMs)
	return bounded(r.String()), nil
}
