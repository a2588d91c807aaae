//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// router selects the edge machine of each flow, as the routers of the infrastructure do:
// by a hash over the machines whose readiness is good, the zones being one.
type router struct {
	machines []*machine
	client   *http.Client
	mu       sync.Mutex
	misses   map[*machine]int
}

const (
	readinessInterval = 500 * time.Millisecond
	// maxMisses is the number of failed readiness calls after which a machine is out of
	// rotation.
	maxMisses = 2
)

func newRouter(ctx context.Context, machines []*machine) *router {
	r := &router{machines: machines, client: &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}, misses: map[*machine]int{}}
	for _, m := range machines {
		r.misses[m] = maxMisses
		go r.watch(ctx, m)
	}
	return r
}

func (r *router) watch(ctx context.Context, m *machine) {
	for ; ctx.Err() == nil; sleep(ctx, readinessInterval) {
		response, err := r.client.Get("http://" + netip.AddrPortFrom(m.address, readinessPort).String() + "/readiness")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if ready {
			r.misses[m] = 0
		} else {
			r.misses[m]++
		}
		r.mu.Unlock()
	}
}

// inRotation returns the machines in rotation.
func (r *router) inRotation() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*machine
	for _, m := range r.machines {
		if r.misses[m] < maxMisses {
			list = append(list, m)
		}
	}
	return list
}

// waitReady waits until all machines are in rotation.
func (r *router) waitReady(ctx context.Context, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); len(r.inRotation()) < len(r.machines); sleep(ctx, 100*time.Millisecond) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.New("not all edge machines are ready")
		}
	}
	return nil
}

// machineFor returns the machine with the highest hash of the flow, which moves few
// flows when a machine joins or leaves.
func (r *router) machineFor(key flowKey) *machine {
	var best *machine
	bestHash := uint64(0)
	for _, m := range r.inRotation() {
		hash := uint64(m.address.As4()[3])<<32 | uint64(key.consumer.Port())<<8 | uint64(key.consumer.Addr().As4()[3])
		hash ^= hash >> 30
		hash *= 0xbf58476d1ce4e5b9
		hash ^= hash >> 27
		hash *= 0x94d049bb133111eb
		hash ^= hash >> 31
		if best == nil || hash > bestHash {
			best, bestHash = m, hash
		}
	}
	return best
}

// consumer opens flows and sends requests on them, one at a time.
type consumer struct {
	d        *deployment
	router   *router
	address  netip.Addr
	conn     *net.UDPConn
	nextPort uint16
	requests int
}

func (d *deployment) newConsumer(r *router, index int) (*consumer, error) {
	address := d.host(200 + index)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, datagramPort)))
	if err != nil {
		return nil, err
	}
	return &consumer{d: d, router: r, address: address, conn: conn, nextPort: 40000}, nil
}

// consumerFlow is a flow of a consumer.
type consumerFlow struct {
	key                    flowKey
	sequence, ack          uint32
	openedAt, lastPacketAt time.Time
}

// outcome is how a call on a flow ended.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeReset    outcome = "reset"
	outcomeTimeout  outcome = "no answer"
)

func (c *consumer) send(f *consumerFlow, flags byte, sequence, ack uint32, payload string) {
	packet := platformtest.Packet{From: f.key.consumer, To: f.key.route, Flags: flags, Sequence: sequence, Ack: ack, Payload: []byte(payload)}
	if m := c.router.machineFor(f.key); m != nil {
		_, _ = c.conn.WriteToUDPAddrPort(packet.Encode(), netip.AddrPortFrom(m.address, datagramPort))
	}
}

// receive returns the next packet of a flow, or false when the time has passed.
func (c *consumer) receive(f *consumerFlow, until time.Time) (packet platformtest.Packet, ok bool) {
	buffer := make([]byte, maxPacketBytes)
	for {
		if err := c.conn.SetReadDeadline(until); err != nil {
			return packet, false
		}
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return packet, false
		}
		packet, err = platformtest.Decode(buffer[:n])
		if err == nil && packet.To == f.key.consumer && packet.From == f.key.route {
			f.lastPacketAt = time.Now()
			return packet, true
		}
	}
}

// open opens a flow. Copies of the SYN follow after 200 and 600 ms; the attempt ends after
// 1.4 s.
func (c *consumer) open(route netip.AddrPort) (*consumerFlow, outcome) {
	c.nextPort++
	f := &consumerFlow{key: flowKey{consumer: netip.AddrPortFrom(c.address, c.nextPort), route: route}, sequence: rand.Uint32()}
	started := time.Now()
	ends := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i, end := range ends {
		c.send(f, platformtest.FlagSYN, f.sequence, uint32(i), "")
		for {
			packet, ok := c.receive(f, started.Add(end))
			if !ok {
				break
			}
			if packet.Flags&platformtest.FlagRST != 0 {
				return nil, outcomeReset
			}
			if packet.Flags&platformtest.FlagSYN != 0 {
				f.sequence++
				f.ack, f.openedAt = packet.Sequence+1, time.Now()
				c.send(f, platformtest.FlagACK, f.sequence, f.ack, "")
				return f, outcomeAnswered
			}
		}
	}
	return nil, outcomeTimeout
}

// request sends a request on a flow and waits for its response until the time budget has
// passed.
func (c *consumer) request(f *consumerFlow, budget time.Duration) (id string, result outcome) {
	c.requests++
	id = fmt.Sprintf("q-%d-%d", c.address.As4()[3], c.requests)
	request := "GET /feed HTTP/1.1\r\nX-Bramleyhold-Request-Id: " + id + "\r\n\r\n"
	deadline := time.Now().Add(budget)
	sequence := f.sequence
	f.sequence += uint32(len(request))
	acknowledged := false
	for interval := 200 * time.Millisecond; time.Now().Before(deadline); interval = min(2*interval, 1600*time.Millisecond) {
		if !acknowledged {
			c.send(f, platformtest.FlagACK, sequence, f.ack, request)
		}
		until := time.Now().Add(interval)
		for {
			packet, ok := c.receive(f, until)
			if !ok {
				break
			}
			if packet.Flags&platformtest.FlagRST != 0 {
				return id, outcomeReset
			}
			acknowledged = acknowledged || packet.Ack == f.sequence
			if len(packet.Payload) == 0 || packet.Sequence != f.ack {
				continue
			}
			f.ack += uint32(len(packet.Payload))
			c.send(f, platformtest.FlagACK, f.sequence, f.ack, "")
			if strings.Contains(string(packet.Payload), id+" by ") {
				return id, outcomeAnswered
			}
		}
	}
	return id, outcomeTimeout
}
