package fabric

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// defaultRequestTimeout bounds how long a call waits for a leader or a majority. It is
	// shorter than a second, after which HTTP clients try another control process.
	defaultRequestTimeout = 850 * time.Millisecond
	// applyTimePerByte is added to it for each byte of a change, compressed. Replicas decode a
	// change before they respond, and clients wait longer for the response to a large body.
	applyTimePerByte = time.Microsecond
	// leaderPollInterval is how often a waiting call checks for a leader.
	leaderPollInterval = 25 * time.Millisecond
)

// Control runs a control process. It serves the directory of processes. If its VM
// has a disk and counts against MaxLosses, it also runs a Raft replica of the
// desired state.
type Control struct {
	*node
	directoryServer *directory.Server
	// raftNode and replicaState are nil while no replica is open.
	raftNode     atomic.Pointer[control.RaftNode]
	replicaState atomic.Pointer[control.ReplicaState]
	// encodedDesired caches the encoded desired state of encodedVersion.
	encodedDesired []byte
	encodedVersion uint64
	// terms is guarded by the lock.
	terms     publishedTerms
	joinPeers joinPeers
	known     knownProcesses
	// learnerSince is when the replica was opened or made a learner, or zero while it is a
	// voter.
	learnerSince   time.Time
	requestTimeout time.Duration
	// openFolder opens the data folder.
	openFolder func(path string) (logstore.FileSystem, error)
}

// NewControl opens the message socket of a control process. Run processes
// messages.
func NewControl(cfg Config, deps Dependencies) (*Control, error) {
	shared, err := newNode(cfg, deps, vm.RoleControl, cfg.ControlPort, true)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	self := shared.directoryClient.Self()
	self.Status = view.Ready
	c := &Control{node: shared, known: knownProcesses{path: knownProcessesPath(cfg.DataFolder)}, requestTimeout: defaultRequestTimeout, openFolder: logstore.OpenFolder, terms: publishedTerms{always: cfg.ZoneOrderBound > 0}}
	const bitsPerByte = 8
	c.directoryServer = directory.NewServer(directory.ServerConfig{
		Epoch: newRandom().Uint64(), Self: self, StartedAt: now, AlwaysServesRecords: c.hasReplica(), LinkBytesPerSecond: cfg.LinkBitsPerSecond / bitsPerByte,
	})
	shared.onTimer = func(now time.Time) {
		c.sendSyncResponses(c.directoryServer.Tick(now))
		c.updateJoinPeers()
		c.saveKnownProcesses(now)
		c.setGauge("desired.version", int(c.directoryServer.Version))
	}
	shared.nextDeadline = c.directoryServer.Deadline
	registerHandler(shared.transport, kindSyncRequest, shared.countRejected, c.handleSyncRequest)
	registerHandler(shared.transport, kindSyncResponse, shared.countRejected, c.handleSyncResponse)
	registerHandler(shared.transport, kindFetchRequest, shared.countRejected, c.handleFetchRequest)
	registerHandler(shared.transport, kindConsensus, shared.countRejected, c.handleConsensusMessage)
	return c, nil
}

// hasReplica reports whether this process runs a Raft replica.
func (c *Control) hasReplica() bool { return c.cfg.DataFolder != "" && c.cfg.CountsAsLoss }

// Run serves until the context ends. The replica then transfers its leadership and its
// vote.
func (c *Control) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := errgroup.Group{}
	group.Go(c.transport.receiveMessages)
	c.announce()
	if c.hasReplica() {
		group.Go(func() error { c.runReplica(runCtx); return nil })
	}
	c.mu.Lock()
	c.sendSyncRequests(c.directoryClient.PublishRecord(time.Now(), func(r *directory.Record) { r.Status = view.Ready }))
	c.resetTimer(time.Now())
	c.mu.Unlock()
	<-ctx.Done()
	c.handOver(runCtx)
	cancel()
	err := c.close()
	return errors.Join(err, group.Wait())
}

// handleStateChange stores a new replica state, and publishes a new leader or a
// later version of the desired state in the directory. It runs in the goroutine
// of the replica.
func (c *Control) handleStateChange(state control.ReplicaState) {
	previous := c.replicaState.Swap(&state)
	if previous == nil || previous.Role != state.Role || previous.Leader != state.Leader {
		c.Log.WithFields(logrus.Fields{"role": state.Role, "leader": state.Leader, "term": state.Term, "voters": len(state.Voters)}).Info("replica role or leader changed")
	}
	if previous == nil || !slices.Equal(previous.Voters, state.Voters) {
		c.mu.Lock()
		zones := c.recordVotersByZone(&state)
		c.mu.Unlock()
		c.Log.WithFields(logrus.Fields{"voters": replicaNames(state.Voters), "learners": replicaNames(state.Learners), "zones": zones, "term": state.Term}).Info("voters changed")
	}
	c.recordCatchUp(time.Now(), &state)
	c.setGauge("replica.voters", len(state.Voters))
	c.setGauge("replica.learners", len(state.Learners))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directoryServer.Leader = leaderAddress(&state)
	version := uint64(0)
	if state.State.Desired != nil {
		version = state.State.Desired.Version
	}
	if version > c.directoryServer.Version {
		c.directoryServer.Version = version
		c.Log.WithField("version", version).Info("desired state accepted")
		c.sendSyncResponses(c.directoryServer.StatusUpdates(time.Now()))
	}
	c.updateTerms(&state)
}

// leaderAddress returns the zero address if there is no leader.
func leaderAddress(state *control.ReplicaState) netip.Addr {
	if state.Leader == "" {
		return netip.Addr{}
	}
	address, err := netip.ParseAddr(string(state.Leader))
	if err != nil {
		return netip.Addr{}
	}
	return address
}

