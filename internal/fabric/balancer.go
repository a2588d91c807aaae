package fabric

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/decisionlog"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// maxBalancerFlows bounds the remembered flows, at some 300 bytes each.
	maxBalancerFlows = 100_000
	// leaveQuiet and leaveMax bound how long a stopping balancer goes on
	// forwarding: until the fabric has sent nothing for a while, but not until
	// the end by force. The fabric needs two probes, half a second apart.
	leaveQuiet  = 300 * time.Millisecond
	leaveAtMost = 0.7
	leaveCheck  = 50 * time.Millisecond
	// firstUpstreams is how long a balancer waits for a first upstream before
	// it takes traffic, which it then can only refuse.
	firstUpstreams = 2 * time.Second
)

// Balancer runs on an entry VM.
type Balancer struct {
	packetRunner
	core    *steering.Balancer
	packets *net.UDPConn
	// outcomes counts actions by kind and reason.
	outcomes outcomes
	joined   time.Time
	last     time.Time
	leaving  bool
}

// NewBalancer opens the sockets. Run must be called to serve.
func NewBalancer(cfg Config, env Dependencies) (*Balancer, error) {
	n, err := newNode(cfg, env, vm.RoleBalancer, cfg.NodePort, true)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PacketAddress))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open packet socket: %w", err), n.close())
	}
	b := &Balancer{
		packetRunner: packetRunner{node: n}, packets: packets, outcomes: newOutcomes(env.Registry),
		core: steering.NewBalancer(steering.BalancerConfig{Zone: cfg.Zone, MaxFlows: maxBalancerFlows, Random: newRandom(), LinkBitsPerSecond: cfg.LinkBitsPerSecond}),
	}
	n.due = func(now time.Time) {
		b.decide(now, func(out *[]steering.Action) { b.core.Tick(now, out) })
		b.gauge("flows", b.core.Flows())
		b.gauge("upstreams.ready", b.core.ReadyUpstreams())
		b.gauge("desired.version", int(b.version))
	}
	n.deadline = b.core.Deadline
	b.execute = b.carryOut
	handle(n.link, kindSteering, n.rejected, b.agentAnswered)
	handle(n.link, kindAnswer, n.rejected, b.answer)
	n.link.handlers[kindDesired] = b.desired
	return b, nil
}

// Run serves until the context ends, then stops gracefully: the fabric is told
// to send no more, and packets are forwarded until it has stopped.
func (b *Balancer) Run(ctx context.Context) error {
	group := errgroup.Group{}
	group.Go(b.link.receive)
	group.Go(func() error { return b.receivePackets(b.packets, false, b.callerPacket) })
	b.announce(view.Ready)
	<-ctx.Done()
	b.stop()
	err := errors.Join(b.packets.Close(), b.close())
	return errors.Join(err, group.Wait())
}

func (b *Balancer) announce(status view.Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.ask(b.client.Announce(now, func(r *directory.Record) { r.Status = status }))
	b.plan(now)
}

// stop waits until the fabric sends nothing more.
func (b *Balancer) stop() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.announce(view.Left)
	started := time.Now()
	limit := time.Duration(leaveAtMost * float64(b.cfg.StopGracePeriod))
	for time.Since(started) < limit {
		time.Sleep(leaveCheck)
		b.mu.Lock()
		quiet := time.Since(b.last) > leaveQuiet && time.Since(started) > leaveQuiet
		b.mu.Unlock()
		if quiet {
			return
		}
	}
}

// Ready reports whether the fabric may send packets here.
func (b *Balancer) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving || !b.client.Connected() || b.core.Version() == 0 {
		return false
	}
	return b.core.ReadyUpstreams() > 0 || time.Since(b.joined) > firstUpstreams
}

func (b *Balancer) callerPacket(now time.Time, p *steering.Packet, data []byte, _ netip.Addr, out *[]steering.Action) {
	b.last = now
	b.core.Packet(now, p, data, out)
}

