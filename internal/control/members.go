package control

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// leaseTime is how long a member stays listed without a new announcement.
const leaseTime = 30 * time.Second

type lease struct {
	member  view.Member
	expires time.Time
}

// memberTable holds what live processes announced to this replica.
type memberTable struct {
	mu     sync.Mutex
	leases map[vm.ID]lease
}

func newMemberTable() *memberTable { return &memberTable{leases: map[vm.ID]lease{}} }

// announce records a member if the inventory allows it. An announcement that is
// older than the recorded one does not replace it.
func (t *memberTable) announce(state *intent.State, m view.Member, now time.Time) controlapi.AnnounceResponse {
	machine, ok := state.FindVM(m.VM)
	if !ok {
		return controlapi.AnnounceResponse{Reason: fmt.Sprintf("VM %q is not in the inventory", m.VM)}
	}
	if !view.Allowed(machine, m) {
		return controlapi.AnnounceResponse{Reason: fmt.Sprintf("the inventory has VM %q as %s of service %q in %s",
			m.VM, machine.Role, machine.Service, machine.Zone)}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.leases[m.VM]
	if ok && now.Before(known.expires) && older(m, known.member) {
		return controlapi.AnnounceResponse{Reason: "a later announcement of the VM is known"}
	}
	t.leases[m.VM] = lease{member: m, expires: now.Add(leaseTime)}
	return controlapi.AnnounceResponse{Allowed: true}
}

func older(a, b view.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Version < b.Version
}

// list returns the live members that the inventory still allows, by VM.
func (t *memberTable) list(state *intent.State, now time.Time) []view.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]view.Member, 0, len(t.leases))
	for id, l := range t.leases {
		if !now.Before(l.expires) {
			delete(t.leases, id)
			continue
		}
		if machine, ok := state.FindVM(id); ok && view.Allowed(machine, l.member) {
			members = append(members, l.member)
		}
	}
	slices.SortFunc(members, func(a, b view.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}
