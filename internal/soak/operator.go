package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/platform/ends"
)

// routesOf returns the routes of a version: the share of the second service on the
// second virtual address changes, and an idle route comes and goes.
func routesOf(version uint64) []ends.Route {
	routes := []ends.Route{
		{Name: "orders", Virtual: virtuals[0], Kind: "unsafe", Services: map[string]int{services[0]: 1}},
		{Name: "mixed", Virtual: virtuals[1], Kind: "safe", Services: map[string]int{services[0]: int(version % 5), services[1]: 1}},
	}
	if version%2 == 0 {
		routes = append(routes, ends.Route{Name: "idle", Virtual: netip.MustParseAddrPort("198.18.0.9:80"), Kind: "safe", Services: map[string]int{services[1]: 1}})
	}
	return routes
}

// change sends a higher version to any control process, and again to others until it
// is acknowledged or the time is over.
func (w *world) change(ctx context.Context, random *rand.Rand, limit time.Duration) bool {
	w.mu.Lock()
	w.version += uint64(1 + random.IntN(3))
	version := w.version
	routes := routesOf(version)
	for _, r := range routes {
		if w.routes[r.Virtual] == nil {
			w.routes[r.Virtual] = map[string]bool{}
		}
		for name, weight := range r.Services {
			if weight > 0 {
				w.routes[r.Virtual][name] = true
			}
		}
	}
	w.mu.Unlock()
	body := ends.EncodeDesired(version, routes, services...)
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		status, _ := w.operator(ctx, http.MethodPut, random.IntN(len(w.control)), body)
		switch {
		case status == http.StatusOK:
			w.mu.Lock()
			w.acked = append(w.acked, ackedVersion{version, time.Now()})
			w.mu.Unlock()
			w.note("version %d acknowledged", version)
			return true
		case status/100 == 4:
			w.breach("CONFIG", "valid version %d was refused with status %d", version, status)
			return false
		}
	}
	w.note("version %d got no clear answer", version)
	return false
}

// operator calls a control process; status 0 stands for no answer.
func (w *world) operator(ctx context.Context, method string, i int, body []byte) (status int, answer []byte) {
	url := "http://" + netip.AddrPortFrom(w.control[i].address(), controlPort).String() + ends.DesiredPath
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// readBack reads the desired state at all control processes, again and again, and
// checks that no answer is older than what was acknowledged inForceTime before.
func (w *world) readBack(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i = (i + 1) % len(w.control) {
		w.readOnce(ctx, i)
		pause(ctx, 150*time.Millisecond)
	}
}

// readOnce reads at one control process, and reports whether it answered.
func (w *world) readOnce(ctx context.Context, i int) bool {
	sentAt := time.Now()
	status, body := w.operator(ctx, http.MethodGet, i, nil)
	if status != http.StatusOK {
		return false
	}
	version, err := ends.DecodeVersion(body)
	if err != nil {
		w.breach("CONFIG", "%s answered an unreadable desired state: %v", w.control[i].name(), err)
		return false
	}
	w.mu.Lock()
	least := uint64(0)
	for _, a := range w.acked {
		if sentAt.Sub(a.at) > inForceTime {
			least = max(least, a.version)
		}
	}
	w.mu.Unlock()
	if version < least {
		w.breach("CONFIG", "%s answered version %d, but %d was acknowledged %s before", w.control[i].name(), version, least, inForceTime)
	}
	return true
}
