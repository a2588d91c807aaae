package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// maxFormer bounds the former services that are remembered. More changes than
// that within a grace period make every home a new one.
const maxFormer = 16

// viewState is what the agent derives once from a view. It is immutable.
type viewState struct {
	view    *view.View
	service *view.Service
	// origins holds the zone of each balancer by its member hash.
	origins map[uint64]zone.ID
	// former holds the services that were in force within the last grace
	// period, oldest first.
	former []*view.Service
	// overflow is the time of a change that former had no room for.
	overflow time.Time
}

// SetView replaces the view. Views of older revisions are ignored.
func (c *Core) SetView(v *view.View) {
	for {
		current := c.state.Load()
		if current != nil && v.Revision < current.view.Revision {
			return
		}
		if c.state.CompareAndSwap(current, c.newState(v, current)) {
			return
		}
	}
}

func (c *Core) newState(v *view.View, before *viewState) *viewState {
	st := &viewState{view: v, service: v.ServiceByName(c.cfg.Service), origins: make(map[uint64]zone.ID, len(v.Balancers))}
	for i := range v.Balancers {
		st.origins[ranking.MemberHash(v.Balancers[i].VM)] = v.Balancers[i].Zone
	}
	if before == nil {
		return st
	}
	st.former, st.overflow = before.former, before.overflow
	if before.service == nil || st.service == nil || before.service.ChangedAt.Equal(st.service.ChangedAt) {
		return st
	}
	st.remember(before.service)
	return st
}

// remember keeps a service that was in force until now.
func (st *viewState) remember(former *view.Service) {
	now := st.service.ChangedAt
	kept := make([]*view.Service, 0, len(st.former)+1)
	for i, f := range st.former {
		until := former.ChangedAt
		if i+1 < len(st.former) {
			until = st.former[i+1].ChangedAt
		}
		if now.Sub(until) < GracePeriod {
			kept = append(kept, f)
		}
	}
	kept = append(kept, former)
	if len(kept) > maxFormer {
		kept = kept[1:]
		st.overflow = now
	}
	st.former = kept
}

// homeThroughout reports whether a member was the home of a flow in every view
// that was in force within the last grace period.
func (st *viewState) homeThroughout(now time.Time, flowHash, member uint64) bool {
	if now.Sub(st.overflow) < GracePeriod {
		return false
	}
	after := st.service
	for i := len(st.former); ; i-- {
		home := after.Home(flowHash)
		if home < 0 || after.MemberHashes[home] != member {
			return false
		}
		if i == 0 || now.Sub(after.ChangedAt) >= GracePeriod {
			return true
		}
		after = st.former[i-1]
	}
}
