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

// Guards against goroutines that are still running after a server has stopped.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// proposeWithRetry proposes a change until a replica responds, always with the
// same operation id. It tries the given replicas in turn.
func (c *testCluster) proposeWithRetry(change intent.Change, ids ...vm.ID) intent.Result {
	var result intent.Result
	deadline := time.Now().Add(waitTimeout)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		conn, err := rpc.Dial(ctx, c.addresses[ids[attempt%len(ids)]], nil, rpc.Methods{}.Handler())
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
	return intent.Result{Reason: "no response in time"}
}

// Guards against a race between operators that propose changes on the same
// base revision at different replicas. Exactly one change must be accepted,
// and each conflict must name it.
func TestOneAcceptedChangePerBaseRevision(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.start()
	require.EqualValues(t, 1, cluster.proposeWithRetry(inventoryChange("inventory", 0), "c1").Revision)
	for base := uint64(1); base <= 10; base++ {
		results := make([]intent.Result, 6)
		var requests sync.WaitGroup
		for i := range results {
			requests.Go(func() {
				results[i] = cluster.proposeWithRetry(trafficChange(fmt.Sprintf("r%d-%d", base, i), base, i%2 == 0), vm.ID(fmt.Sprintf("c%d", i%3+1)))
			})
		}
		requests.Wait()
		acceptedID := ""
		for i, result := range results {
			if result.Outcome == intent.Accepted {
				require.Empty(t, acceptedID, "two changes accepted on one base revision")
				acceptedID = fmt.Sprintf("r%d-%d", base, i)
			}
		}
		for _, result := range results {
			require.True(t, result.Outcome == intent.Accepted || (result.Outcome == intent.Conflict && result.ConflictingChange.OperationID == acceptedID), "%+v", result)
		}
	}
}

// Guards against a planned stop of the leader that cuts off or loses a
// request. Also guards against a result that differs when the request is sent
// again to another replica.
func TestPlannedStopOfTheLeader(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.start()
	require.EqualValues(t, 1, cluster.proposeWithRetry(inventoryChange("inventory", 0), "c1").Revision)
	leader := cluster.awaitLeader()
	conn := cluster.dial(leader, nil)
	const requests = 40
	results, failures := make([]intent.Result, requests), make([]error, requests)
	var pending sync.WaitGroup
	for i := range requests {
		// All requests are sent before the stop. Responses come in any order.
		pendingCall, err := conn.DispatchCall(context.Background(), controlapi.IntentPropose,
			controlapi.ProposeRequest{Change: trafficChange(fmt.Sprint("p", i), 1, true)})
		require.NoError(t, err)
		pending.Go(func() { failures[i] = pendingCall.Wait(context.Background(), &results[i]) })
	}
	// The server reads requests in order. Once this one has its response, all
	// earlier ones are in progress or complete.
	mustCall[controlapi.Status](t, conn, controlapi.StatusGet, nil)
	cluster.stopFuncs[leader]()
	pending.Wait()
	followers := []vm.ID{}
	for id := range cluster.stopFuncs {
		followers = append(followers, id)
	}
	for i := range requests {
		require.NoError(t, failures[i], "request %d", i)
		require.Equal(t, results[i], cluster.proposeWithRetry(trafficChange(fmt.Sprint("p", i), 1, true), followers...))
	}
	require.Contains(t, followers, cluster.awaitLeader())
	cluster.start(leader)
	state := mustCall[intent.State](t, cluster.dial(leader, nil), controlapi.IntentGet, controlapi.GetRequest{Linearizable: true})
	require.EqualValues(t, 2, state.Revision)
}

// Guards against a request that blocks until its timeout. Its leader loses the
// majority while the request is pending, and a new leader is elected before
// the timeout.
func TestRequestSurvivesLossOfMajority(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.start()
	cluster.proposeWithRetry(inventoryChange("inventory", 0), "c1")
	leader := cluster.awaitLeader()
	followers := []vm.ID{}
	for id := range cluster.addresses {
		if id != leader {
			followers = append(followers, id)
			cluster.stopFuncs[id]()
		}
	}
	conn := cluster.dial(leader, nil)
	pendingCall, err := conn.DispatchCall(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: trafficChange("a", 1, true)})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return cluster.servers[leader].Status().Replica.Leader == "" }, waitTimeout, time.Millisecond)
	cluster.start(followers...)
	var result intent.Result
	require.NoError(t, pendingCall.Wait(context.Background(), &result))
	require.Equal(t, intent.Result{Outcome: intent.Accepted, Revision: 2}, result)
}

