package control

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// linkQueue bounds the messages that wait for one replica; more are
	// dropped, which the protocol tolerates.
	linkQueue = 256
	// The pause after a failed dial is random in this range, so that replicas
	// do not dial a returning one at the same moment.
	minDialPause = 50 * time.Millisecond
	maxDialPause = 500 * time.Millisecond
)

// link is the connection to one other replica.
type link struct {
	address string
	config  *tls.Config
	queue   chan consensus.Message

	mu   sync.Mutex
	conn *rpc.Conn
}

// links connects a replica with all others.
type links struct {
	peers map[vm.ID]*link
	done  sync.WaitGroup
}

func newLinks(self vm.ID, addresses map[vm.ID]string, config *tls.Config) *links {
	l := &links{peers: map[vm.ID]*link{}}
	for id, address := range addresses {
		if id != self {
			l.peers[id] = &link{address: address, config: config, queue: make(chan consensus.Message, linkQueue)}
		}
	}
	return l
}

// start sends queued messages until the context ends.
func (l *links) start(ctx context.Context) {
	for _, peer := range l.peers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			peer.run(ctx)
		}()
	}
}

// send queues messages.
func (l *links) send(messages []consensus.Message) {
	for _, m := range messages {
		peer, ok := l.peers[m.To.VM]
		if !ok {
			continue
		}
		select {
		case peer.queue <- m:
		default:
		}
	}
}

// close closes the connections and waits for the senders.
func (l *links) close() {
	for _, peer := range l.peers {
		peer.disconnect(peer.current())
	}
	l.done.Wait()
}

func (p *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			p.disconnect(p.current())
			return
		case m := <-p.queue:
			if p.deliver(ctx, m) == nil {
				continue
			}
			p.discard()
			pause := minDialPause + rand.N(maxDialPause-minDialPause) //nolint:gosec // Spreads load; needs no secrecy.
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// discard drops the queued messages. After a pause they would be outdated, and
// the protocol sends again what still matters.
func (p *link) discard() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (p *link) deliver(ctx context.Context, m consensus.Message) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, controlapi.ReplicaMessage, controlapi.ReplicaEnvelope{Message: data}); err != nil {
		p.disconnect(conn)
		return err
	}
	return nil
}

func (p *link) current() *rpc.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func (p *link) connect(ctx context.Context) (*rpc.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		select {
		case <-p.conn.DisconnectNotify():
		default:
			return p.conn, nil
		}
	}
	conn, err := rpc.Dial(ctx, p.address, p.config, rpc.Methods{}.Handler())
	if err != nil {
		return nil, err
	}
	p.conn = conn
	return conn, nil
}

func (p *link) disconnect(conn *rpc.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn == nil || p.conn != conn {
		return
	}
	_ = conn.Close()
	p.conn = nil
}

// forward calls a method of another replica through ReplicaForward.
func (p *link) forward(ctx context.Context, request controlapi.ForwardRequest, result any) error {
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return conn.Call(ctx, controlapi.ReplicaForward, request, result)
}
