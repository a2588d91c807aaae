package consensus_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	electionTimeout     = 300 * time.Millisecond
	heartbeatInterval   = 60 * time.Millisecond
	tickInterval        = 20 * time.Millisecond
	compactAfterEntries = 15
)

// testReplica is one replica and its simulated disk. A crash loses everything but
// the disk.
type testReplica struct {
	id             vm.ID
	disk           consensus.RestoredState
	core           *consensus.Core // nil while the replica is down
	state          *intent.State
	appliedIndex   uint64
	noBootstrap    bool   // whether the cluster was bootstrapped before the replica started
	servedRevision uint64 // highest revision served in the current incarnation
	// pendingProposals has the callbacks of uncommitted proposals by log index.
	pendingProposals map[uint64]func(term uint64, r intent.Result)
	// pendingReads has the callbacks of unconfirmed reads by read ID.
	pendingReads map[uint64]func(ok bool, revision uint64)
}

type messageInTransit struct {
	arrivesAt time.Time
	to        vm.ID
	data      []byte
}

// cluster simulates replicas in virtual time. Its links lose, delay, duplicate and
// reorder messages.
type cluster struct {
	t                         *testing.T
	random                    *rand.Rand
	now                       time.Time
	replicas                  []*testReplica
	inTransit                 []messageInTransit
	isolated                  map[vm.ID]bool    // replicas without a working link to the others
	blockedLinks              map[[2]vm.ID]bool // links that drop messages in the direction from, to
	lossRate, duplicationRate float64
	minLinkDelay              time.Duration
	committedEntries          map[uint64]string
	lastIncarnation           vm.Incarnation
	// targetVoters, if above zero, lets new replicas join. The first initialVoters
	// replicas then bootstrap the cluster.
	targetVoters int
	maxVoters    int
	// replaceVoterAfter is four election timeouts if it is zero.
	replaceVoterAfter time.Duration
	initialVoters     int
	// maxZoneLosses and zones are passed to new replicas.
	maxZoneLosses    int
	zones            map[vm.ID]zone.ID
	lastReadID       uint64
	snapshotInstalls int
}

func newCluster(t *testing.T, count int, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		isolated: map[vm.ID]bool{}, blockedLinks: map[[2]vm.ID]bool{}, committedEntries: map[uint64]string{}, lastIncarnation: 100,
	}
	for i := range count {
		c.replicas = append(c.replicas, &testReplica{id: vm.ID(fmt.Sprintf("c%d", i))})
	}
	for _, replica := range c.replicas {
		c.start(replica)
	}
	return c
}

func (c *cluster) start(replica *testReplica) {
	c.lastIncarnation++
	peers := []vm.ID{}
	for i, other := range c.replicas {
		if c.initialVoters == 0 || i < c.initialVoters {
			peers = append(peers, other.id)
		}
	}
	options := consensus.DefaultOptions(consensus.ReplicaID{VM: replica.id, Incarnation: c.lastIncarnation}, peers)
	options.ElectionTimeout, options.HeartbeatInterval, options.MaxBatchBytes, options.MaxInflightBatches = electionTimeout, heartbeatInterval, 600, 3
	options.TargetVoters, options.ReplaceVoterAfter, options.NoBootstrap = c.targetVoters, 4*electionTimeout, replica.noBootstrap
	options.MaxVoters, options.MaxZoneLosses = c.maxVoters, c.maxZoneLosses
	if c.replaceVoterAfter > 0 {
		options.ReplaceVoterAfter = c.replaceVoterAfter
	}
	restored := replica.disk
	restored.Entries = slices.Clone(replica.disk.Entries)
	core, err := consensus.New(options, restored, c.now, rand.New(rand.NewPCG(c.random.Uint64(), 2)))
	require.NoError(c.t, err)
	core.SetZones(c.zones)
	replica.core, replica.pendingProposals, replica.pendingReads = core, map[uint64]func(uint64, intent.Result){}, map[uint64]func(bool, uint64){}
	replica.restoreSnapshot(c.t, replica.disk.Snapshot)
	c.processOutputs(replica)
	require.GreaterOrEqual(c.t, replica.state.Revision, replica.servedRevision, "the served revision decreased over a restart")
}