// Guards against a replica that does not rejoin after the loss of its disk.
// Also guards against changes that are lost when another replica stops right
// after the first has rejoined.
func TestDiskLossThenReplicaLoss(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.start()
	cluster.proposeWithRetry(inventoryChange("inventory", 0), "c1")
	for base := uint64(1); base < 30; base++ {
		require.Equal(t, intent.Accepted, cluster.proposeWithRetry(trafficChange(fmt.Sprint("p", base), base, base%2 == 0), "c1", "c2", "c3").Outcome)
	}
	replaced := cluster.awaitLeader()
	oldIncarnation := cluster.servers[replaced].Status().Incarnation
	cluster.stopFuncs[replaced]()
	require.NoError(t, os.RemoveAll(cluster.dataFolders[replaced]))
	cluster.start(replaced)
	require.Eventually(t, func() bool {
		status := cluster.servers[replaced].Status()
		return status.Revision == 30 && len(status.Replica.Voters) == 3 && len(status.Replica.Learners) == 0
	}, waitTimeout, time.Millisecond)
	require.Greater(t, cluster.servers[replaced].Status().Incarnation, oldIncarnation)
	stopped := cluster.awaitLeader()
	if stopped == replaced {
		for id := range cluster.stopFuncs {
			if id != replaced {
				stopped = id
			}
		}
	}
	cluster.stopFuncs[stopped]()
	require.EqualValues(t, 31, cluster.proposeWithRetry(trafficChange("late", 30, true), replaced).Revision)
}

// Guards against revisions that a subscriber misses or receives twice after it
// was disconnected, also when it reconnects to another replica. The catch-up
// must use the smaller of delta and snapshot.
func TestSubscribersCatchUp(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.start()
	cluster.proposeWithRetry(inventoryChange("inventory", 0), "c1")
	reconnecting, connected := &subscriber{}, &subscriber{}
	conn := cluster.subscribe("c2", reconnecting)
	cluster.subscribe("c3", connected)
	reconnecting.awaitRevision(t, 1)
	require.NoError(t, conn.Close())
	for base := uint64(1); base < 300; base++ {
		require.Equal(t, intent.Accepted, cluster.proposeWithRetry(trafficChange(fmt.Sprint("p", base), base, base%2 == 0), "c1").Outcome)
	}
	connected.awaitRevision(t, 300)
	require.EqualValues(t, 1, reconnecting.revision(), "a closed connection must not receive updates")
	cluster.stopFuncs["c2"]()
	snapshots := reconnecting.snapshots
	cluster.subscribe("c1", reconnecting)
	reconnecting.awaitRevision(t, 300)
	require.Equal(t, snapshots+1, reconnecting.snapshots, "299 changes are larger than this small state, so that a snapshot is sent")
	cluster.proposeWithRetry(trafficChange("one more", 300, true), "c1")
	reconnecting.awaitRevision(t, 301)
	connected.awaitRevision(t, 301)
	require.Equal(t, reconnecting.state.Services, connected.state.Services)
	require.Equal(t, reconnecting.state.VMs, connected.state.VMs)
}

// Guards against requests of unbounded size, and against an error that does
// not name the object that is too large.
func TestOversizedRequestsAreRejected(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.start()
	cluster.awaitLeader()
	conn := cluster.dial("c1", nil)
	largeInventory := inventoryChange("large", 0)
	for i := range 4400 {
		machine := largeInventory.Inventory.VMs[0]
		machine.ID = vm.ID(fmt.Sprintf("%01000d", i))
		largeInventory.Inventory.VMs = append(largeInventory.Inventory.VMs, machine)
	}
	largeRule := trafficChange("rule", 0, true)
	largeRule.Operator = string(make([]byte, 20<<10))
	duplicates := inventoryChange("twice", 0)
	for range 2000 {
		duplicates.Inventory.VMs = append(duplicates.Inventory.VMs, duplicates.Inventory.VMs[0])
	}
	var result intent.Result
	err := conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: duplicates}, &result)
	require.Equal(t, controlapi.CodeInvalid, errorCode(err))
	require.Less(t, len(err.Error()), 4<<10, "the message of an error with thousands of findings must be bounded")
	for name, change := range map[string]intent.Change{"request": largeInventory, "change": largeRule} {
		var result intent.Result
		err := conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: change}, &result)
		require.Equal(t, controlapi.CodeInvalid, errorCode(err), "%v", err)
		require.ErrorContains(t, err, name+": error: ")
		require.ErrorContains(t, err, "exceed the limit")
	}
}

// Guards against a replica that keeps running after a failed write to its
// disk, and against a pending request that never returns.
func TestFailedSyncStopsReplica(t *testing.T) {
	cluster := newTestCluster(t, 1)
	storage := &failingStorage{}
	cluster.editOptions = func(options *control.Options) {
		storage.FileSystem = options.Files
		options.Files = storage
		options.RequestTimeout = time.Second
	}
	files, err := logstore.OpenFolder(cluster.dataFolders["c1"])
	require.NoError(t, err)
	server, err := control.New(cluster.options("c1", files))
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Run(context.Background()) }()
	require.Eventually(t, func() bool { return server.Health().Healthy }, waitTimeout, time.Millisecond)
	storage.failSyncs.Store(true)
	conn := cluster.dial("c1", nil)
	var result intent.Result
	require.Error(t, conn.Call(context.Background(), controlapi.IntentPropose, controlapi.ProposeRequest{Change: inventoryChange("a", 0)}, &result))
	var writeErr *logstore.WriteError
	require.ErrorAs(t, <-done, &writeErr)
}
