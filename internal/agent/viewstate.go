package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// maxFormerServices bounds the former services that are stored. After more
// changes than that within a grace period no member counts as the home
// throughout the period.
const maxFormerServices = 16

// viewState is derived from a view when the view is set. It is immutable.
type viewState struct {
	view    *view.View
	service *view.Service
	// balancerZones holds the zone of each balancer by its member hash.
	balancerZones map[uint64]zone.ID
	// formerServices holds the service as it was before each of its changes within
	// the last grace period, oldest first.
	formerServices []*view.Service
	// truncatedAt is the time of the last change at which a former service was
	// removed for lack of room.
	truncatedAt time.Time
}

// SetView replaces the view. A view of an older revision is ignored.
func (c *Core) SetView(v *view.View) {
	for {
		current := c.viewState.Load()
		if current != nil && v.Revision < current.view.Revision {
			return
		}
		if c.viewState.CompareAndSwap(current, c.newViewState(v, current)) {
			return
		}
	}
}

// newViewState derives the state from a view and takes the former services from
// the previous state.
func (c *Core) newViewState(v *view.View, previous *viewState) *viewState {
	next := &viewState{view: v, service: v.ServiceByName(c.cfg.Service), balancerZones: make(map[uint64]zone.ID, len(v.Balancers))}
	for i := range v.Balancers {
		next.balancerZones[ranking.MemberHash(v.Balancers[i].VM)] = v.Balancers[i].Zone
	}
	if previous == nil {
		return next
	}
	next.formerServices, next.truncatedAt = previous.formerServices, previous.truncatedAt
	if previous.service == nil || next.service == nil || previous.service.ChangedAt.Equal(next.service.ChangedAt) {
		return next
	}
	next.addFormerService(previous.service)
	return next
}

// addFormerService stores the service as it was before its last change, and
// removes the former services that were replaced before the last grace period.
func (state *viewState) addFormerService(ended *view.Service) {
	now := state.service.ChangedAt
	recentServices := make([]*view.Service, 0, len(state.formerServices)+1)
	for i, service := range state.formerServices {
		endedAt := ended.ChangedAt
		if i+1 < len(state.formerServices) {
			endedAt = state.formerServices[i+1].ChangedAt
		}
		if now.Sub(endedAt) < GracePeriod {
			recentServices = append(recentServices, service)
		}
	}
	recentServices = append(recentServices, ended)
	if len(recentServices) > maxFormerServices {
		recentServices = recentServices[1:]
		state.truncatedAt = now
	}
	state.formerServices = recentServices
}

// wasHomeThroughout reports whether a member was the home of a flow during the
// whole last grace period, in the current service and in the former ones.
func (state *viewState) wasHomeThroughout(now time.Time, flowHash, member uint64) bool {
	if now.Sub(state.truncatedAt) < GracePeriod {
		return false
	}
	svc := state.service
	for i := len(state.formerServices); ; i-- {
		home := svc.Home(flowHash)
		if home < 0 || svc.MemberHashes[home] != member {
			return false
		}
		if i == 0 || now.Sub(svc.ChangedAt) >= GracePeriod {
			return true
		}
		svc = state.formerServices[i-1]
	}
}
