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

func machine(id vm.ID, in string, status intent.MachineStatus) intent.VM {
	site := zone.ID{Region: "r", Name: in}
	return intent.VM{Machine: intent.Machine{ID: id, Zone: site, Role: vm.RoleUpstream, Service: "shop"}, Status: status}
}

// old is retired in zone z, where peer is alive.
func fleet(more ...intent.VM) *intent.State {
	return &intent.State{VMs: append([]intent.VM{machine("old", "z", intent.Retired), machine("peer", "z", intent.Active)}, more...)}
}

// phase is a status of the retired VM that the membership shows for a while.
type phase struct {
	old  view.Status
	peer view.Status
	last time.Duration
}

// Guards against a VM that is forgotten while it may hold flows, and against
// one that is never forgotten.
func TestPropose(t *testing.T) {
	for name, c := range map[string]struct {
		phases []phase
		reason string
	}{
		"ready":                      {[]phase{{view.Ready, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"draining":                   {[]phase{{view.Leaving, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"starting":                   {[]phase{{view.Starting, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"suspected":                  {[]phase{{view.Suspected, view.Ready, 3 * RemoveFailedAfter}}, ""},
		"left":                       {[]phase{{view.Left, view.Ready, LeftAfter}}, "left"},
		"left just now":              {[]phase{{view.Left, view.Ready, LeftAfter - ReviewInterval}}, ""},
		"left, then dropped":         {[]phase{{view.Left, view.Ready, LeftAfter / 2}, {"", view.Ready, LeftAfter}}, ""},
		"failed":                     {[]phase{{view.Failed, view.Ready, RemoveFailedAfter}}, "failed for 1h0m0s"},
		"failed for less":            {[]phase{{view.Failed, view.Ready, RemoveFailedAfter - ReviewInterval}}, ""},
		"not seen":                   {[]phase{{"", view.Ready, RemoveFailedAfter}}, "not seen for 1h0m0s"},
		"failed, then dropped":       {[]phase{{view.Failed, view.Ready, RemoveFailedAfter / 2}, {"", view.Ready, RemoveFailedAfter / 2}}, "not seen for 1h0m10s"},
		"back in between":            {[]phase{{view.Failed, view.Ready, RemoveFailedAfter - time.Minute}, {view.Ready, view.Ready, 0}, {view.Failed, view.Ready, time.Minute}}, ""},
		"left after a failure":       {[]phase{{view.Failed, view.Ready, RemoveFailedAfter / 2}, {view.Left, view.Ready, LeftAfter}}, "left"},
		"its zone is not seen":       {[]phase{{view.Failed, view.Failed, 3 * RemoveFailedAfter}}, ""},
		"nothing is seen":            {[]phase{{"", "", 3 * RemoveFailedAfter}}, ""},
		"left in a zone not seen":    {[]phase{{view.Left, view.Failed, LeftAfter}}, "left"},
		"zone was away for a while":  {[]phase{{view.Failed, view.Ready, RemoveFailedAfter / 2}, {view.Failed, view.Failed, 0}, {view.Failed, view.Ready, RemoveFailedAfter / 2}}, ""},
		"peer suspected is still up": {[]phase{{view.Failed, view.Suspected, RemoveFailedAfter}}, "failed for 1h0m0s"},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := NewTracker(), time.Unix(1000, 0)
			for _, p := range c.phases {
				for end := now.Add(p.last); !now.After(end); now = now.Add(ReviewInterval) {
					tracker.Review(now, fleet(), members(p))
				}
			}
			due := tracker.Propose(now.Add(-ReviewInterval), fleet())
			if c.reason == "" {
				require.Empty(t, due)
				return
			}
			require.Equal(t, []intent.RemovedVM{{VM: "old", Reason: c.reason}}, due)
		})
	}
}

func members(p phase) []view.Member {
	var list []view.Member
	for id, status := range map[vm.ID]view.Status{"old": p.old, "peer": p.peer} {
		if status != "" {
			list = append(list, view.Member{VM: id, Status: status})
		}
	}
	return list
}

// Guards against a VM of the inventory that is proposed because it was retired
// when it was last reviewed, and against a zone given up for lost for ever.
func TestProposeFollowsTheIntent(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	state := fleet(machine("lone", "closed", intent.Retired))
	for end := now.Add(RemoveFailedAfter); !now.After(end); now = now.Add(ReviewInterval) {
		tracker.Review(now, state, members(phase{old: view.Failed, peer: view.Ready}))
	}
	returned := fleet(machine("lone", "closed", intent.Retired))
	returned.VMs[0].Status = intent.Active
	due := tracker.Propose(now, returned)
	require.Equal(t, []intent.RemovedVM{{VM: "lone", Reason: "not seen for 1h0m10s"}}, due)
}

// Guards against a control VM that sees only itself, for example after a restart
// behind a partition, and takes all retired VMs for gone.
func TestNothingIsForgottenByALoneControlVM(t *testing.T) {
	control := machine("c1", "z", intent.Active)
	control.Role = vm.RoleControl
	state := fleet(control, machine("lone", "closed", intent.Retired))
	for name, c := range map[string]struct {
		peer view.Status
		due  int
	}{"sees only itself": {"", 0}, "holds the others for failed": {view.Failed, 0}, "sees the zone": {view.Ready, 2}} {
		t.Run(name, func(t *testing.T) {
			tracker, now := NewTracker(), time.Unix(1000, 0)
			for end := now.Add(2 * RemoveFailedAfter); !now.After(end); now = now.Add(ReviewInterval) {
				seen := append(members(phase{peer: c.peer}), view.Member{VM: "c1", Role: vm.RoleControl, Status: view.Ready})
				tracker.Review(now, state, seen)
			}
			require.Len(t, tracker.Propose(now, state), c.due)
		})
	}
}

// Guards against a flood of revisions, with each of which the changes of
// operators conflict, and against evidence from before a pause.
func TestProposeIsBounded(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	state := fleet()
	for i := range 2 * intent.MaxRemovals {
		state.VMs = append(state.VMs, machine(vm.ID(fmt.Sprint("r", i)), "z", intent.Retired))
	}
	review := func(last time.Duration) (changes int) {
		for end := now.Add(last); now.Before(end); now = now.Add(ReviewInterval) {
			tracker.Review(now, state, members(phase{old: view.Left, peer: view.Ready}))
			due := tracker.Propose(now, state)
			require.LessOrEqual(t, len(due), intent.MaxRemovals)
			if len(due) > 0 {
				changes++
			}
		}
		return changes
	}
	require.Equal(t, 12, review(time.Hour), "one each 5 minutes although none is accepted")
	require.Equal(t, 12, review(time.Hour))
	now = now.Add(maxReviewGap + 1)
	require.Zero(t, review(LeftAfter), "a VM can have been alive during the pause")
}
