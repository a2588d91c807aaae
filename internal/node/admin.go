package node

import (
	"encoding/json"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/view"
)

// Counters returns all counters of the process.
func (b *base) Counters() map[string]int64 {
	counters := map[string]int64{}
	b.cfg.Metrics.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok {
			counters[name] = c.Count()
		}
	})
	return counters
}

// nodeStatus returns the status fields that balancers and agents share.
func (b *base) nodeStatus(pendingOnStop string) controlapi.Status {
	return controlapi.Status{
		VM: b.cfg.VM, Role: b.cfg.Role, Incarnation: b.membership.ownMember().Incarnation,
		Revision: b.intentFeed.appliedState().Revision, PendingOnStop: pendingOnStop, Counters: b.Counters(),
	}
}

// initialMembersTimeout bounds how long a starting node reports unhealthy because
// members are missing. The inventory may list VMs that are not running.
const initialMembersTimeout = 5 * time.Second

// nodeHealth reports unhealthy until the first view has been built. After that,
// the node waits until all registered members have joined, but at most for
// initialMembersTimeout. Once healthy, it stays healthy until it stops.
func (b *base) nodeHealth(stopping bool) telemetry.Health {
	if stopping {
		return telemetry.Health{Reason: "stopping"}
	}
	if b.startupComplete.Load() {
		return telemetry.Health{Healthy: true}
	}
	current := b.latestView()
	if current == nil {
		return telemetry.Health{Reason: "no intent received yet"}
	}
	if time.Since(b.startedAt) < initialMembersTimeout && !hasAllRegisteredMembers(current) {
		return telemetry.Health{Reason: "not all upstreams are known yet"}
	}
	b.startupComplete.Store(true)
	return telemetry.Health{Healthy: true}
}

// hasAllRegisteredMembers reports whether each service has as many members in the
// view as the inventory registers.
func hasAllRegisteredMembers(current *view.View) bool {
	for i := range current.Services {
		if len(current.Services[i].Members) < current.Services[i].InventoryCount {
			return false
		}
	}
	return true
}

// defaultEventLimit is the largest number of events in the response to a request
// that sets no limit.
const defaultEventLimit = 100

func (b *base) listEvents(params json.RawMessage) ([]event.Event, error) {
	request, err := rpc.Decode[controlapi.EventsRequest](params)
	if err != nil {
		return nil, err
	}
	limit := request.Limit
	if limit <= 0 {
		limit = defaultEventLimit
	}
	matching := []event.Event{}
	for _, e := range b.cfg.Events.List() {
		if request.Object == "" || request.Object == e.Object {
			matching = append(matching, e)
		}
	}
	return matching[max(len(matching)-limit, 0):], nil
}

// explainRanking returns the part of an explanation that balancers and agents
// share: the service of the flow, its home, its placer and the ranked candidates.
func (b *base) explainRanking(request controlapi.ExplainRequest) controlapi.Explanation {
	explanation := controlapi.Explanation{Node: string(b.cfg.VM)}
	v := b.latestView()
	service := v.ServiceByEndpoint(request.Endpoint)
	if service == nil {
		explanation.Reasons = append(explanation.Reasons, "no service has this virtual address in the view of this node")
		return explanation
	}
	explanation.Service = service.Name
	hash := b.cfg.Hasher.Hash(flowKey(request))
	if i := service.Home(hash); i >= 0 {
		explanation.Home = service.Members[i].VM
	}
	if i := service.Placer(hash); i >= 0 {
		explanation.Placer = service.Members[i].VM
	}
	for skipped := uint64(0); ; {
		i := service.NextMember(hash, skipped)
		if i < 0 {
			break
		}
		explanation.Ranking = append(explanation.Ranking, service.Members[i].VM)
		skipped |= 1 << uint(i)
	}
	return explanation
}

func flowKey(r controlapi.ExplainRequest) flow.Key {
	return flow.Key{Caller: r.Caller, Virtual: r.Endpoint.Address, Protocol: r.Endpoint.Protocol.Number()}
}
