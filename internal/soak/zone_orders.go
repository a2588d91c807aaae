package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// zoneOrderBound is the time after an acknowledged order within which openings may still
// reach the upstreams of a zone that is out of service.
const zoneOrderBound = platformtest.ZoneOrderBound

// zoneNames are the zones of the deployment. Every service has upstreams in two of them at
// least, so that one of them can be out of service.
var zoneNames = []string{"a", "b", "c"}

// orderZones takes one zone after the other out of service and returns it until the
// context is done. The last order then stays in force. It has a random source of its own,
// so that it does not change the faults of a seed.
func (d *deployment) orderZones(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 1)) //nolint:gosec // Choices must be reproducible; no secrecy is needed.
	for {
		zone := zoneNames[random.IntN(len(zoneNames))]
		if !d.orderZone(ctx, random, zone, http.MethodPost) {
			return
		}
		d.mu.Lock()
		d.zoneOut, d.zoneOutSince = zone, time.Now()
		d.mu.Unlock()
		sleepContext(ctx, zoneOrderBound+time.Duration(random.IntN(3000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		d.mu.Lock()
		d.zoneOut = ""
		upstreams := slices.Collect(maps.Values(d.upstreams))
		d.mu.Unlock()
		for _, u := range upstreams {
			if u.agent.settings.Zone == zone {
				u.turnCold()
			}
		}
		if !d.orderZone(ctx, random, zone, http.MethodDelete) {
			return
		}
		sleepContext(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
	}
}

// orderZone sends an order to random control processes until it is acknowledged. It
// returns false if the context ends before.
func (d *deployment) orderZone(ctx context.Context, random *rand.Rand, zone, method string) bool {
	for ctx.Err() == nil {
		status, _ := d.callControl(ctx, method, random.IntN(voterCount), platformtest.ZonePath(zone), nil)
		switch {
		case status == http.StatusOK:
			d.logEvent("%s of zone %s acknowledged", method, zone)
			return true
		case status/100 == 4:
			d.recordBreach("ZONE", "%s of zone %s was refused with status %d", method, zone, status)
			return false
		}
		sleepContext(ctx, 100*time.Millisecond)
	}
	return false
}

// checkZoneOfOpening checks that the zone of an upstream that receives an opening is in
// service, unless an unplanned fault disturbed its agent shortly before.
func (d *deployment) checkZoneOfOpening(u *upstream) {
	d.mu.Lock()
	outFor := time.Since(d.zoneOutSince)
	breach := d.zoneOut != "" && d.zoneOut == u.agent.settings.Zone && outFor > zoneOrderBound && time.Since(d.faultEnds[u.agent.address()]) >= reachableAfter
	d.mu.Unlock()
	if breach {
		d.recordBreach("ZONE", "an opening reached upstream %s %s after zone %s was taken out of service", u.id, outFor, u.agent.settings.Zone)
	}
}
