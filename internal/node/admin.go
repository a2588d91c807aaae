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
	all := map[string]int64{}
	b.cfg.Metrics.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok {
			all[name] = c.Count()
		}
	})
	return all
}

// status returns what every node can say about itself.
func (b *base) status(waitingFor string) controlapi.Status {
	return controlapi.Status{
		VM: b.cfg.VM, Role: b.cfg.Role, Incarnation: b.liveness.self().Incarnation,
		Revision: b.feed.current().Revision, WaitingFor: waitingFor, Counters: b.Counters(),
	}
}

// joinLimit bounds how long a node waits for members that the inventory has
// but that may not be running.
const joinLimit = 5 * time.Second

// health is good once the node has an intent and knows the members to act on.
func (b *base) health(stopping bool) telemetry.Health {
	if stopping {
		return telemetry.Health{Reason: "stopping"}
	}
	if b.joined.Load() {
		return telemetry.Health{Healthy: true}
	}
	v := b.latest()
	if v == nil {
		return telemetry.Health{Reason: "no intent received yet"}
	}
	if time.Since(b.started) < joinLimit && !knowsAll(v) {
		return telemetry.Health{Reason: "not all upstreams are known yet"}
	}
	b.joined.Store(true)
	return telemetry.Health{Healthy: true}
}

func knowsAll(v *view.View) bool {
	for i := range v.Services {
		if len(v.Services[i].Members) < v.Services[i].Registered {
			return false
		}
	}
	return true
}

// defaultEventLimit bounds the answer to a request without a limit.
const defaultEventLimit = 100

func (b *base) events(params json.RawMessage) ([]event.Event, error) {
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

// explain answers what balancers and agents know alike: the ranking.
func (b *base) explain(request controlapi.ExplainRequest) controlapi.Explanation {
	answer := controlapi.Explanation{Node: string(b.cfg.VM)}
	v := b.latest()
	svc := v.ServiceByEndpoint(request.Endpoint)
	if svc == nil {
		answer.Reasons = append(answer.Reasons, "no service has this virtual address in the view of this node")
		return answer
	}
	answer.Service = svc.Name
	hash := b.cfg.Hasher.Hash(explainKey(request))
	if i := svc.Home(hash); i >= 0 {
		answer.Home = svc.Members[i].VM
	}
	if i := svc.Placer(hash); i >= 0 {
		answer.Placer = svc.Members[i].VM
	}
	for skip := uint64(0); ; {
		i := svc.NextCandidate(hash, skip)
		if i < 0 {
			break
		}
		answer.Ranking = append(answer.Ranking, svc.Members[i].VM)
		skip |= 1 << uint(i)
	}
	return answer
}

func explainKey(r controlapi.ExplainRequest) flow.Key {
	return flow.Key{Caller: r.Caller, Virtual: r.Endpoint.Address, Protocol: r.Endpoint.Protocol.Number()}
}
