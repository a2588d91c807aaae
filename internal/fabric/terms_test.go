package fabric

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	replication "bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

var testZone = zone.ID{Region: "r", Name: "z"}

// replicaStateWith returns the state of a replica that is a voter and knows a leader.
func replicaStateWith(role consensus.Role, state *intent.State) *replication.ReplicaState {
	self := consensus.ReplicaID{VM: "self"}
	return &replication.ReplicaState{State: state, Role: role, Leader: "self", Voters: []consensus.ReplicaID{self}, Self: self}
}

func stateWithZoneOut(revision uint64) *intent.State {
	return &intent.State{Revision: revision, Zones: []intent.ZoneState{{Region: testZone.Region, Name: testZone.Name, Out: true, Orders: 1}}}
}

// Load pattern: replicas restart and lag while zones are ordered out. One that may lack an
// acknowledged order must tell nobody that the zone is in service.
func TestTermsComeFromConfirmedReplicas(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := &directory.Record{Role: vm.RoleUpstream, Address: netip.MustParseAddr("10.0.0.1"), ProcessIncarnation: 1}
	p := publishedTerms{always: true}
	require.False(t, p.due(now, agent), "no replica is open")

	learner := replicaStateWith(consensus.Follower, &intent.State{})
	learner.Voters = nil
	require.False(t, p.update(learner))
	require.False(t, p.due(now, agent), "a learner lacks entries")

	withoutLeader := replicaStateWith(consensus.Follower, &intent.State{})
	withoutLeader.Leader = ""
	require.False(t, p.update(withoutLeader))
	require.True(t, p.due(now, agent))
	require.False(t, p.reportFor(agent).Confirmed, "an earlier leader may have acknowledged more")
	require.Equal(t, 1, p.reportFor(agent).Voters)

	require.False(t, p.update(replicaStateWith(consensus.Follower, &intent.State{})), "followers answer requests only")
	require.True(t, p.due(now, agent))
	require.True(t, p.reportFor(agent).Confirmed)
	require.True(t, p.update(replicaStateWith(consensus.Leader, stateWithZoneOut(1))))
	require.Equal(t, []zone.ID{testZone}, p.terms.ZonesOut)
	require.False(t, p.update(replicaStateWith(consensus.Leader, stateWithZoneOut(2))), "the zones have not changed")
	returned := &intent.State{Revision: 4, Zones: []intent.ZoneState{{Region: testZone.Region, Name: testZone.Name, Orders: 4, Returns: 2}}}
	require.True(t, p.update(replicaStateWith(consensus.Leader, returned)))
	require.EqualValues(t, 2, p.reportFor(&directory.Record{Role: vm.RoleUpstream, Zone: testZone}).Terms.OwnZoneReturns)
	require.Zero(t, p.reportFor(agent).Terms.OwnZoneReturns)
	p.withdraw()
	require.False(t, p.due(now, agent))
	require.True(t, p.update(replicaStateWith(consensus.Leader, stateWithZoneOut(2))), "leader again")
}

// Deployments without zone orders and rates must send no additional datagram. Where there
// are some, a process that starts must get the terms with each request, others only when
// they have changed and from time to time.
func TestTermsAreSentWhenDue(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := &directory.Record{Role: vm.RoleUpstream, Address: netip.MustParseAddr("10.0.0.1"), ProcessIncarnation: 1}
	earlier := publishedTerms{}
	require.False(t, earlier.update(replicaStateWith(consensus.Leader, &intent.State{Desired: &intent.DesiredState{Services: []intent.DesiredService{{Name: "a"}}}})))
	require.False(t, earlier.due(now, agent))
	require.True(t, earlier.update(replicaStateWith(consensus.Leader, stateWithZoneOut(1))), "a zone was ordered out where no bound is set")

	p := publishedTerms{always: true}
	p.update(replicaStateWith(consensus.Leader, &intent.State{}))
	require.True(t, p.due(now, agent))
	require.True(t, p.due(now.Add(termsStartPeriod-1), agent), "the first datagram may have been lost")
	now = now.Add(termsStartPeriod)
	require.False(t, p.due(now, agent))
	p.update(replicaStateWith(consensus.Leader, stateWithZoneOut(1)))
	require.True(t, p.due(now, agent), "changed")
	require.False(t, p.due(now.Add(termsResendInterval-1), agent))
	require.True(t, p.due(now.Add(termsResendInterval), agent))
	agent.ProcessIncarnation = 2
	require.True(t, p.due(now.Add(termsResendInterval), agent), "restarted")
	control := &directory.Record{Role: vm.RoleControl, Address: netip.MustParseAddr("10.0.0.2")}
	require.False(t, p.due(now, control))
	now = now.Add(2 * termsRecipientLifetime)
	balancer := &directory.Record{Role: vm.RoleBalancer, Address: netip.MustParseAddr("10.0.0.3")}
	require.True(t, p.due(now, balancer))
	require.Len(t, p.recipients, 1)
}

