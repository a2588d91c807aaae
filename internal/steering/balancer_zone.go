package steering

import (
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
)

// SetTerms applies terms unless the balancer has later ones. It reports whether the zones
// that are out of service have changed; queued openings must then be placed again.
func (b *Balancer) SetTerms(_ time.Time, terms Terms) (zonesChanged bool) {
	if !terms.replaces(&b.terms, b.termsKnown) {
		return false
	}
	zonesChanged = !slices.Equal(b.terms.ZonesOut, terms.ZonesOut)
	b.terms, b.termsKnown = terms, true
	return zonesChanged
}

// ZonesOut returns the number of zones that are out of service.
func (b *Balancer) ZonesOut() int { return len(b.terms.ZonesOut) }

// noZoneInService reports whether all upstreams of the service that could accept the
// opening are in zones that are out of service. This requires a complete list of
// upstreams.
//
// Load pattern: operators take the last zone of a service out of service. Its callers
// would wait for an upstream for as long as openings are queued, and reconnect.
func (b *Balancer) noZoneInService(entry *flowEntry, route *intent.Route) bool {
	if !b.directoryComplete {
		return false
	}
	anyOut := false
	for _, upstream := range b.serviceMembers[b.selectService(entry, route)] {
		if !upstream.mayAcceptSoon() {
			continue
		}
		if !b.terms.isOut(upstream.Zone) {
			return false
		}
		anyOut = true
	}
	return anyOut
}
