package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// routesOfVersion returns the routes of a version of the desired state. With the
// version, the weight of the first service on the second virtual address changes,
// and an idle route is added or removed.
func routesOfVersion(version uint64) []platformtest.Route {
	routes := []platformtest.Route{
		{Name: "orders", Virtual: virtualAddresses[0], Kind: "unsafe", Services: map[string]int{serviceNames[0]: 1}},
		{Name: "mixed", Virtual: virtualAddresses[1], Kind: "safe", Services: map[string]int{serviceNames[0]: int(version % 5), serviceNames[1]: 1}},
	}
	if version%2 == 0 {
		routes = append(routes, platformtest.Route{Name: "idle", Virtual: netip.MustParseAddrPort("198.18.0.9:80"), Kind: "safe", Services: map[string]int{serviceNames[1]: 1}})
	}
	return routes
}

// putDesiredState sends the desired state with a higher version to a random control
// process. It retries, at random processes, until the change is acknowledged or the
// timeout has passed.
func (d *deployment) putDesiredState(ctx context.Context, random *rand.Rand, timeout time.Duration) bool {
	d.mu.Lock()
	d.lastVersion += uint64(1 + random.IntN(3))
	version := d.lastVersion
	routes := routesOfVersion(version)
	for _, route := range routes {
		if d.routedServices[route.Virtual] == nil {
			d.routedServices[route.Virtual] = map[string]bool{}
		}
		for name, weight := range route.Services {
			if weight > 0 {
				d.routedServices[route.Virtual][name] = true
			}
		}
	}
	d.mu.Unlock()
	body := platformtest.EncodeDesiredWithWarmUp(version, routes, coldTime, coldRate, serviceNames...)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; sleepContext(ctx, 100*time.Millisecond) {
		status, _ := d.callControl(ctx, http.MethodPut, random.IntN(voterCount), platformtest.DesiredPath, body)
		switch {
		case status == http.StatusOK:
			d.mu.Lock()
			d.acknowledged = append(d.acknowledged, acknowledgedVersion{version, time.Now()})
			d.mu.Unlock()
			d.logEvent("version %d acknowledged", version)
			return true
		case status/100 == 4:
			d.recordBreach("CONFIG", "valid version %d was refused with status %d", version, status)
			return false
		}
	}
	d.logEvent("version %d: no control process acknowledged it in time", version)
	return false
}

// callControl calls a control process as the operator does. Status 0 means that there
// was no response.
func (d *deployment) callControl(ctx context.Context, method string, index int, path string, body []byte) (status int, responseBody []byte) {
	url := "http://" + netip.AddrPortFrom(d.controlProcesses()[index].address(), controlPort).String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, responseBody
}

// pollDesiredState reads the desired state from each control process in turn until
// the context is done. It checks that no response is older than a version that was
// acknowledged more than maxApplyTime before.
func (d *deployment) pollDesiredState(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i = (i + 1) % voterCount {
		d.checkDesiredState(ctx, i)
		sleepContext(ctx, 150*time.Millisecond)
	}
}

// checkDesiredState reads the desired state from one control process and checks its
// version. It reports whether the process responded.
func (d *deployment) checkDesiredState(ctx context.Context, index int) bool {
	sentAt := time.Now()
	status, body := d.callControl(ctx, http.MethodGet, index, platformtest.DesiredPath, nil)
	if status != http.StatusOK {
		return false
	}
	version, err := platformtest.DecodeVersion(body)
	if err != nil {
		d.recordBreach("CONFIG", "%s returned a desired state that cannot be decoded: %v", d.controlProcesses()[index].name(), err)
		return false
	}
	d.mu.Lock()
	minVersion := uint64(0)
	for _, a := range d.acknowledged {
		if sentAt.Sub(a.at) > maxApplyTime {
			minVersion = max(minVersion, a.version)
		}
	}
	d.mu.Unlock()
	if version < minVersion {
		d.recordBreach("CONFIG", "%s returned version %d, but %d was acknowledged more than %s before", d.controlProcesses()[index].name(), version, minVersion, maxApplyTime)
	}
	return true
}
