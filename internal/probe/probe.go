// Package probe checks an upstream over HTTP at its health and load endpoint, or by
// a TCP connect if it has no such endpoint. It only returns results; package health
// evaluates them.
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
	// probeTimeout bounds one probe. It is less than Interval, so that probes of an
	// upstream that does not respond end before the next one is due.
	probeTimeout = 800 * time.Millisecond
	// maxResponseBytes bounds the part of a response body that is read.
	maxResponseBytes = 64 << 10
)

// Prober sends one probe to an upstream and returns its result.
type Prober interface {
	Probe(ctx context.Context) health.Probe
}

// loadReport is the JSON object of a load endpoint. A report without busy or slots is
// ignored.
type loadReport struct {
	Busy     *int `json:"busy"`
	Slots    *int `json:"slots"`
	Shedding bool `json:"shedding"`
	// WarmUpMilliseconds is the remaining time of the upstream's warm-up.
	WarmUpMilliseconds int `json:"cold_ms"`
}

// httpProber sends a GET request to a health and load endpoint.
type httpProber struct {
	url    string
	client *http.Client
}

// NewHTTP returns a prober for a health endpoint. A status from 200 to 299 means that
// the upstream is healthy. The response body may contain its load as JSON.
func NewHTTP(url string) Prober {
	return &httpProber{url: url, client: &http.Client{
		Timeout:       probeTimeout,
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || response.StatusCode < 200 || response.StatusCode > 299 {
		return health.Probe{}
	}
	return health.Probe{OK: true, Load: parseLoadReport(body)}
}

// parseLoadReport returns the load in a response body, or nil if it is not a valid
// load report.
func parseLoadReport(body []byte) *health.Load {
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil || report.Busy == nil || report.Slots == nil {
		return nil
	}
	if *report.Busy < 0 || *report.Slots < 0 || report.WarmUpMilliseconds < 0 {
		return nil
	}
	return &health.Load{
		Busy: *report.Busy, Slots: *report.Slots, Shedding: report.Shedding, WarmUp: time.Duration(report.WarmUpMilliseconds) * time.Millisecond,
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
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return health.Probe{}
	}
	_ = conn.Close()
	return health.Probe{OK: true}
}
