package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	eventCapacity = 2048
	// transferTimeout bounds the wait for another replica to become the leader
	// when the server stops. A transfer takes one exchange of messages.
	// Without a reachable voter it never succeeds.
	transferTimeout       = 3 * time.Second
	transferRetryInterval = 200 * time.Millisecond
)

// Options are the parameters of a Server.
type Options struct {
	VM vm.ID
	// Listen is the address for all jsonrpc2 methods.
	Listen string
	// InitialPeers holds the addresses of the replicas of the initial configuration,
	// including this one.
	InitialPeers map[vm.ID]string
	// Files is the data folder. The server closes it.
	Files logstore.FileSystem
	// Members returns the members that the gossip membership lists. If it is
	// nil, members.list returns the members that announced themselves.
	Members func() []view.Member
	// ServerTLS and ClientTLS are nil for plain TCP, which is for loopback
	// only.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// ElectionTimeout and HeartbeatInterval override the defaults of package
	// consensus if they are above 0.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// RequestTimeout bounds how long a request waits for a majority. 0 selects
	// the default.
	RequestTimeout time.Duration
	// CompactEntries is the number of applied entries at which a snapshot
	// replaces the log. 0 selects the default.
	CompactEntries uint64
	Log            *logrus.Entry
	Registry       metrics.Registry
}

// defaultRequestTimeout covers two elections. It is shorter than the time
// within which an accepted change must be applied on every node.
const defaultRequestTimeout = 5 * time.Second

// defaultCompactEntries keeps a log of rules below one megabyte. At 650
// changes a day it gives a snapshot every other day.
const defaultCompactEntries = 1000

// Server serves the control API and runs one Raft replica.
type Server struct {
	options   Options
	replica   *replica
	clients   *replicaClients
	rpc       *rpc.Server
	announced *announcedMembers
	events    *event.Buffer
	log       *logrus.Entry
	registry  metrics.Registry
	stopping  atomic.Bool
	mu        sync.Mutex
	// subscriptions holds, for each connection, the function that cancels its
	// update notifications.
	subscriptions map[*rpc.Conn]context.CancelFunc
	// pendingOnStop names the event that a stopping server is waiting for.
	pendingOnStop atomic.Pointer[string]
}

// New opens the data folder and the listener. The server handles no requests
// until Run is called.
func New(options Options) (*Server, error) {
	if options.RequestTimeout == 0 {
		options.RequestTimeout = defaultRequestTimeout
	}
	if options.CompactEntries == 0 {
		options.CompactEntries = defaultCompactEntries
	}
	s := &Server{
		options: options, announced: newAnnouncedMembers(), log: options.Log, registry: options.Registry,
		events:  event.NewBuffer(string(options.VM), eventCapacity),
		clients: newReplicaClients(options.VM, options.InitialPeers, options.ClientTLS),

		subscriptions: map[*rpc.Conn]context.CancelFunc{},
	}
	replica, err := newReplica(replicaOptions{
		consensus: s.consensusOptions(), files: options.Files, send: s.clients.enqueue, onPublish: s.onPublish,
		compactEntries: options.CompactEntries,
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // Spreads elections; needs no secrecy.
	})
	if err != nil {
		return nil, err
	}
	s.replica = replica
	listener, err := rpc.Listen(options.Listen, options.ServerTLS, s.rpcMethods().Handler(), s.connectionFailed)
	if err != nil {
		return nil, errors.Join(err, replica.store.Close())
	}
	s.rpc = listener
	return s, nil
}

func (s *Server) consensusOptions() consensus.Options {
	peers := make([]vm.ID, 0, len(s.options.InitialPeers))
	for id := range s.options.InitialPeers {
		peers = append(peers, id)
	}
	// A replica that restarts with an empty disk needs a greater incarnation
	// than before. Package consensus corrects the number if the clock was set
	// back.
	self := consensus.ReplicaID{VM: s.options.VM, Incarnation: vm.Incarnation(time.Now().UnixNano())}
	options := consensus.DefaultOptions(self, peers)
	if s.options.ElectionTimeout > 0 {
		options.ElectionTimeout = s.options.ElectionTimeout
	}
	if s.options.HeartbeatInterval > 0 {
		options.HeartbeatInterval = s.options.HeartbeatInterval
	}
	return options
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.rpc.Address().String() }

