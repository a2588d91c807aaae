package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/udplink"
)

// transport sends and receives authenticated frames.
type transport struct {
	cfg  *Config
	link *udplink.Link
}

// frameHandler handles the frames of one receiving goroutine. A body is only valid
// during the call.
type frameHandler interface {
	handlePacket(h *frame.Header, body []byte)
	handlePeerMessage(from netip.AddrPort, m *peer.Message)
	handleGossip(from netip.AddrPort, body []byte)
	// finishBatch is called when all frames of a received batch have been handled.
	finishBatch()
}

func openTransport(cfg *Config) (*transport, error) {
	link, err := udplink.Open(cfg.Address)
	if err != nil {
		return nil, err
	}
	return &transport{cfg: cfg, link: link}, nil
}

// receiveFrames passes authenticated frames to the handler until the link is closed.
func (t *transport) receiveFrames(handler frameHandler) error {
	batch := udplink.NewBatch()
	var h frame.Header
	for {
		if err := t.link.Receive(batch); err != nil {
			if udplink.Closed(err) {
				return nil
			}
			return fmt.Errorf("receive frames: %w", err)
		}
		for i := range batch.Len() {
			body, err := t.cfg.Keys.Open(batch.Datagram(i), &h)
			if err != nil {
				t.countFrameError(err)
				continue
			}
			t.dispatchFrame(handler, &h, batch.From(i), body)
		}
		handler.finishBatch()
	}
}

func (t *transport) dispatchFrame(handler frameHandler, h *frame.Header, from netip.AddrPort, body []byte) {
	switch h.Kind {
	case frame.KindPacket:
		handler.handlePacket(h, body)
	case frame.KindGossip:
		handler.handleGossip(from, body)
	case frame.KindPeer:
		m, err := peer.Decode(body)
		if err != nil {
			t.incrementCounter("drop.peer_message")
			return
		}
		handler.handlePeerMessage(from, m)
	}
}

func (t *transport) countFrameError(err error) {
	var frameErr *frame.Error
	if errors.As(err, &frameErr) {
		t.incrementCounter("drop.frame." + string(frameErr.Reason))
	}
}

func (t *transport) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, t.cfg.Metrics).Inc(1)
}

// sealAndSend seals a message and sends it without batching. A message that the
// kernel rejects is lost; protocols that need it repeat it.
func (t *transport) sealAndSend(kind frame.Kind, to netip.AddrPort, body []byte) {
	h := frame.Header{Kind: kind}
	sealed, err := t.cfg.Keys.Seal(make([]byte, 0, len(body)+frame.MaxOverhead), &h, body)
	if err != nil {
		t.incrementCounter("drop.seal")
		return
	}
	if err := t.link.Send(sealed, to); err != nil {
		t.incrementCounter("drop.send")
		return
	}
	metrics.GetOrRegisterCounter("control.sent_bytes", t.cfg.Metrics).Inc(int64(len(sealed)))
}

func (t *transport) sendPeerMessage(to netip.AddrPort, m *peer.Message) {
	body, err := peer.Encode(m)
	if err != nil {
		t.incrementCounter("drop.encode")
		return
	}
	t.sealAndSend(frame.KindPeer, to, body)
}

// closeWhenDone closes the link when the context ends, which unblocks receiveFrames.
func (t *transport) closeWhenDone(ctx context.Context) error {
	<-ctx.Done()
	return t.link.Close()
}
