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

// memberTTL is how long a member stays listed after its last announcement.
const memberTTL = 30 * time.Second

// announcedMember is a member as announced, with the time at which it expires.
type announcedMember struct {
	member    view.Member
	expiresAt time.Time
}

// announcedMembers holds the unexpired announcements that reached this
// replica, one per VM.
type announcedMembers struct {
	mu   sync.Mutex
	byVM map[vm.ID]announcedMember
}

func newAnnouncedMembers() *announcedMembers {
	return &announcedMembers{byVM: map[vm.ID]announcedMember{}}
}

// announce records the announcement of a member if the inventory allows it. An
// announcement that is older than the recorded one is rejected.
func (t *announcedMembers) announce(state *intent.State, announcement view.Member, now time.Time) controlapi.AnnounceResponse {
	inventoryVM, ok := state.FindVM(announcement.VM)
	if !ok {
		return controlapi.AnnounceResponse{Reason: fmt.Sprintf("VM %q is not in the inventory", announcement.VM)}
	}
	if !view.MatchesInventory(inventoryVM, announcement) {
		return controlapi.AnnounceResponse{Reason: fmt.Sprintf("the inventory has VM %q as %s of service %q in %s",
			announcement.VM, inventoryVM.Role, inventoryVM.Service, inventoryVM.Zone)}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.byVM[announcement.VM]
	if ok && now.Before(current.expiresAt) && isOlder(announcement, current.member) {
		return controlapi.AnnounceResponse{Reason: "a later announcement of the VM is known"}
	}
	t.byVM[announcement.VM] = announcedMember{member: announcement, expiresAt: now.Add(memberTTL)}
	return controlapi.AnnounceResponse{Allowed: true}
}

// isOlder compares announcements by incarnation, then by version.
func isOlder(a, b view.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Version < b.Version
}

// list returns the members whose announcement has not expired and that the
// inventory still allows, sorted by VM. It deletes expired announcements.
func (t *announcedMembers) list(state *intent.State, now time.Time) []view.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]view.Member, 0, len(t.byVM))
	for id, announced := range t.byVM {
		if !now.Before(announced.expiresAt) {
			delete(t.byVM, id)
			continue
		}
		if inventoryVM, ok := state.FindVM(id); ok && view.MatchesInventory(inventoryVM, announced.member) {
			members = append(members, announced.member)
		}
	}
	slices.SortFunc(members, func(a, b view.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}