// Each process must get the stated rates that it needs.
func TestTermsHaveStatedRates(t *testing.T) {
	warm := steering.ServiceWarmUp{Service: "a", Duration: time.Second, Rate: 3}
	terms := termsOf(&intent.State{Revision: 4, Desired: &intent.DesiredState{Services: []intent.DesiredService{
		{Name: "a", WarmUp: time.Second, WarmUpRate: 3}, {Name: "b", WarmUp: time.Second}, {Name: "c", WarmUp: time.Second, WarmUpRate: 1},
	}}})
	require.EqualValues(t, 4, terms.Revision)
	p := publishedTerms{terms: terms}
	require.Len(t, p.reportFor(&directory.Record{Role: vm.RoleBalancer}).Terms.WarmUps, 2)
	require.Equal(t, []steering.ServiceWarmUp{warm}, p.reportFor(&directory.Record{Role: vm.RoleUpstream, Service: "a"}).Terms.WarmUps)
	require.Empty(t, p.reportFor(&directory.Record{Role: vm.RoleUpstream, Service: "b"}).Terms.WarmUps)
}

// An order must be acknowledged only after it is in the log, and again if it is repeated.
// A copy whose caller has gone must have no effect.
func TestOrderZone(t *testing.T) {
	control := newTestControl(t)
	control.cfg.Zones = []zone.ID{testZone}
	runControl(t, control)
	require.Eventually(t, func() bool {
		_, err := control.OrderZone(t.Context(), testZone.Name, true)
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	state := control.raftNode.Load().State().State
	require.Equal(t, []zone.ID{testZone}, state.ZonesOut())
	again, err := control.OrderZone(t.Context(), testZone.Name, true)
	require.NoError(t, err)
	require.Equal(t, state.Revision, again.Revision)

	var unknown *UnknownZoneError
	_, err = control.OrderZone(t.Context(), "elsewhere", true)
	require.ErrorAs(t, err, &unknown)
	require.ErrorContains(t, err, `"elsewhere" is not among the zones`)
	control.Dependencies.Reload = func() (Config, error) {
		return Config{Zones: []zone.ID{testZone, {Region: "r", Name: "elsewhere"}}}, nil
	}
	_, err = control.OrderZone(t.Context(), "elsewhere", true)
	require.NoError(t, err, "a zone that was added to the settings")

	control.cfg.Zones, control.Dependencies.Reload = nil, func() (Config, error) { return Config{}, nil }
	_, err = control.OrderZone(t.Context(), "elsewhere", false)
	require.NoError(t, err, "a zone that was removed from the settings while it was out of service")

	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = control.OrderZone(gone, testZone.Name, false)
	require.Error(t, err)
	require.True(t, control.raftNode.Load().State().State.ZoneState(testZone).Out)
}

// An order that waits in a process until its withdrawal was acknowledged must have no
// effect, although the process proposes it.
func TestDelayedZoneOrder(t *testing.T) {
	control := newTestControl(t)
	control.cfg.Zones = []zone.ID{testZone}
	runControl(t, control)
	require.Eventually(t, func() bool {
		_, err := control.OrderZone(t.Context(), testZone.Name, false)
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	raft := control.raftNode.Load()
	// The delayed order is noted, and waits for a leader.
	control.raftNode.Store(nil)
	delayed := make(chan error, 1)
	go func() {
		_, err := control.OrderZone(t.Context(), testZone.Name, true)
		delayed <- err
	}()
	time.Sleep(2 * leaderPollInterval)
	for _, out := range []bool{true, false} {
		orders := raft.State().State.ZoneState(testZone).Orders
		encoded, err := replication.EncodeChange(intent.Change{Kind: intent.KindZone, Zone: &intent.ZoneOrder{Region: testZone.Region, Name: testZone.Name, Out: out, AfterOrders: &orders}})
		require.NoError(t, err)
		result, err := raft.Propose(t.Context(), encoded)
		require.NoError(t, err)
		require.Equal(t, intent.Accepted, result.Outcome)
	}
	control.raftNode.Store(raft)
	var unavailable *UnavailableError
	require.ErrorAs(t, <-delayed, &unavailable, "the sender must order again if it still wants to")
	require.False(t, raft.State().State.ZoneState(testZone).Out)
}
