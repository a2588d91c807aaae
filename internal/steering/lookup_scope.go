package steering

import (
	"slices"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

// minAgentsSpared is the number of agents that a narrow lookup must leave out. With
// fewer, asking all of them at once costs one or two datagrams on the link and may save
// a round trip.
const minAgentsSpared = 16

// lookupScope is the set of agents that a lookup asks. The zero value asks all agents.
//
// Load pattern: balancers join or restart while hundreds of upstreams hold long flows.
// A balancer with a link of 2 Mbit/s needs 20 KB to ask 144 agents for one flow, and
// 155 KB for 40 flows, which took seconds. Openings stay in their zone unless its
// upstreams are busy, so nearly all flows are found at the agents of their service in
// the zone of the balancer.
type lookupScope struct {
	// narrow is set if only agents of service in the zone of the balancer are asked.
	narrow  bool
	service service.Name
}

// contains reports whether an agent belongs to the scope.
func (s lookupScope) contains(b *Balancer, upstream *upstreamState) bool {
	return upstream.Status != view.Left && (!s.narrow || (upstream.Zone == b.cfg.Zone && upstream.Service == s.service))
}

// possibleHolders returns the agents of a scope.
func (b *Balancer) possibleHolders(scope lookupScope) []*upstreamState {
	list := make([]*upstreamState, 0, len(b.upstreams))
	for _, upstream := range b.upstreams {
		if scope.contains(b, upstream) {
			list = append(list, upstream)
		}
	}
	return list
}

// initialScope returns the scope of the next lookup of a flow. Only the first lookup
// is narrow. One without a holder is repeated at all agents at once.
func (b *Balancer) initialScope(entry *flowEntry) lookupScope {
	route := b.routes[entry.key.Virtual]
	if route == nil || entry.failedLookups > 0 || !entry.notFoundAt.IsZero() {
		return lookupScope{}
	}
	scope := lookupScope{narrow: true, service: b.selectService(entry, route)}
	asked := len(b.possibleHolders(scope))
	if asked == 0 || len(b.upstreams)-asked < minAgentsSpared {
		return lookupScope{}
	}
	return scope
}

// widenLookup repeats a narrow lookup without a holder at all agents. It reports
// whether the lookup was narrow.
func (b *Balancer) widenLookup(entry *flowEntry) bool {
	if !entry.lookup.scope.narrow {
		return false
	}
	entry.state, entry.lookup = stateLookupPending, &holderLookup{}
	b.lookupQueue = append(b.lookupQueue, entry)
	return true
}

// routesTo reports whether the route sends new flows to the service.
func routesTo(route *intent.Route, name service.Name) bool {
	return slices.ContainsFunc(route.Backends, func(backend intent.WeightedService) bool { return backend.Service == name && backend.Weight > 0 })
}
