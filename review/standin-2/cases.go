package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// parallel runs n calls at the same time.
func parallel(n int, call func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Add(1)
		go func() { defer group.Done(); call(i) }()
	}
	group.Wait()
}

// portReuse: a server drains and closes its flows. Their consumers open their next flows from
// the same ports and get the other server. Then a balancer is stopped and started again, and
// the consumers go on.
func portReuse(w *world, trouble bool) error {
	m, err := w.startSmall(2)
	if err != nil {
		return err
	}
	w.newRouter(m.zoneBalancers())
	first, err := w.startServer(m.agents[0], "i-first", feedService)
	if err != nil {
		return err
	}
	if err := w.putConfig([]map[string]any{route("feed", feedRoute, "safe", feedService)}, feedService); err != nil {
		return err
	}
	if err := w.awaitRotation(); err != nil {
		return err
	}
	const consumers = 48
	var list []*consumer
	for i := range consumers {
		c, err := w.newConsumer(100 + i)
		if err != nil {
			return err
		}
		list = append(list, c)
	}
	time.Sleep(2 * time.Second)
	flows := make([]*consumerFlow, consumers)
	const port = 40_001
	parallel(consumers, func(i int) {
		if flows[i] = list[i].open(port, feedRoute); flows[i] != nil && !flows[i].request(1500*time.Millisecond) {
			flows[i] = nil
		}
	})
	if err := allOpen(flows); err != nil {
		return err
	}
	second, err := w.startServer(m.agents[1], "i-second", feedService)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	first.drain()
	// The server that drains closes each flow after its next response, and the consumer
	// closes its end.
	parallel(consumers, func(i int) {
		if flows[i].request(1500 * time.Millisecond) {
			flows[i].await(time.Second, func() bool { return flows[i].serverClosed })
			flows[i].close()
		}
	})
	time.Sleep(time.Second)
	parallel(consumers, func(i int) {
		if flows[i] = list[i].open(port, feedRoute); flows[i] != nil && !flows[i].request(1500*time.Millisecond) {
			flows[i] = nil
		}
	})
	if err := allOpen(flows); err != nil {
		return err
	}
	for _, f := range flows {
		if !second.holds(f.key) {
			return fmt.Errorf("the flow of %s is not open at the second server", f.key.consumer)
		}
	}
	if trouble {
		if err := m.balancers[3].restart(); err != nil {
			return err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	// The requests come one after the other, as from consumers that know nothing of each other.
	parallel(consumers, func(i int) {
		time.Sleep(time.Duration(i) * 40 * time.Millisecond)
		flows[i].request(1500 * time.Millisecond)
		flows[i].checkReset()
	})
	return nil
}

// allOpen returns an error unless all flows are open.
func allOpen(flows []*consumerFlow) error {
	for i, f := range flows {
		if f == nil {
			return fmt.Errorf("consumer %d was not served in calm", i)
		}
	}
	return nil
}

// foreignCheckIn: while consumers hold flows open at a server, another writer sends a
// check-in without a zone, and with a version of another type.
func foreignCheckIn(w *world, trouble bool) error {
	m, err := w.startSmall(2)
	if err != nil {
		return err
	}
	w.newRouter(m.zoneBalancers())
	for i, agent := range m.agents {
		if _, err := w.startServer(agent, fmt.Sprintf("i-server-%d", i+1), feedService); err != nil {
			return err
		}
	}
	if err := w.putConfig([]map[string]any{route("feed", feedRoute, "safe", feedService)}, feedService); err != nil {
		return err
	}
	if err := w.awaitRotation(); err != nil {
		return err
	}
	const consumers = 12
	flows := make([]*consumerFlow, consumers)
	for i := range consumers {
		c, err := w.newConsumer(100 + i)
		if err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		if flows[i] = c.open(40_001, feedRoute); flows[i] != nil && !flows[i].request(1500*time.Millisecond) {
			flows[i] = nil
		}
	}
	if err := allOpen(flows); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	parallel(consumers, func(i int) { flows[i].request(1500 * time.Millisecond) })
	if trouble {
		agent := m.agents[0]
		body, err := json.Marshal(map[string]any{
			"service": feedService, "address": netip.AddrPortFrom(agent.ip, w.appPort()).String(), "version": 1, "concurrency": 7, "state": "ready", "warmup_left_ms": 0, "sequence": 1,
			"born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		status, text := w.call(http.MethodPut, "http://"+netip.AddrPortFrom(agent.ip, w.controlPort()).String()+"/instances/i-other", body)
		w.log("another writer: PUT /instances/i-other without zone, with a number as version, at %s: %d %.100s", agent.name, status, text)
	}
	time.Sleep(time.Second)
	parallel(consumers, func(i int) {
		flows[i].request(1500 * time.Millisecond)
		flows[i].checkReset()
	})
	return nil
}