func (replica *testReplica) restoreSnapshot(t *testing.T, s consensus.Snapshot) {
	replica.state, replica.appliedIndex = &intent.State{Services: []intent.Service{{ID: 1, Name: "orders"}}}, s.Index
	if len(s.Data) > 0 {
		replica.state = &intent.State{}
		require.NoError(t, json.Unmarshal(s.Data, replica.state))
	}
}

func (c *cluster) crash(replica *testReplica) { replica.core = nil }

// crashAndWipe crashes a replica and clears its disk.
func (c *cluster) crashAndWipe(replica *testReplica) {
	c.crash(replica)
	replica.disk, replica.servedRevision = consensus.RestoredState{}, 0
}

// processOutputs processes the outputs of a replica as its owner would, until there
// are none left. It checks that the served revision never decreases.
func (c *cluster) processOutputs(replica *testReplica) {
	for {
		out := replica.core.Output(c.now)
		require.NoError(c.t, out.InconsistencyError)
		if out.IsEmpty() {
			return
		}
		replica.persist(&out)
		for _, message := range out.Messages {
			c.transmit(replica.id, message)
		}
		replica.core.Persisted(c.now)
		if out.InstallSnapshot {
			c.snapshotInstalls++
			replica.restoreSnapshot(c.t, *out.Snapshot)
		}
		for _, e := range out.Committed {
			c.applyEntry(replica, e)
		}
		require.GreaterOrEqual(c.t, replica.state.Revision, replica.servedRevision, "the served revision decreased")
		replica.servedRevision = replica.state.Revision
		for _, r := range out.Reads {
			require.True(c.t, r.LeadershipLost || r.Index <= replica.appliedIndex)
			replica.pendingReads[r.ID](!r.LeadershipLost, replica.state.Revision)
			delete(replica.pendingReads, r.ID)
		}
		if replica.appliedIndex-replica.core.Snapshot().Index >= compactAfterEntries {
			data, err := json.Marshal(replica.state)
			require.NoError(c.t, err)
			replica.core.Compact(replica.appliedIndex, data)
		}
	}
}

func (replica *testReplica) persist(out *consensus.Output) {
	if out.Snapshot != nil {
		replica.disk.Snapshot, replica.disk.Entries = *out.Snapshot, nil
	}
	if n := len(out.Entries); n > 0 {
		replica.disk.Entries = slices.DeleteFunc(replica.disk.Entries, func(e consensus.Entry) bool { return e.Index >= out.Entries[0].Index })
		replica.disk.Entries = append(replica.disk.Entries, out.Entries...)
	}
	if out.HardState != nil {
		replica.disk.HardState = *out.HardState
	}
}

// applyEntry applies a committed entry. It checks that every replica applies the
// same entry at each index during the whole test.
func (c *cluster) applyEntry(replica *testReplica, e consensus.Entry) {
	require.Equal(c.t, replica.appliedIndex+1, e.Index)
	content := fmt.Sprintf("%d %d %s", e.Term, e.Kind, e.Data)
	if previous, ok := c.committedEntries[e.Index]; ok {
		require.Equal(c.t, previous, content, "replica %s applied another entry than the committed entry %d", replica.id, e.Index)
	}
	c.committedEntries[e.Index], replica.appliedIndex = content, e.Index
	result := intent.Result{}
	if e.Kind == consensus.KindCommand {
		var change intent.Change
		require.NoError(c.t, json.Unmarshal(e.Data, &change))
		replica.state, result = intent.Apply(replica.state, change)
	}
	if onResult, ok := replica.pendingProposals[e.Index]; ok {
		delete(replica.pendingProposals, e.Index)
		onResult(e.Term, result)
	}
}

// transmit sends a message over the simulated link, which may lose or duplicate it.
func (c *cluster) transmit(from vm.ID, message consensus.Message) {
	data, err := cbor.Marshal(message)
	require.NoError(c.t, err)
	if c.isolated[from] || c.blockedLinks[[2]vm.ID{from, message.To.VM}] {
		return
	}
	for copies := 0; copies < 2; copies++ {
		if c.random.Float64() >= c.lossRate {
			delay := c.minLinkDelay + time.Duration(1+c.random.IntN(40))*time.Millisecond
			c.inTransit = append(c.inTransit, messageInTransit{arrivesAt: c.now.Add(delay), to: message.To.VM, data: data})
		}
		if c.random.Float64() >= c.duplicationRate {
			return
		}
	}
}

