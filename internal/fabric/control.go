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
	// electionTimeout is some times the largest delay between zones and a sync
	// on a slow disk.
	electionTimeout = 600 * time.Millisecond
	heartbeat       = 150 * time.Millisecond
	// requestTimeout bounds how long a call waits for a leader or a majority.
	// Callers turn to another process after a second.
	requestTimeout = 850 * time.Millisecond
	// leaderPoll is how often a waiting call looks for a leader.
	leaderPoll = 25 * time.Millisecond
	// reopenPause is the pause after the disk has refused a write.
	reopenPause = 300 * time.Millisecond
	// handOverTimeout bounds the wait for another leader at a stop.
	handOverTimeout = 2 * time.Second
	// minVoters is the least number of voters that survives a loss.
	minVoters = 3
)

// Control runs a control process: the directory and, on a VM with a disk, a
// replica of the desired state.
type Control struct {
	*node
	server   *directory.Server
	quorum   atomic.Pointer[control.RaftNode]
	standing atomic.Pointer[control.ReplicaState]
	packed   []byte
	packedAs uint64
	contacts []netip.Addr
}

// NewControl opens the link. Run must be called to serve.
func NewControl(cfg Config, env Dependencies) (*Control, error) {
	n, err := newNode(cfg, env, vm.RoleControl, cfg.ControlPort, true)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	self := n.client.Self()
	self.Status = view.Ready
	c := &Control{node: n, server: directory.NewServer(directory.ServerConfig{
		Epoch: newRandom().Uint64(), Self: self, Started: now,
	})}
	n.due = func(now time.Time) {
		c.sendAnswers(c.server.Tick(now))
		c.updateContacts()
		c.gauge("desired.version", int(c.server.Version))
	}
	n.deadline = c.server.Deadline
	handle(n.link, kindAsk, n.rejected, c.asked)
	handle(n.link, kindAnswer, n.rejected, c.answer)
	handle(n.link, kindFetch, n.rejected, c.fetched)
	handle(n.link, kindConsensus, n.rejected, c.consensus)
	return c, nil
}

// votes reports whether this process has a replica.
func (c *Control) votes() bool { return c.cfg.DataFolder != "" && c.cfg.CountsAsLoss }

// Run serves until the context ends, then hands the lead over.
func (c *Control) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := errgroup.Group{}
	group.Go(c.link.receive)
	if c.votes() {
		group.Go(func() error { c.runReplica(running); return nil })
	}
	c.mu.Lock()
	c.ask(c.client.Announce(time.Now(), func(r *directory.Record) { r.Status = view.Ready }))
	c.plan(time.Now())
	c.mu.Unlock()
	<-ctx.Done()
	if q := c.quorum.Load(); q != nil {
		handOver, done := context.WithTimeout(running, handOverTimeout)
		q.TransferLeadership(handOver)
		done()
	}
	cancel()
	err := c.close()
	return errors.Join(err, group.Wait())
}

// runReplica runs the replica, and opens it again after its disk has refused a
// write: what was acknowledged is on the disk.
func (c *Control) runReplica(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.replicaOnce(ctx)
		c.quorum.Store(nil)
		c.standing.Store(nil)
		if ctx.Err() != nil {
			return
		}
		c.Log.WithError(err).Error("replica stopped; it is opened again")
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
}

func (c *Control) replicaOnce(ctx context.Context) error {
	files, err := logstore.OpenFolder(c.cfg.DataFolder)
	if err != nil {
		return err
	}
	q, err := control.OpenRaftNode(control.RaftOptions{
		Consensus: c.consensusOptions(), Files: c.timed(files), Send: c.sendConsensus, OnChange: c.changed, Random: newRandom(),
	})
	if err != nil {
		return errors.Join(err, files.Close())
	}
	c.changed(q.State())
	c.quorum.Store(q)
	return q.Run(ctx)
}

// timed observes the syncs of the disk: a slow one holds up every proposal.
func (c *Control) timed(files logstore.FileSystem) logstore.FileSystem {
	return logstore.WithSyncTiming(files, func(took time.Duration) { c.observeTime("disk.syncs.us", took) })
}

func replicaID(a netip.Addr) vm.ID { return vm.ID(a.String()) }

func (c *Control) consensusOptions() consensus.Options {
	self := consensus.Replica{VM: replicaID(c.cfg.Address), Incarnation: vm.Incarnation(time.Now().UnixNano())}
	var peers []vm.ID
	for _, seed := range c.cfg.Seeds {
		if id := replicaID(seed); !slices.Contains(peers, id) {
			peers = append(peers, id)
		}
	}
	o := consensus.DefaultOptions(self, peers)
	o.NoBootstrap = !c.cfg.FirstStart
	o.TargetVoters = max(2*c.cfg.MaxLosses+1, minVoters)
	o.ReplaceAfter = c.cfg.ReachableAfter
	o.ElectionTimeout, o.Heartbeat = electionTimeout, heartbeat
	return o
}

