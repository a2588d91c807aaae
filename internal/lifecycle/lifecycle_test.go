package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

func newVM(id vm.ID, zoneName string, status intent.MachineStatus) intent.VM {
	zoneID := zone.ID{Region: "r", Name: zoneName}
	return intent.VM{InventoryVM: intent.InventoryVM{ID: id, Zone: zoneID, Role: vm.RoleUpstream, Service: "shop"}, Status: status}
}

// stateWith returns a configuration with a retired VM "old" and an active VM "peer" in
// zone "z", and more VMs.
func stateWith(more ...intent.VM) *intent.State {
	return &intent.State{VMs: append([]intent.VM{newVM("old", "z", intent.Retired), newVM("peer", "z", intent.Active)}, more...)}
}

// phase is a period in which the member list shows the VMs with these statuses. An
// empty status stands for a VM that is not in the list.
type phase struct {
	retiredStatus view.Status
	peerStatus    view.Status
	duration      time.Duration
}

// A VM must not be removed while it may hold flows. Otherwise it must be removed at
// some time.
func TestNextRemovals(t *testing.T) {
	for name, c := range map[string]struct {
		phases []phase
		reason string
	}{
		"ready":                       {[]phase{{view.Ready, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"draining":                    {[]phase{{view.Leaving, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"starting":                    {[]phase{{view.Starting, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"suspected":                   {[]phase{{view.Suspected, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"left":                        {[]phase{{view.Left, view.Ready, RemoveLeftAfter}}, "left"},
		"left for less":               {[]phase{{view.Left, view.Ready, RemoveLeftAfter - RecordInterval}}, ""},
		"left, then not listed":       {[]phase{{view.Left, view.Ready, RemoveLeftAfter / 2}, {"", view.Ready, RemoveLeftAfter}}, ""},
		"failed":                      {[]phase{{view.Failed, view.Ready, RemoveFailedAfter}}, "failed for 1h0m0s"},
		"failed for less":             {[]phase{{view.Failed, view.Ready, RemoveFailedAfter - RecordInterval}}, ""},
		"not in member list":          {[]phase{{"", view.Ready, RemoveFailedAfter}}, "not seen for 1h0m0s"},
		"failed, then not listed":     {[]phase{{view.Failed, view.Ready, RemoveFailedAfter / 2}, {"", view.Ready, RemoveFailedAfter / 2}}, "not seen for 1h0m10s"},
		"ready in between":            {[]phase{{view.Failed, view.Ready, RemoveFailedAfter - time.Minute}, {view.Ready, view.Ready, 0}, {view.Failed, view.Ready, time.Minute}}, ""},
		"left after a failure":        {[]phase{{view.Failed, view.Ready, RemoveFailedAfter / 2}, {view.Left, view.Ready, RemoveLeftAfter}}, "left"},
		"zone not observable":         {[]phase{{view.Failed, view.Failed, 3 * RemoveFailedAfter}}, ""},
		"no VM in member list":        {[]phase{{"", "", 3 * RemoveFailedAfter}}, ""},
		"left, zone not observable":   {[]phase{{view.Left, view.Failed, RemoveLeftAfter}}, "left"},
		"zone briefly not observable": {[]phase{{view.Failed, view.Ready, RemoveFailedAfter / 2}, {view.Failed, view.Failed, 0}, {view.Failed, view.Ready, RemoveFailedAfter / 2}}, ""},
		"peer suspected":              {[]phase{{view.Failed, view.Suspected, RemoveFailedAfter}}, "failed for 1h0m0s"},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := NewTracker(), time.Unix(1000, 0)
			for _, p := range c.phases {
				for end := now.Add(p.duration); !now.After(end); now = now.Add(RecordInterval) {
					tracker.RecordMembers(now, stateWith(), membersIn(p))
				}
			}
			due := tracker.NextRemovals(now.Add(-RecordInterval), stateWith())
			if c.reason == "" {
				require.Empty(t, due)
				return
			}
			require.Equal(t, []intent.RemovedVM{{VM: "old", Reason: c.reason}}, due)
		})
	}
}

// membersIn returns the member list of a phase.
func membersIn(p phase) []view.Member {
	var list []view.Member
	for id, status := range map[vm.ID]view.Status{"old": p.retiredStatus, "peer": p.peerStatus} {
		if status != "" {
			list = append(list, view.Member{VM: id, Status: status})
		}
	}
	return list
}

// A VM that became active again after the last RecordMembers must not be proposed.
// A retired VM in a zone without active VMs must be proposed.
func TestNextRemovalsFollowsConfiguration(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	state := stateWith(newVM("lone", "closed", intent.Retired))
	for end := now.Add(RemoveFailedAfter); !now.After(end); now = now.Add(RecordInterval) {
		tracker.RecordMembers(now, state, membersIn(phase{retiredStatus: view.Failed, peerStatus: view.Ready}))
	}
	returned := stateWith(newVM("lone", "closed", intent.Retired))
	returned.VMs[0].Status = intent.Active
	due := tracker.NextRemovals(now, returned)
	require.Equal(t, []intent.RemovedVM{{VM: "lone", Reason: "not seen for 1h0m10s"}}, due)
}

// A control VM whose member list contains only itself, for example after a restart
// behind a partition, must not propose removals.
func TestIsolatedControlVMProposesNoRemoval(t *testing.T) {
	control := newVM("c1", "z", intent.Active)
	control.Role = vm.RoleControl
	state := stateWith(control, newVM("lone", "closed", intent.Retired))
	for name, c := range map[string]struct {
		peer view.Status
		due  int
	}{"only itself in member list": {"", 0}, "others failed": {view.Failed, 0}, "zone observable": {view.Ready, 2}} {
		t.Run(name, func(t *testing.T) {
			tracker, now := NewTracker(), time.Unix(1000, 0)
			for end := now.Add(2 * RemoveFailedAfter); !now.After(end); now = now.Add(RecordInterval) {
				members := append(membersIn(phase{peerStatus: c.peer}), view.Member{VM: "c1", Role: vm.RoleControl, Status: view.Ready})
				tracker.RecordMembers(now, state, members)
			}
			require.Len(t, tracker.NextRemovals(now, state), c.due)
		})
	}
}

// The rate of proposals must be bounded, because each creates a revision that
// conflicts with concurrent changes of operators. Absences from before a pause of
// calls of RecordMembers must not count.
func TestNextRemovalsIsBounded(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	state := stateWith()
	for i := range 2 * intent.MaxRemovals {
		state.VMs = append(state.VMs, newVM(vm.ID(fmt.Sprint("r", i)), "z", intent.Retired))
	}
	countProposals := func(duration time.Duration) (changes int) {
		for end := now.Add(duration); now.Before(end); now = now.Add(RecordInterval) {
			tracker.RecordMembers(now, state, membersIn(phase{retiredStatus: view.Left, peerStatus: view.Ready}))
			due := tracker.NextRemovals(now, state)
			require.LessOrEqual(t, len(due), intent.MaxRemovals)
			if len(due) > 0 {
				changes++
			}
		}
		return changes
	}
	require.Equal(t, 12, countProposals(time.Hour), "one proposal every 5 minutes, although none is accepted")
	require.Equal(t, 12, countProposals(time.Hour))
	now = now.Add(maxRecordGap + 1)
	require.Zero(t, countProposals(RemoveLeftAfter), "a VM can have been alive during the pause")
}
