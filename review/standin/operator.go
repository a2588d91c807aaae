//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// operator calls the machines that serve control as PROTOCOL.md describes it.
type operator struct {
	d *deployment
	// machines lists the machines that serve control.
	machines []*machine
	next     int
	client   *http.Client
	// quiet leaves acknowledgements out of the record.
	quiet bool
}

// maxRedirects is how often a call follows a redirect.
const maxRedirects = 2

func newOperator(d *deployment, machines []*machine) *operator {
	return &operator{d: d, machines: machines, client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return errors.New("too many redirects")
			}
			return nil
		},
	}}
}

// route is a route of a desired state.
type route struct {
	name, host string
	port       int
	kind       string
	service    string
}

// desiredState returns the body of a desired state.
func desiredState(version, idleTimeoutMillis int, routes []route, services ...string) []byte {
	routeList, serviceList := []any{}, []any{}
	for _, r := range routes {
		routeList = append(routeList, map[string]any{
			"name": r.name, "host": r.host, "path_prefix": fmt.Sprintf("/%d/", r.port), "type": r.kind, "timeout_ms": 2000, "slo_ms": 300, "priority": 1,
			"service": r.service, "max_attempts": 2,
		})
	}
	for _, name := range services {
		serviceList = append(serviceList, map[string]any{"name": name, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeoutMillis},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// call sends one call to the next machine. Status 0 means that there was no response.
func (o *operator) call(ctx context.Context, method string, body []byte) (status int, response []byte, to string) {
	m := o.machines[o.next%len(o.machines)]
	o.next++
	url := "http://" + netip.AddrPortFrom(m.address, controlPort).String() + "/config"
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, m.name
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := o.client.Do(request)
	if err != nil {
		return 0, nil, m.name
	}
	defer func() { _ = answer.Body.Close() }()
	response, err = io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil, m.name
	}
	return answer.StatusCode, response, m.name
}

// put sends a desired state until it is acknowledged. It returns false if that does not
// happen in time.
func (o *operator) put(ctx context.Context, version int, body []byte, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		status, response, to := o.call(ctx, http.MethodPut, body)
		if status == http.StatusOK {
			if !o.quiet {
				o.d.recordf("operator: version %d is acknowledged by way of %s", version, to)
			}
			return true
		}
		if status != 0 && status/100 != 5 {
			o.d.recordf("operator: version %d gets %d from %s: %s", version, status, to, response)
		}
	}
	o.d.recordf("operator: version %d is not acknowledged within %s", version, timeout)
	return false
}

// read reads the desired state at one machine after the other. It returns the version,
// or false if no read is answered in time.
func (o *operator) read(ctx context.Context, timeout time.Duration) (version int, ok bool) {
	answers := map[int]int{}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
		status, response, to := o.call(ctx, http.MethodGet, nil)
		answers[status]++
		if status != http.StatusOK {
			continue
		}
		var state struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(response, &state); err != nil {
			o.d.recordf("operator: %s answers a read with a body that cannot be read: %v", to, err)
			continue
		}
		o.d.recordf("operator: a read by way of %s returns version %d", to, state.Version)
		return state.Version, true
	}
	o.d.recordf("operator: no read is answered within %s; number of answers by status (0 is no answer): %v", timeout, answers)
	return 0, false
}
