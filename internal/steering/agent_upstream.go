package steering

import (
	"time"
)

// HandleUpstreamPacket decides about a packet that the upstream sent or returned.
func (a *Agent) HandleUpstreamPacket(now time.Time, p *Packet, data []byte, out *[]Action) {
	if p.Flags.Has(Returned) {
		a.returned(now, p, out)
		return
	}
	f := a.flows[p.Flow]
	if f == nil {
		f = a.adopt(now, p, out)
	}
	if f != nil {
		a.replied(now, f, p, out)
	}
	*out = append(*out, Action{Kind: Reply, Reason: UpstreamReplied, Flow: p.Flow, Data: data})
}

// adopt takes up a flow of an earlier life of this agent.
func (a *Agent) adopt(now time.Time, p *Packet, out *[]Action) *held {
	d, doubted := a.doubts[p.Flow]
	delete(a.doubts, p.Flow)
	if p.Flags.Has(RST) || p.Flags.Has(SYN) || len(a.flows) >= a.cfg.MaxFlows {
		return nil
	}
	f := &held{incarnation: a.upstream.Incarnation, answered: true, open: true, ack: p.Sequence, openedAt: now, seenAt: now}
	a.flows[p.Flow] = f
	a.stages[quiet]++
	a.planSweep(now)
	if doubted {
		f.origin = d.origin
		a.tell(d.origin, Message{Kind: FlowConfirmed, Flow: p.Flow}, KnownFlow, out)
	}
	return f
}

func (a *Agent) replied(now time.Time, f *held, p *Packet, out *[]Action) {
	f.seenAt = now
	a.silentUntil = time.Time{}
	if p.Flags.Has(SYN|ACK) && !f.answered {
		f.answered, f.answer = true, p.Sequence
		a.tell(f.origin, Message{Kind: OpeningAccepted, Flow: p.Flow, Sequence: p.Sequence}, UpstreamReplied, out)
	}
	if p.Payload > 0 && f.stage == running && f.measured {
		a.service.note(now.Sub(f.requestAt))
	}
	if p.Payload > 0 || p.Flags&(FIN|RST) != 0 {
		f.measured = false
		a.setStage(f, quiet)
	}
	if p.Flags.Has(RST) || (p.Flags.Has(FIN) && f.callerFinished) {
		f.finished = true
	}
}

// returned deals with a packet that the upstream does not take.
func (a *Agent) returned(now time.Time, p *Packet, out *[]Action) {
	f := a.flows[p.Flow]
	if p.IsOpening() {
		if f == nil || f.opening != p.Sequence || f.answered {
			*out = append(*out, Action{Kind: Drop, Reason: NotHeld, Flow: p.Flow})
			return
		}
		origin := f.origin
		a.forget(p.Flow, f)
		a.reject(p, origin, Refused, out)
		a.lookFor(now, p.Flow, out)
		return
	}
	if f != nil {
		a.setStage(f, quiet)
		if f.incarnation != a.upstream.Incarnation {
			// The process that held the flow has ended.
			*out = append(*out, Action{Kind: Reset, Reason: UpstreamFailed, Flow: p.Flow, Sequence: p.Ack})
			a.forget(p.Flow, f)
			return
		}
		f.lost = true
		a.tell(f.origin, Message{Kind: FlowNotFound, Flow: p.Flow, Ack: p.Ack}, NotHeld, out)
		return
	}
	if len(a.denials) < maxDenials {
		a.denials[p.Flow] = now
	}
	d, ok := a.doubts[p.Flow]
	if !ok {
		*out = append(*out, Action{Kind: Drop, Reason: NotHeld, Flow: p.Flow})
		return
	}
	delete(a.doubts, p.Flow)
	a.tell(d.origin, Message{Kind: FlowNotFound, Flow: p.Flow, Ack: p.Ack}, NotHeld, out)
}
