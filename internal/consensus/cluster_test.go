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
)

const (
	electionTimeout = 300 * time.Millisecond
	heartbeat       = 60 * time.Millisecond
	tick            = 20 * time.Millisecond
	compactAfter    = 15
)

// member is one replica with its disk. Everything but the disk is lost in a
// crash.
type member struct {
	id       vm.ID
	disk     consensus.RestoredState
	core     *consensus.Core // nil while the replica is down
	state    *intent.State
	applied  uint64
	late     bool   // added after the first start
	revision uint64 // highest revision served since the disk was empty
	waiting  map[uint64]func(term uint64, r intent.Result)
	reading  map[uint64]func(ok bool, revision uint64)
}

type delivery struct {
	at   time.Time
	to   vm.ID
	data []byte
}

// cluster runs replicas on virtual time over links that lose, delay, duplicate
// and reorder messages.
type cluster struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	members   []*member
	queue     []delivery
	cut       map[vm.ID]bool    // partitioned from all others
	cutLinks  map[[2]vm.ID]bool // links cut in the direction from, to
	loss, dup float64
	committed map[uint64]string
	lives     vm.Incarnation
	// target opens the membership; founders are then the first members.
	target   int
	founders int
	reads    uint64
	installs int
}

func newCluster(t *testing.T, count int, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		cut: map[vm.ID]bool{}, cutLinks: map[[2]vm.ID]bool{}, committed: map[uint64]string{}, lives: 100,
	}
	for i := range count {
		c.members = append(c.members, &member{id: vm.ID(fmt.Sprintf("c%d", i))})
	}
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

func (c *cluster) start(m *member) {
	c.lives++
	ids := []vm.ID{}
	for i, other := range c.members {
		if c.founders == 0 || i < c.founders {
			ids = append(ids, other.id)
		}
	}
	options := consensus.DefaultOptions(consensus.Replica{VM: m.id, Incarnation: c.lives}, ids)
	options.ElectionTimeout, options.Heartbeat, options.MaxBatchBytes, options.MaxInflight = electionTimeout, heartbeat, 600, 3
	options.TargetVoters, options.ReplaceAfter, options.NoBootstrap = c.target, 4*electionTimeout, m.late
	restored := m.disk
	restored.Entries = slices.Clone(m.disk.Entries)
	core, err := consensus.New(options, restored, c.now, rand.New(rand.NewPCG(c.random.Uint64(), 2)))
	require.NoError(c.t, err)
	m.core, m.waiting, m.reading = core, map[uint64]func(uint64, intent.Result){}, map[uint64]func(bool, uint64){}
	m.install(c.t, m.disk.Snapshot)
	c.process(m)
	require.GreaterOrEqual(c.t, m.state.Revision, m.revision, "the served revision went back over a restart")
}

func (m *member) install(t *testing.T, s consensus.Snapshot) {
	m.state, m.applied = &intent.State{Services: []intent.Service{{ID: 1, Name: "orders"}}}, s.Index
	if len(s.Data) > 0 {
		m.state = &intent.State{}
		require.NoError(t, json.Unmarshal(s.Data, m.state))
	}
}

func (c *cluster) crash(m *member) { m.core = nil }

// wipe crashes a replica and empties its disk.
func (c *cluster) wipe(m *member) {
	c.crash(m)
	m.disk, m.revision = consensus.RestoredState{}, 0
}

func (c *cluster) process(m *member) {
	for {
		out := m.core.Output(c.now)
		require.NoError(c.t, out.Fault)
		if out.Empty() {
			return
		}
		m.save(&out)
		for _, message := range out.Messages {
			c.post(m.id, message)
		}
		m.core.Persisted(c.now)
		if out.InstallSnapshot {
			c.installs++
			m.install(c.t, *out.Snapshot)
		}
		for _, e := range out.Committed {
			c.apply(m, e)
		}
		require.GreaterOrEqual(c.t, m.state.Revision, m.revision, "the served revision went back")
		m.revision = m.state.Revision
		for _, r := range out.Reads {
			require.True(c.t, r.Lost || r.Index <= m.applied)
			m.reading[r.ID](!r.Lost, m.state.Revision)
			delete(m.reading, r.ID)
		}
		if m.applied-m.core.Snapshot().Index >= compactAfter {
			data, err := json.Marshal(m.state)
			require.NoError(c.t, err)
			m.core.Compact(m.applied, data)
		}
	}
}

func (m *member) save(out *consensus.Output) {
	if out.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = *out.Snapshot, nil
	}
	if n := len(out.Entries); n > 0 {
		m.disk.Entries = slices.DeleteFunc(m.disk.Entries, func(e consensus.Entry) bool { return e.Index >= out.Entries[0].Index })
		m.disk.Entries = append(m.disk.Entries, out.Entries...)
	}
	if out.HardState != nil {
		m.disk.HardState = *out.HardState
	}
}