func (c *Control) sendSyncResponses(responses []directory.AddressedResponse) {
	for _, response := range responses {
		port := c.cfg.NodePort
		if response.Role == vm.RoleControl {
			port = c.cfg.ControlPort
		}
		c.countSendError(c.transport.send(response.To, port, kindSyncResponse, response.SyncResponse))
	}
}

func (c *Control) handleSyncRequest(_ netip.Addr, request *directory.SyncRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sendSyncResponses(c.directoryServer.HandleSyncRequest(now, request))
	if c.terms.due(now, &request.Self) {
		c.sendTerms(&request.Self)
	}
	c.resetTimer(now)
}

// handleSyncResponse merges the sync response of a control process. It clears the
// version, because a control process does not fetch the desired state.
func (c *Control) handleSyncResponse(from netip.Addr, response *directory.SyncResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	response.Version = 0
	c.mergeSyncResponse(now, from, response)
	if from != c.cfg.Address {
		c.sendSyncResponses(c.directoryServer.Merge(now, response, c.directoryClient.Complete()))
	}
	if !c.hasReplica() {
		c.directoryServer.Leader = c.directoryClient.Leader()
	}
	c.resetTimer(now)
}

// handleFetchRequest sends the desired state if its version is later than the one
// that the requesting process has applied.
func (c *Control) handleFetchRequest(from netip.Addr, request *fetchRequest) {
	state := c.replicaState.Load()
	if state == nil || state.State.Desired == nil || state.State.Desired.Version <= request.AboveVersion {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if desired := state.State.Desired; c.encodedVersion != desired.Version {
		encoded, err := encodeDesired(desired)
		if err != nil {
			c.Log.WithError(err).Error("desired state not sent")
			return
		}
		c.encodedDesired, c.encodedVersion = encoded, desired.Version
	}
	c.countSendError(c.transport.sendPayload(netip.AddrPortFrom(from, c.cfg.NodePort), kindDesiredState, c.encodedDesired))
}

// handleConsensusMessage delivers a message to the replica. A process that runs no
// replica responds to a join request with NoReplica.
func (c *Control) handleConsensusMessage(from netip.Addr, message *consensus.Message) {
	if raft := c.raftNode.Load(); raft != nil {
		raft.Deliver(*message)
		return
	}
	if message.JoinRequest == nil || c.hasReplica() {
		return
	}
	c.sendConsensusMessages([]consensus.Message{{
		From: consensus.ReplicaID{VM: replicaID(c.cfg.Address)}, To: message.From, JoinResponse: &consensus.JoinResponse{NoReplica: true},
	}})
}

func (c *Control) sendConsensusMessages(messages []consensus.Message) {
	for i := range messages {
		to, err := netip.ParseAddr(string(messages[i].To.VM))
		if err != nil {
			c.Log.WithError(err).Error("consensus message not sent: replica ID is not an IP address")
			continue
		}
		c.mu.Lock()
		c.countSendError(c.transport.send(to, c.cfg.ControlPort, kindConsensus, &messages[i]))
		c.mu.Unlock()
	}
}

// runOnLeader runs a call if this process is the leader. If another process leads,
// it returns a RedirectError. If no leader is known, it waits for up to
// c.requestTimeout and then returns an UnavailableError.
func (c *Control) runOnLeader(ctx context.Context, call func(context.Context, *control.RaftNode) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.requestTimeout)
	defer cancel()
	for {
		raft := c.raftNode.Load()
		leader := netip.Addr{}
		if state := c.replicaState.Load(); state != nil {
			leader = leaderAddress(state)
		} else if !c.hasReplica() {
			c.mu.Lock()
			leader = c.directoryClient.Leader()
			c.mu.Unlock()
		}
		switch {
		case leader == c.cfg.Address && raft != nil:
			err := call(ctx, raft)
			var notLeader *consensus.NotLeaderError
			if !errors.As(err, &notLeader) {
				return err
			}
		case leader.IsValid() && leader != c.cfg.Address:
			return &RedirectError{Leader: leader}
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{Reason: "no leader is known"}
		case <-time.After(leaderPollInterval):
		}
	}
}

// Propose proposes a desired state to the replicated log and returns the outcome.
func (c *Control) Propose(ctx context.Context, desired *intent.DesiredState) (result intent.Result, err error) {
	startedAt := time.Now()
	var encoded *control.EncodedChange
	err = c.runOnLeader(ctx, func(_ context.Context, raft *control.RaftNode) error {
		if encoded == nil {
			if encoded, err = control.EncodeChange(intent.Change{Kind: intent.KindDesired, Desired: desired}); err != nil {
				return err
			}
		}
		// The time for the majority begins once the change is encoded.
		proposeCtx, cancel := context.WithTimeout(ctx, c.requestTimeout+time.Duration(encoded.Size())*applyTimePerByte)
		defer cancel()
		result, err = raft.Propose(proposeCtx, encoded)
		return err
	})
	c.recordDuration("proposals.us", time.Since(startedAt))
	entry := c.Log.WithFields(logrus.Fields{"version": desired.Version, "routes": len(desired.Routes), "outcome": result.Outcome})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("desired state proposed")
	return result, err
}

// Read returns the document of the accepted desired state, or nil if there is
// none.
func (c *Control) Read(ctx context.Context) (document []byte, err error) {
	startedAt := time.Now()
	defer func() { c.recordDuration("reads.us", time.Since(startedAt)) }()
	err = c.runOnLeader(ctx, func(ctx context.Context, raft *control.RaftNode) error {
		state, err := raft.Read(ctx)
		if err == nil && state.Desired != nil {
			document = state.Desired.Document
		}
		return err
	})
	return document, err
}