// changed takes over a new state or leader. It runs in the goroutine of the
// replica.
func (c *Control) changed(s control.ReplicaState) {
	before := c.standing.Swap(&s)
	if before == nil || before.Role != s.Role || before.Leader != s.Leader {
		c.Log.WithFields(logrus.Fields{"role": s.Role, "leader": s.Leader, "term": s.Term, "voters": len(s.Voters)}).Info("role changed")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.Leader = leaderAddress(&s)
	version := uint64(0)
	if s.State.Desired != nil {
		version = s.State.Desired.Version
	}
	if version > c.server.Version {
		c.server.Version = version
		c.Log.WithField("version", version).Info("desired state accepted")
		c.sendAnswers(c.server.StatusUpdates(time.Now()))
	}
}

func leaderAddress(s *control.ReplicaState) netip.Addr {
	if s.Leader == "" {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(string(s.Leader))
	if err != nil {
		return netip.Addr{}
	}
	return a
}

func (c *Control) sendAnswers(sends []directory.AddressedResponse) {
	for _, s := range sends {
		port := c.cfg.NodePort
		if s.Role == vm.RoleControl {
			port = c.cfg.ControlPort
		}
		c.lost(c.link.send(s.To, port, kindAnswer, s.SyncResponse))
	}
}

func (c *Control) asked(_ netip.Addr, a *directory.SyncRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sendAnswers(c.server.SyncRequest(now, a))
	c.plan(now)
}

func (c *Control) answer(from netip.Addr, a *directory.SyncResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	a.Version = 0
	c.answered(now, from, a)
	if from != c.cfg.Address {
		c.sendAnswers(c.server.Merge(now, a, c.client.Complete()))
	}
	if !c.votes() {
		c.server.Leader = c.client.Leader()
	}
	c.plan(now)
}

// updateContacts tells the replica about control processes that can admit it.
func (c *Control) updateContacts() {
	q := c.quorum.Load()
	if q == nil {
		return
	}
	var contacts []netip.Addr
	c.server.Table().Entries(vm.RoleControl, func(e *directory.Entry) { contacts = append(contacts, e.Address) })
	slices.SortFunc(contacts, netip.Addr.Compare)
	if slices.Equal(contacts, c.contacts) {
		return
	}
	c.contacts = contacts
	ids := make([]vm.ID, 0, len(contacts))
	for _, a := range contacts {
		ids = append(ids, replicaID(a))
	}
	q.SetJoinPeers(ids)
}

func (c *Control) fetched(from netip.Addr, f *fetch) {
	s := c.standing.Load()
	if s == nil || s.State.Desired == nil || s.State.Desired.Version <= f.Above {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := s.State.Desired; c.packedAs != d.Version {
		packed, err := packDesired(d)
		if err != nil {
			c.Log.WithError(err).Error("desired state not sent")
			return
		}
		c.packed, c.packedAs = packed, d.Version
	}
	c.lost(c.link.sendBytes(netip.AddrPortFrom(from, c.cfg.NodePort), kindDesired, c.packed))
}

func (c *Control) consensus(from netip.Addr, m *consensus.Message) {
	if q := c.quorum.Load(); q != nil {
		q.Deliver(*m)
		return
	}
	if m.Join == nil || c.votes() {
		return
	}
	c.sendConsensus([]consensus.Message{{
		From: consensus.Replica{VM: replicaID(c.cfg.Address)}, To: m.From, JoinReply: &consensus.JoinResponse{Observer: true},
	}})
}

func (c *Control) sendConsensus(messages []consensus.Message) {
	for i := range messages {
		to, err := netip.ParseAddr(string(messages[i].To.VM))
		if err != nil {
			c.Log.WithError(err).Error("replica without an address")
			continue
		}
		c.mu.Lock()
		c.lost(c.link.send(to, c.cfg.ControlPort, kindConsensus, &messages[i]))
		c.mu.Unlock()
	}
}

// atLeader runs a call here if this process leads, and names the leader
// otherwise. It waits for a while if there is none.
func (c *Control) atLeader(ctx context.Context, here func(context.Context, *control.RaftNode) error) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		q := c.quorum.Load()
		leader := netip.Addr{}
		if s := c.standing.Load(); s != nil {
			leader = leaderAddress(s)
		} else if !c.votes() {
			c.mu.Lock()
			leader = c.client.Leader()
			c.mu.Unlock()
		}
		switch {
		case leader == c.cfg.Address && q != nil:
			err := here(ctx, q)
			var moved *consensus.NotLeaderError
			if !errors.As(err, &moved) {
				return err
			}
		case leader.IsValid() && leader != c.cfg.Address:
			return &RedirectError{Leader: leader}
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{Reason: "no leader is known"}
		case <-time.After(leaderPoll):
		}
	}
}

// Propose decides a desired state.
func (c *Control) Propose(ctx context.Context, d *intent.Desired) (result intent.Result, err error) {
	began := time.Now()
	err = c.atLeader(ctx, func(ctx context.Context, q *control.RaftNode) error {
		result, err = q.Propose(ctx, intent.Change{Kind: intent.KindDesired, Desired: d})
		return err
	})
	c.observeTime("proposals.us", time.Since(began))
	entry := c.Log.WithFields(logrus.Fields{"version": d.Version, "routes": len(d.Routes), "outcome": result.Outcome})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("desired state proposed")
	return result, err
}

// Read returns the document in force, or nil.
func (c *Control) Read(ctx context.Context) (document []byte, err error) {
	began := time.Now()
	defer func() { c.observeTime("reads.us", time.Since(began)) }()
	err = c.atLeader(ctx, func(ctx context.Context, q *control.RaftNode) error {
		state, err := q.Read(ctx)
		if err == nil && state.Desired != nil {
			document = state.Desired.Document
		}
		return err
	})
	return document, err
}
