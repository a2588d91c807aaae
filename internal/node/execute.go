package node

import (
	"net/netip"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// executeActions carries out the actions of the core. h and p are the frame header
// and the packet that caused them. Both are nil for actions of timers and peer
// messages; h is nil for packets of the upstream.
func (w *packetWorker) executeActions(h *frame.Header, p []byte) {
	for i := range w.actions.List {
		w.executeAction(&w.actions.List[i], h, p)
	}
}

func (w *packetWorker) executeAction(action *agent.Action, h *frame.Header, p []byte) {
	switch action.Kind {
	case agent.Deliver:
		w.deliverToUpstream(action, p)
	case agent.Reply:
		w.sendToCaller(action, p)
	case agent.Forward:
		w.forwardToAgent(action, p)
	case agent.Refuse, agent.ResetCaller:
		w.countReason("reset", action.Reason)
		w.sendRefusal(action, p)
	case agent.Drop:
		w.countReason("drop", action.Reason)
	case agent.BufferPacket:
		w.queueOpening(action, h, p)
	case agent.ReprocessPacket:
		w.processQueuedOpening(action)
	case agent.DropBuffered:
		w.removeQueuedOpening(action.Ticket)
	case agent.Send:
		w.agent.transport.sendPeerMessage(action.To, action.Message)
	}
}

func (w *packetWorker) countReason(prefix string, reason agent.Reason) {
	w.agent.transport.incrementCounter(prefix + "." + string(reason))
}

// deliverToUpstream writes a packet of a caller to the device, addressed to the
// upstream and with the alias as its source.
func (w *packetWorker) deliverToUpstream(action *agent.Action, p []byte) {
	var err error
	if w.meta.Quoted {
		// This is an ICMP error. The router that reports it stays the outer source.
		err = packet.RewriteQuote(p, sourceAddress(p), action.Upstream.Addr(), action.Upstream, action.Alias)
	} else {
		packet.ClampMSS(p, w.agent.cfg.TunnelMTU)
		err = packet.Rewrite(p, action.Alias, action.Upstream)
	}
	w.writeToDevice(p, err)
}

// sendToCaller writes a packet of the upstream to the device, addressed to the
// caller and with the virtual address as its source.
func (w *packetWorker) sendToCaller(action *agent.Action, p []byte) {
	var err error
	if w.meta.Quoted {
		err = packet.RewriteQuote(p, action.Flow.Virtual.Addr(), action.Flow.Caller.Addr(), action.Flow.Caller, action.Flow.Virtual)
	} else {
		packet.ClampMSS(p, w.agent.cfg.TunnelMTU)
		err = packet.Rewrite(p, action.Flow.Virtual, action.Flow.Caller)
	}
	w.writeToDevice(p, err)
}

func sourceAddress(p []byte) netip.Addr {
	if p[0]>>4 == 4 {
		return netip.AddrFrom4([4]byte(p[12:16]))
	}
	return netip.AddrFrom16([16]byte(p[8:24]))
}

func (w *packetWorker) writeToDevice(p []byte, err error) {
	if err != nil {
		w.agent.transport.countPacketError(err)
		return
	}
	if err := w.agent.device.WritePacket(p); err != nil {
		w.agent.transport.incrementCounter("drop.device")
	}
}

func (w *packetWorker) forwardToAgent(action *agent.Action, p []byte) {
	sealed, err := w.agent.cfg.Keys.Seal(w.sendQueue.Next(), &action.Header, p)
	if err == nil {
		err = w.sendQueue.Add(sealed, action.To)
	}
	if err != nil {
		w.agent.transport.incrementCounter("drop.send")
		return
	}
	w.agent.transport.incrementCounter("forwarded")
}

// sendRefusal sends the reset of a refused packet to its caller. With a ticket, the
// refused packet is the queued opening of that ticket.
func (w *packetWorker) sendRefusal(action *agent.Action, p []byte) {
	if action.Ticket != 0 {
		opening, ok := w.removeQueuedOpening(action.Ticket)
		if !ok {
			return
		}
		p = opening.packet
	}
	if p == nil {
		return
	}
	// w.meta may describe another packet: a timer can refuse a queued opening.
	var meta packet.Meta
	if err := w.parser.Parse(p, &meta); err != nil {
		w.agent.transport.countPacketError(err)
		return
	}
	resetPacket, err := packet.BuildReset(p, &meta)
	w.writeToDevice(resetPacket, err)
}

func (w *packetWorker) queueOpening(action *agent.Action, h *frame.Header, p []byte) {
	opening := queuedOpening{header: *h, packet: append([]byte(nil), p...)}
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	w.agent.queuedOpenings[action.Ticket] = opening
}

func (w *packetWorker) removeQueuedOpening(ticket uint64) (queuedOpening, bool) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	opening, ok := w.agent.queuedOpenings[ticket]
	delete(w.agent.queuedOpenings, ticket)
	return opening, ok
}

// processQueuedOpening passes a queued opening to the core again. It uses another
// packetWorker, because w is still executing its own list of actions.
func (w *packetWorker) processQueuedOpening(action *agent.Action) {
	opening, ok := w.removeQueuedOpening(action.Ticket)
	if !ok {
		return
	}
	nested := &packetWorker{agent: w.agent, sendQueue: w.sendQueue}
	nested.handlePacket(&opening.header, opening.packet)
}

// startOpeningSpan starts the span of this hop if the opening is traced. The
// returned header carries its trace context to the next hop.
func (w *packetWorker) startOpeningSpan(h *frame.Header) (*frame.Header, trace.Span) {
	if !h.Trace.Sampled() {
		return h, nil
	}
	nextHeader := *h
	var span trace.Span
	nextHeader.Trace, span = w.agent.cfg.Tracer.Continue(h.Trace, "agent.opening",
		attribute.String("vm", string(w.agent.cfg.VM)), attribute.Int("hops", int(h.Hops)), attribute.Int("flags", int(h.Flags)))
	return &nextHeader, span
}

func (w *packetWorker) endOpeningSpan(span trace.Span) {
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
		case agent.BufferPacket:
			span.SetAttributes(attribute.String("action", "held"))
		}
	}
	span.End()
}
