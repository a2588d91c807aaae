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
	// handOverTimeout bounds the wait for another replica to lead. A transfer
	// takes one exchange; without a reachable voter it never succeeds.
	handOverTimeout = 3 * time.Second
	handOverPoll    = 200 * time.Millisecond
)

// Options are the parameters of a Server.
type Options struct {
	VM vm.ID
	// Listen is the address for all jsonrpc2 methods.
	Listen string
	// Peers holds the addresses of the replicas of the first configuration,
	// including this one.
	Peers map[vm.ID]string
	// Files is the data folder. The server closes it.
	Files logstore.FileSystem
	// Members returns what the membership knows; nil answers members.list from
	// the announcements to this replica.
	Members func() []view.Member
	// ServerTLS and ClientTLS are nil for plain TCP on loopback.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// ElectionTimeout and Heartbeat are zero for the defaults of the consensus
	// package.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// RequestTimeout bounds how long a request waits for a majority; zero is
	// the default.
	RequestTimeout time.Duration
	// CompactEntries is the number of entries after which the log is replaced
	// by a snapshot; zero is the default.
	CompactEntries uint64
	Log            *logrus.Entry
	Registry       metrics.Registry
}

// defaultRequestTimeout covers two elections and is below the time in which an
// accepted change must be in force.
const defaultRequestTimeout = 5 * time.Second

// defaultCompactEntries keeps the log below a megabyte of rules and makes a
// snapshot every other day at 650 changes a day.
const defaultCompactEntries = 1000

// Server is one control replica.
type Server struct {
	options  Options
	replica  *replica
	links    *links
	rpc      *rpc.Server
	members  *memberTable
	events   *event.Buffer
	log      *logrus.Entry
	registry metrics.Registry
	stopping atomic.Bool
	mu       sync.Mutex
	// subscriptions holds what ends the notifications of a connection.
	subscriptions map[*rpc.Conn]context.CancelFunc
	// waitingFor says what a stopping server still waits for.
	waitingFor atomic.Pointer[string]
}

// New opens the data folder and the listener. Run must be called to serve.
func New(options Options) (*Server, error) {
	if options.RequestTimeout == 0 {
		options.RequestTimeout = defaultRequestTimeout
	}
	if options.CompactEntries == 0 {
		options.CompactEntries = defaultCompactEntries
	}
	s := &Server{
		options: options, members: newMemberTable(), log: options.Log, registry: options.Registry,
		events: event.NewBuffer(string(options.VM), eventCapacity),
		links:  newLinks(options.VM, options.Peers, options.ClientTLS),

		subscriptions: map[*rpc.Conn]context.CancelFunc{},
	}
	replica, err := newReplica(replicaOptions{
		consensus: s.consensusOptions(), files: options.Files, send: s.links.send, observe: s.observe,
		compactEntries: options.CompactEntries,
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // Spreads elections; needs no secrecy.
	})
	if err != nil {
		return nil, err
	}
	s.replica = replica
	listener, err := rpc.Listen(options.Listen, options.ServerTLS, s.methods().Handler(), s.rejected)
	if err != nil {
		return nil, errors.Join(err, replica.store.Close())
	}
	s.rpc = listener
	return s, nil
}

func (s *Server) consensusOptions() consensus.Options {
	peers := make([]vm.ID, 0, len(s.options.Peers))
	for id := range s.options.Peers {
		peers = append(peers, id)
	}
	// A later life of an empty disk gets a greater number. Consensus corrects
	// it if the clock went back.
	self := consensus.Replica{VM: s.options.VM, Incarnation: vm.Incarnation(time.Now().UnixNano())}
	o := consensus.DefaultOptions(self, peers)
	if s.options.ElectionTimeout > 0 {
		o.ElectionTimeout = s.options.ElectionTimeout
	}
	if s.options.Heartbeat > 0 {
		o.Heartbeat = s.options.Heartbeat
	}
	return o
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.rpc.Address().String() }

// Run serves until the context ends, then stops gracefully: another replica
// takes the lead and requests in progress are finished. It returns an error if
// the replica had to stop by itself.
func (s *Server) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.links.start(running)
	failed := make(chan error, 1)
	go func() { failed <- s.replica.run(running) }()
	served := make(chan error, 1)
	go func() { served <- s.rpc.Serve(running) }()
	reviewed := make(chan struct{})
	go func() { defer close(reviewed); s.followRetired(running) }()
	var err error
	select {
	case <-ctx.Done():
		err = s.drain(running)
		cancel()
		err = errors.Join(err, <-failed)
	case err = <-failed:
		s.log.WithError(err).Error("replica stopped")
	case err = <-served:
		cancel()
		err = errors.Join(err, <-failed)
	}
	cancel()
	<-reviewed
	err = errors.Join(err, s.rpc.Close())
	s.links.close()
	return err
}

// drain hands the lead over and waits for requests in progress. It has no time
// limit of its own: requests are bounded by RequestTimeout.
func (s *Server) drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.rpc.Drain()
	s.waitFor("another replica to take the lead")
	s.handOver(ctx)
	s.waitFor(fmt.Sprintf("%d requests in progress", s.rpc.InProgress()))
	err := s.rpc.Shutdown(ctx)
	s.waitFor("")
	return err
}

func (s *Server) handOver(ctx context.Context) {
	deadline := time.After(handOverTimeout)
	for s.replica.view().role == consensus.Leader && len(s.replica.view().configuration.Voters) > 1 {
		s.replica.transfer()
		select {
		case <-deadline:
			s.log.Warn("no other replica took the lead before the stop")
			return
		case <-s.replica.stopped:
			return
		case <-ctx.Done():
			return
		case <-s.replica.view().changed:
		case <-time.After(handOverPoll):
		}
	}
}

func (s *Server) waitFor(what string) {
	s.waitingFor.Store(&what)
	if what != "" {
		s.log.WithField("waiting_for", what).Info("stopping")
	}
}

func (s *Server) rejected(err error) {
	metrics.GetOrRegisterCounter("control.connections.rejected", s.registry).Inc(1)
	s.log.WithError(err).Debug("connection ended with an error")
}

// observe records what changed in the replica. It runs in the goroutine of the
// replica and must not block.
func (s *Server) observe(previous, current *published) {
	revision := current.machine.State.Revision
	if current.role != previous.role || current.leader != previous.leader || current.term != previous.term {
		s.log.WithFields(logrus.Fields{"role": current.role, "term": current.term, "leader": current.leader.VM}).Info("role changed")
	}
	if before := previous.machine.State.Revision; revision > before {
		s.events.Add(event.Event{
			At: time.Now(), Kind: event.Applied, Object: "intent",
			Reason: fmt.Sprintf("revision %d after %d", revision, before), Revision: revision,
		})
	}
	if a, b := len(previous.configuration.Voters), len(current.configuration.Voters); a != b {
		s.events.Add(event.Event{
			At: time.Now(), Kind: event.Repaired, Object: "voters",
			Reason: fmt.Sprintf("%d voters after %d", b, a), Revision: revision,
		})
	}
	metrics.GetOrRegisterGauge("control.revision", s.registry).Update(int64(revision))
	metrics.GetOrRegisterGauge("control.applied", s.registry).Update(int64(current.applied))
	metrics.GetOrRegisterGauge("control.term", s.registry).Update(int64(current.term))
}