// apply checks that all replicas apply the same entry at each index, for all
// time, and that the revision never goes back.
func (c *cluster) apply(m *member, e consensus.Entry) {
	require.Equal(c.t, m.applied+1, e.Index)
	content := fmt.Sprintf("%d %d %s", e.Term, e.Kind, e.Data)
	if known, ok := c.committed[e.Index]; ok {
		require.Equal(c.t, known, content, "%s lost committed entry %d", m.id, e.Index)
	}
	c.committed[e.Index], m.applied = content, e.Index
	result := intent.Result{}
	if e.Kind == consensus.KindCommand {
		var change intent.Change
		require.NoError(c.t, json.Unmarshal(e.Data, &change))
		m.state, result = intent.Apply(m.state, change)
	}
	if answer, ok := m.waiting[e.Index]; ok {
		delete(m.waiting, e.Index)
		answer(e.Term, result)
	}
}

func (c *cluster) post(from vm.ID, m consensus.Message) {
	data, err := cbor.Marshal(m)
	require.NoError(c.t, err)
	if c.cut[from] || c.cutLinks[[2]vm.ID{from, m.To.VM}] {
		return
	}
	for copies := 0; copies < 2; copies++ {
		if c.random.Float64() >= c.loss {
			delay := time.Duration(1+c.random.IntN(40)) * time.Millisecond
			c.queue = append(c.queue, delivery{at: c.now.Add(delay), to: m.To.VM, data: data})
		}
		if c.random.Float64() >= c.dup {
			return
		}
	}
}

// step advances the virtual time by one tick.
func (c *cluster) step() {
	c.now = c.now.Add(tick)
	var due []delivery
	c.queue = slices.DeleteFunc(c.queue, func(d delivery) bool {
		if d.at.After(c.now) {
			return false
		}
		due = append(due, d)
		return true
	})
	slices.SortStableFunc(due, func(a, b delivery) int { return a.at.Compare(b.at) })
	for _, d := range due {
		m := c.member(d.to)
		if m == nil || m.core == nil || c.cut[d.to] {
			continue
		}
		var message consensus.Message
		require.NoError(c.t, cbor.Unmarshal(d.data, &message))
		m.core.Receive(c.now, message)
		c.process(m)
	}
	for _, m := range c.members {
		if m.core != nil {
			m.core.Tick(c.now)
			c.process(m)
		}
	}
}

func (c *cluster) member(id vm.ID) *member {
	i := slices.IndexFunc(c.members, func(m *member) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return c.members[i]
}

// until steps until the condition holds, within bounded virtual time.
func (c *cluster) until(what string, condition func() bool) {
	c.t.Helper()
	for range int(30 * time.Second / tick) {
		if condition() {
			return
		}
		c.step()
	}
	require.Fail(c.t, "not within 30 s of virtual time: "+what)
}

func (c *cluster) run(d time.Duration) {
	for range int(d / tick) {
		c.step()
	}
}

// leader waits for a leader that is not partitioned and has committed.
func (c *cluster) leader() *member {
	c.t.Helper()
	var leader *member
	c.until("a leader", func() bool {
		for _, m := range c.members {
			if m.core != nil && !c.cut[m.id] && m.core.Role() == consensus.Leader && c.readable(m) {
				leader = m
				return true
			}
		}
		return false
	})
	return leader
}

func (c *cluster) readable(m *member) bool {
	confirmed := false
	c.reads++
	if m.core.Read(c.reads) != nil {
		return false
	}
	m.reading[c.reads] = func(ok bool, _ uint64) { confirmed = ok }
	for range 10 {
		c.process(m)
		if confirmed || m.core.Role() != consensus.Leader {
			return confirmed
		}
		c.step()
		if m.core == nil {
			return false
		}
	}
	return confirmed
}

func change(id string, base uint64) intent.Change {
	return intent.Change{
		OperationID: id, BaseRevision: base, Kind: intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: "orders", Enabled: base%2 == 0},
	}
}

// propose appends a change at a member; answer gets the result if the entry is
// committed in its term while the member runs.
func (c *cluster) propose(m *member, ch intent.Change, answer func(intent.Result)) bool {
	data, err := json.Marshal(ch)
	require.NoError(c.t, err)
	position, err := m.core.Propose(data)
	if err != nil {
		return false
	}
	m.waiting[position.Index] = func(term uint64, r intent.Result) {
		if term == position.Term {
			answer(r)
		}
	}
	c.process(m)
	return true
}

// commit proposes at the current leader until there is an answer.
func (c *cluster) commit(ch intent.Change) intent.Result {
	c.t.Helper()
	var result *intent.Result
	c.until("commit of "+ch.OperationID, func() bool {
		if m := c.leader(); c.propose(m, ch, func(r intent.Result) { result = &r }) {
			for range 10 {
				c.step()
			}
		}
		return result != nil
	})
	return *result
}

// voters returns the voters that the leader knows.
func (c *cluster) voters() []consensus.Replica { return c.leader().core.Configuration().Voters }
