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
	// clientQueueSize bounds the messages that wait to be sent to one replica.
	// Messages beyond it are dropped, which the consensus protocol tolerates.
	clientQueueSize = 256
	// The delay after a failed dial or write is random in this range, so that
	// the replicas do not all dial a restarted replica at the same moment.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// replicaClient sends messages and requests to one other replica. It dials on
// demand and keeps the connection open.
type replicaClient struct {
	address   string
	tlsConfig *tls.Config
	queue     chan consensus.Message

	mu   sync.Mutex
	conn *rpc.Conn
}

// replicaClients holds one client for each other replica.
type replicaClients struct {
	byVM    map[vm.ID]*replicaClient
	senders sync.WaitGroup
}

func newReplicaClients(self vm.ID, addresses map[vm.ID]string, tlsConfig *tls.Config) *replicaClients {
	clients := &replicaClients{byVM: map[vm.ID]*replicaClient{}}
	for id, address := range addresses {
		if id != self {
			clients.byVM[id] = &replicaClient{address: address, tlsConfig: tlsConfig, queue: make(chan consensus.Message, clientQueueSize)}
		}
	}
	return clients
}

// start starts the senders, which run until the context ends.
func (c *replicaClients) start(ctx context.Context) {
	for _, client := range c.byVM {
		c.senders.Add(1)
		go func() {
			defer c.senders.Done()
			client.sendQueued(ctx)
		}()
	}
}

// enqueue queues messages for their receivers. It drops messages to unknown
// VMs and those for which the queue is full.
func (c *replicaClients) enqueue(messages []consensus.Message) {
	for _, m := range messages {
		client, ok := c.byVM[m.To.VM]
		if !ok {
			continue
		}
		select {
		case client.queue <- m:
		default:
		}
	}
}

// close closes the connections and waits for the senders to end.
func (c *replicaClients) close() {
	for _, client := range c.byVM {
		client.closeConn(client.currentConn())
	}
	c.senders.Wait()
}

// sendQueued sends queued messages in order until the context ends. After a
// failure it clears the queue and waits before the next attempt.
func (c *replicaClient) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			c.closeConn(c.currentConn())
			return
		case m := <-c.queue:
			if c.sendMessage(ctx, m) == nil {
				continue
			}
			c.clearQueue()
			delay := minRedialDelay + rand.N(maxRedialDelay-minRedialDelay) //nolint:gosec // Spreads load; needs no secrecy.
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
	}
}

// clearQueue drops the queued messages. They would be outdated after the
// delay, and the consensus protocol retransmits what is still needed.
func (c *replicaClient) clearQueue() {
	for {
		select {
		case <-c.queue:
		default:
			return
		}
	}
}

func (c *replicaClient) sendMessage(ctx context.Context, m consensus.Message) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	conn, err := c.openConn(ctx)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, controlapi.ReplicaMessage, controlapi.ReplicaEnvelope{Message: data}); err != nil {
		c.closeConn(conn)
		return err
	}
	return nil
}

func (c *replicaClient) currentConn() *rpc.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// openConn returns the open connection, or dials if there is none.
func (c *replicaClient) openConn(ctx context.Context) (*rpc.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
		default:
			return c.conn, nil
		}
	}
	conn, err := rpc.Dial(ctx, c.address, c.tlsConfig, rpc.Methods{}.Handler())
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return conn, nil
}

// closeConn closes the given connection unless another one has replaced it.
func (c *replicaClient) closeConn(conn *rpc.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn == nil || c.conn != conn {
		return
	}
	_ = conn.Close()
	c.conn = nil
}

// forward calls a method of the other replica through ReplicaForward.
func (c *replicaClient) forward(ctx context.Context, request controlapi.ForwardRequest, result any) error {
	conn, err := c.openConn(ctx)
	if err != nil {
		return err
	}
	return conn.Call(ctx, controlapi.ReplicaForward, request, result)
}