// step advances the virtual time by one tick.
func (c *cluster) step() {
	c.now = c.now.Add(tickInterval)
	var due []messageInTransit
	c.inTransit = slices.DeleteFunc(c.inTransit, func(transit messageInTransit) bool {
		if transit.arrivesAt.After(c.now) {
			return false
		}
		due = append(due, transit)
		return true
	})
	slices.SortStableFunc(due, func(a, b messageInTransit) int { return a.arrivesAt.Compare(b.arrivesAt) })
	for _, transit := range due {
		replica := c.findReplica(transit.to)
		if replica == nil || replica.core == nil || c.isolated[transit.to] {
			continue
		}
		var message consensus.Message
		require.NoError(c.t, cbor.Unmarshal(transit.data, &message))
		replica.core.Receive(c.now, message)
		c.processOutputs(replica)
	}
	for _, replica := range c.replicas {
		if replica.core != nil {
			replica.core.Tick(c.now)
			c.processOutputs(replica)
		}
	}
}

func (c *cluster) findReplica(id vm.ID) *testReplica {
	i := slices.IndexFunc(c.replicas, func(replica *testReplica) bool { return replica.id == id })
	if i < 0 {
		return nil
	}
	return c.replicas[i]
}

// stepUntil advances the virtual time until the condition holds. It fails the test
// after 30 s.
func (c *cluster) stepUntil(goal string, condition func() bool) {
	c.t.Helper()
	for range int(30 * time.Second / tickInterval) {
		if condition() {
			return
		}
		c.step()
	}
	require.Fail(c.t, "not reached within 30 s of virtual time: "+goal)
}

func (c *cluster) stepFor(duration time.Duration) {
	for range int(duration / tickInterval) {
		c.step()
	}
}

// waitForLeader returns a leader that is not isolated and whose reads a majority
// confirms.
func (c *cluster) waitForLeader() *testReplica {
	c.t.Helper()
	var leader *testReplica
	c.stepUntil("a leader", func() bool {
		for _, replica := range c.replicas {
			if replica.core != nil && !c.isolated[replica.id] && replica.core.Role() == consensus.Leader && c.confirmsRead(replica) {
				leader = replica
				return true
			}
		}
		return false
	})
	return leader
}

// confirmsRead reports whether a majority confirms a read of a replica within 10
// ticks, and a round trip of the links.
func (c *cluster) confirmsRead(replica *testReplica) bool {
	confirmed := false
	c.lastReadID++
	if replica.core.Read(c.lastReadID) != nil {
		return false
	}
	replica.pendingReads[c.lastReadID] = func(ok bool, _ uint64) { confirmed = ok }
	for range 10 + 2*int(c.minLinkDelay/tickInterval) {
		c.processOutputs(replica)
		if confirmed || replica.core.Role() != consensus.Leader {
			return confirmed
		}
		c.step()
		if replica.core == nil {
			return false
		}
	}
	return confirmed
}

func trafficChange(id string, base uint64) intent.Change {
	return intent.Change{
		OperationID: id, BaseRevision: base, Kind: intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: "orders", Enabled: base%2 == 0},
	}
}

// propose proposes a change to a replica and reports whether the replica accepted
// it. onResult is called if the entry is committed in its term before the replica
// crashes.
func (c *cluster) propose(replica *testReplica, change intent.Change, onResult func(intent.Result)) bool {
	data, err := json.Marshal(change)
	require.NoError(c.t, err)
	position, err := replica.core.Propose(data)
	if err != nil {
		return false
	}
	replica.pendingProposals[position.Index] = func(term uint64, r intent.Result) {
		if term == position.Term {
			onResult(r)
		}
	}
	c.processOutputs(replica)
	return true
}

// commitChange proposes a change to the leader, again if needed, until it returns
// a result.
func (c *cluster) commitChange(change intent.Change) intent.Result {
	c.t.Helper()
	var result *intent.Result
	c.stepUntil("commit of "+change.OperationID, func() bool {
		if replica := c.waitForLeader(); c.propose(replica, change, func(r intent.Result) { result = &r }) {
			for range 10 {
				c.step()
			}
		}
		return result != nil
	})
	return *result
}

// leaderVoters returns the voters in the configuration of the leader.
func (c *cluster) leaderVoters() []consensus.ReplicaID {
	return c.waitForLeader().core.Configuration().Voters
}
