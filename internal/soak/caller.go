package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"bramleyhold.example/bramleyhold/platform/ends"
)

// caller opens flows one after the other and sends requests on them.
type caller struct {
	world   *world
	address netip.Addr
	conn    *net.UDPConn
	random  *rand.Rand
	port    uint16
	number  int
}

// call is a flow of a caller.
type call struct {
	key      conversation
	sequence uint32
	// answer is the upstream's first sequence number.
	answer uint32
}

var (
	openingCopies = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	requestCopies = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 600 * time.Millisecond}
)

func (w *world) newCaller(i int) (*caller, error) {
	address := w.host(callerHosts + i)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(1000+i))) //nolint:gosec // Repeatable.
	return &caller{world: w, address: address, conn: conn, random: random, port: 1024}, nil
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer func() { _ = c.conn.Close() }()
	for ctx.Err() == nil {
		c.flow(ctx)
		pause(ctx, time.Duration(20+c.random.IntN(60))*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// flow opens a flow and sends one or several requests on it.
func (c *caller) flow(ctx context.Context) {
	c.port++
	virtual := c.world.virtual(c.random)
	f := &call{key: conversation{netip.AddrPortFrom(c.address, c.port), virtual}, sequence: c.random.Uint32()}
	requests := 1
	if c.random.IntN(2) == 0 {
		requests = 2 + c.random.IntN(6)
	}
	if !c.open(f) {
		return
	}
	for i := 0; i < requests && ctx.Err() == nil; i++ {
		if i > 0 {
			pause(ctx, time.Duration(c.random.IntN(800))*time.Millisecond)
		}
		if !c.request(f) {
			return
		}
	}
	c.send(f, ends.FIN|ends.ACK, f.answer+2, "")
}

// send hands a packet to a balancer, as the fabric does.
func (c *caller) send(f *call, flags byte, ack uint32, payload string) {
	p := ends.Packet{From: f.key.caller, To: f.key.virtual, Flags: flags, Sequence: f.sequence, Ack: ack, Payload: []byte(payload)}
	if flags&ends.SYN == 0 {
		p.Sequence++
	}
	if to, ok := c.world.fabric.balancer(f.key); ok {
		// The balancer may be down: the packet is lost then.
		_, _ = c.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(to, packetPort))
	}
}

// wait returns the next packet of a flow within a time, or false.
func (c *caller) wait(f *call, limit time.Duration) (ends.Packet, bool) {
	end := time.Now().Add(limit)
	buffer := make([]byte, 4<<10)
	for {
		if err := c.conn.SetReadDeadline(end); err != nil {
			return ends.Packet{}, false
		}
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return ends.Packet{}, false
		}
		p, err := ends.Decode(buffer[:n])
		reset := err == nil && p.Sum == 0 && p.Flags == ends.RST && len(p.Payload) == 0
		if !reset && (err != nil || !p.ChecksumValid() || !ends.UnusedFieldsZero(buffer[:n])) {
			c.world.breach("MIXED", "caller %s got a packet that its sender did not write so: %v", c.address, err)
			continue
		}
		if p.To == f.key.caller && p.From == f.key.virtual {
			return p, true
		}
	}
}

// open sends the copies of an opening until an upstream answers.
func (c *caller) open(f *call) bool {
	for i, limit := range openingCopies {
		c.send(f, ends.SYN, uint32(i), "")
		p, ok := c.wait(f, limit)
		if !ok {
			continue
		}
		if p.Flags&ends.RST != 0 {
			c.world.counts.refused.Add(1)
			return false
		}
		if p.Flags&ends.SYN != 0 {
			f.answer = p.Sequence
			return true
		}
	}
	c.world.counts.failed.Add(1)
	return false
}

// request sends a request and its copies until it is answered.
func (c *caller) request(f *call) bool {
	c.number++
	id := fmt.Sprintf("%s-%d", c.address, c.number)
	for _, limit := range requestCopies {
		c.send(f, ends.ACK, f.answer+1, id)
		end := time.Now().Add(limit)
		for left := limit; left > 0; left = time.Until(end) {
			p, ok := c.wait(f, left)
			if !ok {
				break
			}
			if p.Flags&ends.RST != 0 {
				c.world.reset(f.key)
				c.world.counts.reset.Add(1)
				return false
			}
			if words := strings.Fields(string(p.Payload)); len(words) == 3 {
				if words[1] == id {
					c.world.counts.served.Add(1)
					return true
				}
				// The copy of an earlier answer.
				if !strings.HasPrefix(words[1], c.address.String()+"-") {
					c.world.breach("MIXED", "caller %s got the answer to %s", c.address, words[1])
				}
			}
		}
	}
	c.world.counts.failed.Add(1)
	return false
}
