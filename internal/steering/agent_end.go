package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// UpstreamExited notes that the process of an incarnation of the upstream no longer
// exists. It takes no openings until an upstream announces itself again. It
// reports whether that is news.
func (a *Agent) UpstreamExited(now time.Time, incarnation vm.Incarnation, out *[]Action) bool {
	if !a.known || a.upstream.Incarnation != incarnation {
		return false
	}
	a.endFlows(now, 0, out)
	if a.upstream.Status == view.Failed || a.upstream.Status == view.Left {
		return false
	}
	a.upstream.Status = view.Failed
	return true
}

// ConfirmNoUpstream notes that there is no process of the upstream, before it has announced
// itself: no flow is held here. It answers the pattern in which the VM of an
// upstream that has left comes back with all others and is taken away, without a
// word, while every flow is searched. It reports whether that is news.
func (a *Agent) ConfirmNoUpstream() bool {
	if a.known || a.absent {
		return false
	}
	a.absent = true
	return true
}

// endFlows resets the open flows of all incarnations but the given one. It answers the
// pattern in which an upstream crashes under load: its callers would wait for
// their whole time, and learn of it by nothing else.
func (a *Agent) endFlows(now time.Time, current vm.Incarnation, out *[]Action) {
	for key, f := range a.flows {
		if f.incarnation == current || f.gone {
			continue
		}
		if !f.open {
			// The caller may have taken the answer of another upstream.
			a.forget(key, f)
			if !f.answered {
				a.tell(f.origin, Message{Kind: OpeningRejected, Verdict: NoResponse, Flow: key, Sequence: f.opening}, UpstreamFailed, out)
			}
			continue
		}
		a.setStage(f, quiet)
		f.gone, f.seenAt = true, now
		if !f.finished {
			a.resetGone(&Packet{Flow: key, Ack: f.ack}, f, out)
		}
	}
}

// near reports whether an acknowledgement belongs to this flow. The caller may have
// used its port again for a flow at another upstream, which must not be reset.
func (f *held) near(ack uint32) bool {
	return ack-f.ack <= ackWindow || f.ack-ack <= ackWindow
}

// resetGone tells a caller that the process that held its flow has ended.
func (a *Agent) resetGone(p *Packet, f *held, out *[]Action) {
	f.finished = true
	if p.Flags.Has(RST) {
		return
	}
	*out = append(*out, Action{Kind: Reset, Reason: UpstreamFailed, Flow: p.Flow, Sequence: p.Ack})
}