// Run serves until the context ends and then stops gracefully: it transfers
// the leadership and completes the requests in progress. It returns an error
// if the replica stopped by itself.
func (s *Server) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.clients.start(serveCtx)
	replicaDone := make(chan error, 1)
	go func() { replicaDone <- s.replica.run(serveCtx) }()
	rpcServerDone := make(chan error, 1)
	go func() { rpcServerDone <- s.rpc.Serve(serveCtx) }()
	removalDone := make(chan struct{})
	go func() { defer close(removalDone); s.removeRetiredVMs(serveCtx) }()
	var err error
	select {
	case <-ctx.Done():
		err = s.drain(serveCtx)
		cancel()
		err = errors.Join(err, <-replicaDone)
	case err = <-replicaDone:
		s.log.WithError(err).Error("control replica stopped by itself")
	case err = <-rpcServerDone:
		cancel()
		err = errors.Join(err, <-replicaDone)
	}
	cancel()
	<-removalDone
	err = errors.Join(err, s.rpc.Close())
	s.clients.close()
	return err
}

// drain transfers the leadership and waits for the requests in progress.
// Requests are bounded by RequestTimeout, so that the wait needs no timeout of
// its own.
func (s *Server) drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.rpc.Drain()
	s.setPendingOnStop("another replica to take the lead")
	s.transferLeadership(ctx)
	s.setPendingOnStop(fmt.Sprintf("%d requests in progress", s.rpc.InProgress()))
	err := s.rpc.Shutdown(ctx)
	s.setPendingOnStop("")
	return err
}

func (s *Server) transferLeadership(ctx context.Context) {
	deadline := time.After(transferTimeout)
	for s.replica.published().role == consensus.Leader && len(s.replica.published().configuration.Voters) > 1 {
		s.replica.requestTransfer()
		select {
		case <-deadline:
			s.log.Warn("leadership transfer timed out; stopping as the leader")
			return
		case <-s.replica.stopped:
			return
		case <-ctx.Done():
			return
		case <-s.replica.published().changed:
		case <-time.After(transferRetryInterval):
		}
	}
}

func (s *Server) setPendingOnStop(pending string) {
	s.pendingOnStop.Store(&pending)
	if pending != "" {
		s.log.WithField("waiting_for", pending).Info("stopping")
	}
}

// connectionFailed counts and logs a connection that ended with an error.
func (s *Server) connectionFailed(err error) {
	metrics.GetOrRegisterCounter("control.connections.rejected", s.registry).Inc(1)
	s.log.WithError(err).Debug("connection ended with an error")
}

// onPublish logs changes of the role, adds events and updates the gauges. It
// runs in the goroutine of the replica and must not block.
func (s *Server) onPublish(previous, current *publishedState) {
	revision := current.stateMachine.State.Revision
	if current.role != previous.role || current.leader != previous.leader || current.term != previous.term {
		s.log.WithFields(logrus.Fields{"role": current.role, "term": current.term, "leader": current.leader.VM}).Info("role changed")
	}
	if previousRevision := previous.stateMachine.State.Revision; revision > previousRevision {
		s.events.Add(event.Event{
			At: time.Now(), Kind: event.Applied, Object: "intent",
			Reason: fmt.Sprintf("revision %d after %d", revision, previousRevision), Revision: revision,
		})
	}
	if oldVoters, newVoters := len(previous.configuration.Voters), len(current.configuration.Voters); oldVoters != newVoters {
		s.events.Add(event.Event{
			At: time.Now(), Kind: event.Repaired, Object: "voters",
			Reason: fmt.Sprintf("%d voters after %d", newVoters, oldVoters), Revision: revision,
		})
	}
	metrics.GetOrRegisterGauge("control.revision", s.registry).Update(int64(revision))
	metrics.GetOrRegisterGauge("control.applied", s.registry).Update(int64(current.applied))
	metrics.GetOrRegisterGauge("control.term", s.registry).Update(int64(current.term))
}
