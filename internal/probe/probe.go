// Package probe asks an upstream how it is: over HTTP at its health and load
// endpoint, or by a TCP connect where it has none. It rates nothing.
package probe

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/health"
)

const (
	// Interval is the time between two probes.
	Interval = time.Second
	// timeout bounds one probe. It is below Interval, so that probes of an
	// upstream that hangs do not pile up.
	timeout = 800 * time.Millisecond
	// maxBodyBytes bounds the answer that is read.
	maxBodyBytes = 64 << 10
)

// Prober asks an upstream once.
type Prober interface {
	Probe(ctx context.Context) health.Probe
}

// loadBody is the JSON of a load endpoint. Fields that are missing say nothing.
type loadBody struct {
	Busy     *int `json:"busy"`
	Slots    *int `json:"slots"`
	Shedding bool `json:"shedding"`
	// ColdMilliseconds is the remaining time until the upstream is warm.
	ColdMilliseconds int `json:"cold_ms"`
}

// httpProber gets the URL of a health and load endpoint.
type httpProber struct {
	url    string
	client *http.Client
}

// NewHTTP returns a prober for an endpoint that answers with a status from 200
// to 299 when the upstream is healthy, and may report its load as JSON.
func NewHTTP(url string) Prober {
	return &httpProber{url: url, client: &http.Client{
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Probe implements Prober.
func (p *httpProber) Probe(ctx context.Context) health.Probe {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return health.Probe{}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return health.Probe{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil || response.StatusCode < 200 || response.StatusCode > 299 {
		return health.Probe{}
	}
	return health.Probe{OK: true, Load: parseLoad(body)}
}

// parseLoad returns nil for an answer that is not a usable load report.
func parseLoad(body []byte) *health.Load {
	var l loadBody
	if err := json.Unmarshal(body, &l); err != nil || l.Busy == nil || l.Slots == nil {
		return nil
	}
	if *l.Busy < 0 || *l.Slots < 0 || l.ColdMilliseconds < 0 {
		return nil
	}
	return &health.Load{
		Busy: *l.Busy, Slots: *l.Slots, Shedding: l.Shedding, WarmUp: time.Duration(l.ColdMilliseconds) * time.Millisecond,
	}
}

// connectProber opens and closes a TCP connection.
type connectProber struct {
	address netip.AddrPort
}

// NewConnect returns a prober for an upstream without a health endpoint.
func NewConnect(address netip.AddrPort) Prober { return &connectProber{address: address} }

// Probe implements Prober.
func (p *connectProber) Probe(ctx context.Context) health.Probe {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return health.Probe{}
	}
	_ = conn.Close()
	return health.Probe{OK: true}
}
