package control_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Guards against goroutines that outlive a stopped server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// operator proposes with resends: it asks any running replica until it has an
// answer, always under the same operation id.
func (f *fleet) operator(change intent.Change, ids ...vm.ID) intent.Result {
	var result intent.Result
	deadline := time.Now().Add(patience)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		conn, err := rpc.Dial(ctx, f.peers[ids[attempt%len(ids)]], nil, rpc.Methods{}.Handler())
		if err == nil {
			err = conn.Call(ctx, controlapi.IntentPropose, controlapi.ProposeRequest{Change: change}, &result)
			_ = conn.Close()
		}
		cancel()
		if err == nil {
			return result
		}
		time.Sleep(5 * time.Millisecond)
	}
	return intent.Result{Reason: "no answer in time"}
}

// Guards against more or less than one winner among operators with equal base
// revisions at different replicas, and a conflict that does not name it.
func TestRacingOperators(t *testing.T) {
	f := newFleet(t, 3)
	f.start()
	require.EqualValues(t, 1, f.operator(inventory("inventory", 0), "c1").Revision)
	for base := uint64(1); base <= 10; base++ {
		results := make([]intent.Result, 6)
		var done sync.WaitGroup
		for i := range results {
			done.Go(func() {
				results[i] = f.operator(traffic(fmt.Sprintf("r%d-%d", base, i), base, i%2 == 0), vm.ID(fmt.Sprintf("c%d", i%3+1)))
			})
		}
		done.Wait()
		winner := ""
		for i, r := range results {
			if r.Outcome == intent.Accepted {
				require.Empty(t, winner, "two winners")
				winner = fmt.Sprintf("r%d-%d", base, i)
			}
		}
		for _, r := range results {
			require.True(t, r.Outcome == intent.Accepted || (r.Outcome == intent.Conflict && r.ConflictingChange.OperationID == winner), "%+v", r)
		}
	}
}

// Guards against a planned stop of the leader that cuts or loses a request, and
// against an answer that changes on a resend to another leader.
func TestPlannedStopOfTheLeader(t *testing.T) {
	f := newFleet(t, 3)
	f.start()
	require.EqualValues(t, 1, f.operator(inventory("inventory", 0), "c1").Revision)
	leader := f.leader()
	conn := f.dial(leader, nil)
	const requests = 40
	results, failures := make([]intent.Result, requests), make([]error, requests)
	var done sync.WaitGroup
	for i := range requests {
		// The requests are sent before the stop; answers come in any order.
		waiter, err := conn.DispatchCall(context.Background(), controlapi.IntentPropose,
			controlapi.ProposeRequest{Change: traffic(fmt.Sprint("p", i), 1, true)})
		require.NoError(t, err)
		done.Go(func() { failures[i] = waiter.Wait(context.Background(), &results[i]) })
	}
	// The last request was read, so all of them are in progress or answered.
	call[controlapi.Status](t, conn, controlapi.StatusGet, nil)
	f.stops[leader]()
	done.Wait()
	others := []vm.ID{}
	for id := range f.stops {
		others = append(others, id)
	}
	for i := range requests {
		require.NoError(t, failures[i], "request %d", i)
		require.Equal(t, results[i], f.operator(traffic(fmt.Sprint("p", i), 1, true), others...))
	}
	require.Contains(t, others, f.leader())
	f.start(leader)
	state := call[intent.State](t, f.dial(leader, nil), controlapi.IntentGet, controlapi.GetRequest{Linearizable: true})
	require.EqualValues(t, 2, state.Revision)
}

// Guards against a request that hangs until its time limit after its leader has
// lost the majority, although a leader is back before.
func TestRequestOutlivesTheMajority(t *testing.T) {
	f := newFleet(t, 3)
	f.start()
	f.operator(inventory("inventory", 0), "c1")
	leader := f.leader()
	others := []vm.ID{}
	for id := range f.peers {
		if id != leader {
			others = append(others, id)
			f.stops[id]()
		}
	}
	conn := f.dial(leader, nil)
	waiter, err := conn.DispatchCall(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: traffic("a", 1, true)})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.servers[leader].Status().Replica.Leader == "" }, patience, time.Millisecond)
	f.start(others...)
	var result intent.Result
	require.NoError(t, waiter.Wait(context.Background(), &result))
	require.Equal(t, intent.Result{Outcome: intent.Accepted, Revision: 2}, result)
}

