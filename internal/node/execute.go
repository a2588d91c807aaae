package node

import (
	"net/netip"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// execute carries out the actions of the core. h and p are the frame header and
// the packet that caused them; both are nil for timers and messages.
func (w *worker) execute(h *frame.Header, p []byte) {
	for i := range w.actions.List {
		w.do(&w.actions.List[i], h, p)
	}
}

func (w *worker) do(action *agent.Action, h *frame.Header, p []byte) {
	switch action.Kind {
	case agent.Deliver:
		w.deliver(action, p)
	case agent.Reply:
		w.reply(action, p)
	case agent.Forward:
		w.forward(action, p)
	case agent.Refuse, agent.ResetCaller:
		w.count("reset", action.Reason)
		w.refuse(action, p)
	case agent.Drop:
		w.count("drop", action.Reason)
	case agent.Hold:
		w.hold(action, h, p)
	case agent.Release:
		w.release(action)
	case agent.Discard:
		w.takeHeld(action.Ticket)
	case agent.Send:
		w.a.transport.sendMessage(action.To, action.Message)
	}
}

func (w *worker) count(prefix string, reason agent.Reason) {
	w.a.transport.count(prefix + "." + string(reason))
}

// deliver hands a packet of a caller to the upstream.
func (w *worker) deliver(action *agent.Action, p []byte) {
	var err error
	if w.meta.Quoted {
		// The router that reports the error stays the outer source.
		err = packet.RewriteQuote(p, outerSource(p), action.Upstream.Addr(), action.Upstream, action.Alias)
	} else {
		packet.ClampMSS(p, w.a.cfg.TunnelMTU)
		err = packet.Rewrite(p, action.Alias, action.Upstream)
	}
	w.write(p, err)
}

// reply hands a packet of the upstream to the caller.
func (w *worker) reply(action *agent.Action, p []byte) {
	var err error
	if w.meta.Quoted {
		err = packet.RewriteQuote(p, action.Flow.Virtual.Addr(), action.Flow.Caller.Addr(), action.Flow.Caller, action.Flow.Virtual)
	} else {
		packet.ClampMSS(p, w.a.cfg.TunnelMTU)
		err = packet.Rewrite(p, action.Flow.Virtual, action.Flow.Caller)
	}
	w.write(p, err)
}

func outerSource(p []byte) netip.Addr {
	if p[0]>>4 == 4 {
		return netip.AddrFrom4([4]byte(p[12:16]))
	}
	return netip.AddrFrom16([16]byte(p[8:24]))
}

func (w *worker) write(p []byte, err error) {
	if err != nil {
		w.a.transport.countPacket(err)
		return
	}
	if err := w.a.device.WritePacket(p); err != nil {
		w.a.transport.count("drop.device")
	}
}

func (w *worker) forward(action *agent.Action, p []byte) {
	sealed, err := w.a.cfg.Keys.Seal(w.queue.Next(), &action.Header, p)
	if err == nil {
		err = w.queue.Add(sealed, action.To)
	}
	if err != nil {
		w.a.transport.count("drop.send")
		return
	}
	w.a.transport.count("forwarded")
}

// refuse answers the packet at hand, or the held one that the action names.
func (w *worker) refuse(action *agent.Action, p []byte) {
	if action.Ticket != 0 {
		held, ok := w.takeHeld(action.Ticket)
		if !ok {
			return
		}
		p = held.packet
	}
	if p == nil {
		return
	}
	// A timer may refuse a held packet, so the packet is parsed here.
	var meta packet.Meta
	if err := w.parser.Parse(p, &meta); err != nil {
		w.a.transport.countPacket(err)
		return
	}
	answer, err := packet.BuildReset(p, &meta)
	w.write(answer, err)
}

func (w *worker) hold(action *agent.Action, h *frame.Header, p []byte) {
	held := heldPacket{header: *h, packet: append([]byte(nil), p...)}
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	w.a.held[action.Ticket] = held
}

func (w *worker) takeHeld(ticket uint64) (heldPacket, bool) {
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	held, ok := w.a.held[ticket]
	delete(w.a.held, ticket)
	return held, ok
}

// release handles a held packet again with a worker of its own, since this one
// is in the middle of its actions.
func (w *worker) release(action *agent.Action) {
	held, ok := w.takeHeld(action.Ticket)
	if !ok {
		return
	}
	inner := &worker{a: w.a, queue: w.queue}
	inner.packet(&held.header, held.packet)
}

// startSpan begins the span of this hop. The returned header carries it on.
func (w *worker) startSpan(h *frame.Header) (*frame.Header, trace.Span) {
	if !h.Trace.Sampled() {
		return h, nil
	}
	next := *h
	var span trace.Span
	next.Trace, span = w.a.cfg.Tracer.Continue(h.Trace, "agent.opening",
		attribute.String("vm", string(w.a.cfg.VM)), attribute.Int("hops", int(h.Hops)), attribute.Int("flags", int(h.Flags)))
	return &next, span
}

func (w *worker) endSpan(span trace.Span) {
	if span == nil {
		return
	}
	for i := range w.actions.List {
		action := &w.actions.List[i]
		switch action.Kind {
		case agent.Deliver:
			span.SetAttributes(attribute.String("action", "delivered"))
		case agent.Forward:
			span.SetAttributes(attribute.String("action", "forwarded"), attribute.String("to", string(action.ToVM)))
		case agent.Refuse:
			span.SetAttributes(attribute.String("action", "refused"), attribute.String("reason", string(action.Reason)))
		case agent.Hold:
			span.SetAttributes(attribute.String("action", "held"))
		}
	}
	span.End()
}
