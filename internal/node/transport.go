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

// receiver handles the frames of one receiving goroutine. The body is only
// valid during the call.
type receiver interface {
	packet(h *frame.Header, body []byte)
	message(from netip.AddrPort, m *peer.Message)
	gossip(from netip.AddrPort, body []byte)
	// batchEnd is called when all received frames were handled.
	batchEnd()
}

func openTransport(cfg *Config) (*transport, error) {
	link, err := udplink.Open(cfg.Address)
	if err != nil {
		return nil, err
	}
	return &transport{cfg: cfg, link: link}, nil
}

// receive handles frames until the link is closed.
func (t *transport) receive(r receiver) error {
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
				t.countRejected(err)
				continue
			}
			t.dispatch(r, &h, batch.From(i), body)
		}
		r.batchEnd()
	}
}

func (t *transport) dispatch(r receiver, h *frame.Header, from netip.AddrPort, body []byte) {
	switch h.Kind {
	case frame.KindPacket:
		r.packet(h, body)
	case frame.KindGossip:
		r.gossip(from, body)
	case frame.KindPeer:
		m, err := peer.Decode(body)
		if err != nil {
			t.count("drop.peer_message")
			return
		}
		r.message(from, m)
	}
}

func (t *transport) countRejected(err error) {
	var rejected *frame.Error
	if errors.As(err, &rejected) {
		t.count("drop.frame." + string(rejected.Reason))
	}
}

func (t *transport) count(name string) {
	metrics.GetOrRegisterCounter(name, t.cfg.Metrics).Inc(1)
}

// send seals a message and sends it at once. A message that the kernel does not
// take is lost; the sender repeats what matters.
func (t *transport) send(kind frame.Kind, to netip.AddrPort, body []byte) {
	h := frame.Header{Kind: kind}
	sealed, err := t.cfg.Keys.Seal(make([]byte, 0, len(body)+frame.MaxOverhead), &h, body)
	if err != nil {
		t.count("drop.seal")
		return
	}
	if err := t.link.Send(sealed, to); err != nil {
		t.count("drop.send")
		return
	}
	metrics.GetOrRegisterCounter("control.sent_bytes", t.cfg.Metrics).Inc(int64(len(sealed)))
}

func (t *transport) sendMessage(to netip.AddrPort, m *peer.Message) {
	body, err := peer.Encode(m)
	if err != nil {
		t.count("drop.encode")
		return
	}
	t.send(frame.KindPeer, to, body)
}

// closeOn closes the link when the context ends, which unblocks receive.
func (t *transport) closeOn(ctx context.Context) error {
	<-ctx.Done()
	return t.link.Close()
}
