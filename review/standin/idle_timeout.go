//go:build review

package main

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

const (
	// defaultIdleMillis is idle_timeout_ms in the first desired state, longerIdleMillis
	// the one that the change sets. Both are below max_flow_s.
	defaultIdleMillis = 15_000
	longerIdleMillis  = 45_000
	// pause is how long the consumers pause between two requests on a flow.
	pause = 26 * time.Second
	// idleFlows is the number of flows.
	idleFlows = 6
	// timeBudget is the time budget of a request.
	timeBudget = 1500 * time.Millisecond
)

// playIdleTimeout changes idle_timeout_ms from 15 to 45 s. Then consumers open flows,
// send a request, pause for 26 s and send the next one on the same flow.
func playIdleTimeout(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	edges := []*machine{d.addEdge(1, "kamnik-a", true), d.addEdge(2, "kamnik-b", true), d.addEdge(3, "ljubljana-c", true)}
	sides := []*machine{d.addSide(1, "kamnik-a", "orders"), d.addSide(2, "kamnik-b", "orders"), d.addSide(3, "ljubljana-c", "orders")}
	var servers []*server
	for _, m := range append(edges, sides...) {
		if err := m.start(edges, true); err != nil {
			return false, err
		}
	}
	for _, m := range sides {
		s, err := d.startServer(m)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	o := newOperator(d, edges)
	routes := []route{{name: "r-a3hwrr6", host: "198.18.0.1", port: 8443, kind: "safe", service: "orders"}}
	idle := time.Duration(defaultIdleMillis) * time.Millisecond
	if !o.put(ctx, 7, desiredState(7, defaultIdleMillis, routes, "orders"), 20*time.Second) {
		return false, errors.New("the first desired state is not acknowledged")
	}
	r := newRouter(ctx, edges)
	if err := r.waitReady(ctx, 20*time.Second); err != nil {
		return false, err
	}
	sleep(ctx, contact)
	if trouble {
		if !o.put(ctx, 12, desiredState(12, longerIdleMillis, routes, "orders"), 5*time.Second) {
			return false, errors.New("the change is not acknowledged")
		}
		idle = time.Duration(longerIdleMillis) * time.Millisecond
	}
	// The change is in force everywhere after config_propagation_ms.
	sleep(ctx, configPropagation+time.Second)

	c, err := d.newConsumer(r, 1)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.conn.Close() }()
	var flows []*consumerFlow
	for range idleFlows {
		f, result := c.open(netip.MustParseAddrPort("198.18.0.1:8443"))
		if result != outcomeAnswered {
			return false, errors.New("a flow did not open: " + string(result))
		}
		id, result := c.request(f, timeBudget)
		d.recordf("consumer: request %s on flow %s: %s", id, f.key.consumer, result)
		if result != outcomeAnswered {
			return false, errors.New("a request was not answered at the start")
		}
		flows = append(flows, f)
	}
	d.recordf("consumer: pauses for %s; idle_timeout_ms in force is %d", pause, idle.Milliseconds())
	sleep(ctx, pause)
	for _, f := range flows {
		idleFor, age := time.Since(f.lastPacketAt), time.Since(f.openedAt)
		heldBefore := heldBy(servers, f.key)
		id, result := c.request(f, timeBudget)
		heldAfter := heldBy(servers, f.key)
		d.recordf("consumer: request %s on flow %s after %.1f s without packets, flow %.1f s old: %s; held open by server %s before and %s after",
			id, f.key.consumer, idleFor.Seconds(), age.Seconds(), result, heldBefore, heldAfter)
		if result != outcomeReset || heldBefore == "" || heldAfter != heldBefore {
			continue
		}
		if idleFor > idle || age > maxFlowAge {
			d.recordf("check: this reset does not count, the flow was idle for longer than idle_timeout_ms")
			continue
		}
		d.recordf("check: FLOW is broken, the consumer got a reset that the server of the open flow did not send")
		broken = true
	}
	return broken, nil
}

// heldBy returns the ID of the server that holds a flow open, or "".
func heldBy(servers []*server, key flowKey) string {
	for _, s := range servers {
		if s.holds(key) {
			return s.id
		}
	}
	return ""
}