// Guards against a replica that does not come back after the loss of its disk,
// or loses changes when a second one is lost right after the repair.
func TestDiskLossAndSecondLoss(t *testing.T) {
	f := newFleet(t, 3)
	f.start()
	f.operator(inventory("inventory", 0), "c1")
	for base := uint64(1); base < 30; base++ {
		require.Equal(t, intent.Accepted, f.operator(traffic(fmt.Sprint("p", base), base, base%2 == 0), "c1", "c2", "c3").Outcome)
	}
	blank := f.leader()
	before := f.servers[blank].Status().Incarnation
	f.stops[blank]()
	require.NoError(t, os.RemoveAll(f.folders[blank]))
	f.start(blank)
	require.Eventually(t, func() bool {
		s := f.servers[blank].Status()
		return s.Revision == 30 && len(s.Replica.Voters) == 3 && len(s.Replica.Learners) == 0
	}, patience, time.Millisecond)
	require.Greater(t, f.servers[blank].Status().Incarnation, before)
	second := f.leader()
	if second == blank {
		for id := range f.stops {
			if id != blank {
				second = id
			}
		}
	}
	f.stops[second]()
	require.EqualValues(t, 31, f.operator(traffic("late", 30, true), blank).Revision)
}

// Guards against a subscriber that misses or repeats revisions while it is
// away, or while the replica that it uses is replaced, and against a catch-up
// by the larger of delta and snapshot.
func TestSubscribersCatchUp(t *testing.T) {
	f := newFleet(t, 3)
	f.start()
	f.operator(inventory("inventory", 0), "c1")
	away, steady := &subscriber{}, &subscriber{}
	conn := f.subscribe("c2", away)
	f.subscribe("c3", steady)
	away.waitFor(t, 1)
	require.NoError(t, conn.Close())
	for base := uint64(1); base < 300; base++ {
		require.Equal(t, intent.Accepted, f.operator(traffic(fmt.Sprint("p", base), base, base%2 == 0), "c1").Outcome)
	}
	steady.waitFor(t, 300)
	require.EqualValues(t, 1, away.revision(), "the connection is closed")
	f.stops["c2"]()
	snapshots := away.snapshots
	f.subscribe("c1", away)
	away.waitFor(t, 300)
	require.Equal(t, snapshots+1, away.snapshots, "299 changes are larger than this small state")
	f.operator(traffic("one more", 300, true), "c1")
	away.waitFor(t, 301)
	steady.waitFor(t, 301)
	require.Equal(t, away.state.Services, steady.state.Services)
	require.Equal(t, away.state.VMs, steady.state.VMs)
}

// Guards against requests without bound and against an error that does not say
// what is too large.
func TestOversizeRequests(t *testing.T) {
	f := newFleet(t, 1)
	f.start()
	f.leader()
	conn := f.dial("c1", nil)
	large := inventory("large", 0)
	for i := range 4400 {
		machine := large.Inventory.Machines[0]
		machine.ID = vm.ID(fmt.Sprintf("%01000d", i))
		large.Inventory.Machines = append(large.Inventory.Machines, machine)
	}
	rule := traffic("rule", 0, true)
	rule.Operator = string(make([]byte, 20<<10))
	twice := inventory("twice", 0)
	for range 2000 {
		twice.Inventory.Machines = append(twice.Inventory.Machines, twice.Inventory.Machines[0])
	}
	var result intent.Result
	err := conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: twice}, &result)
	require.Equal(t, controlapi.CodeInvalid, codeOf(err))
	require.Less(t, len(err.Error()), 4<<10, "an answer about thousands of findings is bounded")
	for name, change := range map[string]intent.Change{"request": large, "change": rule} {
		var result intent.Result
		err := conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: change}, &result)
		require.Equal(t, controlapi.CodeInvalid, codeOf(err), "%v", err)
		require.ErrorContains(t, err, name+": error: ")
		require.ErrorContains(t, err, "exceed the limit")
	}
}

// Guards against a replica that goes on after a failed write, and against a
// request to it that hangs.
func TestFailedDiskStopsTheReplica(t *testing.T) {
	f := newFleet(t, 1)
	disk := &failingFolder{}
	f.change = func(o *control.Options) {
		disk.FileSystem = o.Files
		o.Files = disk
		o.RequestTimeout = time.Second
	}
	files, err := logstore.OpenFolder(f.folders["c1"])
	require.NoError(t, err)
	server, err := control.New(f.options("c1", files))
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Run(context.Background()) }()
	require.Eventually(t, func() bool { return server.Health().Healthy }, patience, time.Millisecond)
	disk.fail.Store(true)
	conn := f.dial("c1", nil)
	var result intent.Result
	require.Error(t, conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: inventory("a", 0)}, &result))
	var write *logstore.WriteError
	require.ErrorAs(t, <-done, &write)
}