// carryOut does what a decision asks for. The lock is held.
func (b *Balancer) carryOut(a *steering.Action) {
	b.observe(a)
	switch a.Kind {
	case steering.Forward:
		b.Codec.SetForwardingHeader(a.Data, a.Header)
		_, err := b.packets.WriteToUDPAddrPort(a.Data, netip.AddrPortFrom(a.To, b.cfg.PacketAddress.Port()+b.cfg.RelayOffset))
		b.lost(err)
	case steering.Reset:
		var buffer [64]byte
		reset := b.Codec.AppendReset(buffer[:0], a.Flow, a.Sequence)
		_, err := b.packets.WriteToUDPAddrPort(reset, netip.AddrPortFrom(a.Flow.Caller.Addr(), b.cfg.PacketAddress.Port()))
		b.lost(err)
	case steering.SendMessage:
		b.lost(b.link.send(a.To, b.cfg.NodePort, kindSteering, &a.Message))
	case steering.Drop, steering.QueueOpening, steering.Deliver, steering.Reply, steering.ProbeUpstream:
	}
}

// observe counts an action and writes a line about it if it decides something
// new: packets of known flows are counted only.
func (b *Balancer) observe(a *steering.Action) {
	b.outcomes.count(a)
	if a.Waited > 0 {
		b.observeTime("searches.us", a.Waited)
	}
	line := decisionlog.Entry{
		At: time.Now(), Event: eventNames[a.Kind], Reason: string(a.Reason), Flow: a.Flow, Peer: a.To, Version: b.version,
	}
	switch {
	case a.Kind == steering.Forward && a.Reason == steering.Placed:
		line.Load, line.Slots, line.AgeMillis, line.Attempt = a.Placement.Load, a.Placement.Slots, a.Placement.Age.Milliseconds(), a.Placement.Attempt
		b.Decisions.LogRateLimited(line)
	case a.Kind == steering.Forward && a.Reason == steering.PlacedOnRetry:
		line.Load, line.Slots, line.AgeMillis, line.Attempt = a.Placement.Load, a.Placement.Slots, a.Placement.Age.Milliseconds(), a.Placement.Attempt
		b.Decisions.LogAlways(line)
	case a.Kind == steering.Forward && (a.Reason == steering.KnownFlow || a.Reason == steering.Repeated):
	case a.Kind == steering.SendMessage:
	default:
		b.Decisions.LogAlways(line)
	}
}

// agentAnswered takes a message of an agent.
func (b *Balancer) agentAnswered(from netip.Addr, m *steering.Message) {
	b.message(func(now time.Time, out *[]steering.Action) {
		if m.Kind == steering.OpeningRejected || m.Kind == steering.FlowNotFound {
			b.Decisions.LogAlways(decisionlog.Entry{At: now, Event: m.Kind.String(), Reason: m.Verdict.String(), Flow: m.Flow, Peer: from, Load: int(m.Load)})
		}
		if age, opening := b.core.OpeningAge(now, m.Flow); opening && m.Kind == steering.OpeningAccepted {
			b.observeTime("openings.us", age)
		}
		b.core.Message(now, from, m, out)
	})
}

func (b *Balancer) answer(from netip.Addr, a *directory.SyncResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	news := b.answered(now, from, a)
	if news.FirstResponse {
		b.joined = now
	}
	if news.Changed || news.BecameComplete {
		b.core.SetUpstreams(upstreams(b.client.Upstreams()), b.client.Complete())
		b.decide(now, func(out *[]steering.Action) { b.core.RetryPending(now, news.BecameComplete, out) })
	}
	b.plan(now)
}

// upstreams turns records of agents into members of services.
func upstreams(entries []*directory.Entry) []steering.Upstream {
	list := make([]steering.Upstream, 0, len(entries))
	for _, e := range entries {
		if e.Service == "" {
			continue
		}
		list = append(list, steering.Upstream{Service: e.Service, Upstream: view.Upstream{
			VM: e.VM, Hash: ranking.MemberHash(e.VM), Zone: e.Zone, Address: netip.AddrPortFrom(e.Address, e.PacketPort),
			Incarnation: e.Incarnation, Status: e.Status, Slots: e.Slots,
			WarmUpUntil: e.ChangedAt.Add(time.Duration(e.WarmUpMillis) * time.Millisecond),
		}})
	}
	return list
}

func (b *Balancer) desired(from netip.Addr, payload []byte) {
	d, err := unpackDesired(payload)
	if err != nil {
		b.rejected(err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.core.SetDesired(d) {
		now := time.Now()
		b.decide(now, func(out *[]steering.Action) { b.core.RetryPending(now, false, out) })
		b.tookVersion(d.Version)
		b.Log.WithFields(logrus.Fields{"version": d.Version, "routes": len(d.Routes), "control": from}).Info("desired state in force")
	}
}
