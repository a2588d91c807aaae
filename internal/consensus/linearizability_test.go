package consensus_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	historySeeds    = 120
	historyDuration = 12 * time.Second
	historyClients  = 4
	// responseTimeout is the time after which a client resends a request that a
	// leader has accepted. rejectionPause is the pause before a client resends a
	// request that a replica has rejected.
	responseTimeout = 400 * time.Millisecond
	rejectionPause  = 2 * tickInterval
)

type historyInput struct {
	read         bool
	baseRevision uint64
}

type historyOutput struct {
	accepted bool
	revision uint64
}

// revisionModel is a sequential model of the intent that keeps only its revision. A
// change is accepted if and only if its base is the current revision.
func revisionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			revision, request, response := state.(uint64), in.(historyInput), out.(historyOutput)
			switch {
			case request.read:
				return response.revision == revision, revision
			case response.accepted:
				return request.baseRevision == revision && response.revision == revision+1, revision + 1
			}
			return request.baseRevision != revision && response.revision == revision, revision
		},
	}
}

// client sends one request at a time. It resends a request to random replicas, with
// the same operation ID, until it receives a response.
type client struct {
	cluster        *cluster
	id             int
	requestNumber  int
	requestPending bool
	requestStart   time.Time
	nextSend       time.Time
	request        historyInput
	change         intent.Change
	lastRevision   uint64
	history        *[]porcupine.Operation
}

func (cl *client) step() {
	if !cl.requestPending {
		if cl.cluster.random.IntN(4) == 0 {
			cl.startRequest()
		}
		return
	}
	if !cl.cluster.now.Before(cl.nextSend) {
		cl.sendRequest()
	}
}

func (cl *client) startRequest() {
	cl.requestNumber++
	cl.requestPending, cl.requestStart = true, cl.cluster.now
	cl.request = historyInput{read: cl.cluster.random.IntN(2) == 0, baseRevision: cl.lastRevision}
	cl.change = trafficChange(fmt.Sprintf("client%d-%d", cl.id, cl.requestNumber), cl.lastRevision)
	cl.sendRequest()
}

func (cl *client) sendRequest() {
	cl.nextSend = cl.cluster.now.Add(rejectionPause)
	replica := cl.cluster.replicas[cl.cluster.random.IntN(len(cl.cluster.replicas))]
	if replica.core == nil {
		return
	}
	requestNumber := cl.requestNumber
	if !cl.request.read {
		if cl.cluster.propose(replica, cl.change, func(r intent.Result) {
			cl.completeRequest(requestNumber, historyOutput{accepted: r.Outcome == intent.Accepted, revision: r.Revision})
		}) {
			cl.nextSend = cl.cluster.now.Add(responseTimeout)
		}
		return
	}
	cl.cluster.lastReadID++
	if replica.core.Read(cl.cluster.lastReadID) != nil {
		return
	}
	cl.nextSend = cl.cluster.now.Add(responseTimeout)
	replica.pendingReads[cl.cluster.lastReadID] = func(ok bool, revision uint64) {
		if ok {
			cl.completeRequest(requestNumber, historyOutput{revision: revision})
		}
	}
	cl.cluster.processOutputs(replica)
}

func (cl *client) completeRequest(requestNumber int, response historyOutput) {
	if !cl.requestPending || requestNumber != cl.requestNumber {
		return
	}
	cl.requestPending, cl.lastRevision = false, response.revision
	cl.recordOperation(response, cl.cluster.now.UnixNano())
}

func (cl *client) recordOperation(response historyOutput, returnedAt int64) {
	*cl.history = append(*cl.history, porcupine.Operation{
		ClientId: cl.id, Input: cl.request, Call: cl.requestStart.UnixNano(), Output: response, Return: returnedAt,
	})
}

// injectFault injects a random fault or ends one. Faults are crashes, partitions,
// links that fail in one direction, leadership transfers and wiped disks. A disk is
// wiped only while the cluster is fully repaired, so that a majority always keeps
// its disks.
func (c *cluster) injectFault(repaired bool) {
	replica := c.replicas[c.random.IntN(len(c.replicas))]
	switch c.random.IntN(60) {
	case 0:
		c.crash(replica)
	case 1, 2, 3:
		if replica.core == nil {
			c.start(replica)
		}
	case 4:
		c.isolated[replica.id] = true
	case 5, 6, 7:
		delete(c.isolated, replica.id)
		clear(c.blockedLinks)
	case 9:
		c.blockedLinks[[2]vm.ID{replica.id, c.replicas[c.random.IntN(len(c.replicas))].id}] = true
	case 10:
		if replica.core != nil && replica.core.TransferLeadership(c.now) {
			c.processOutputs(replica)
		}
	case 8:
		if repaired && c.random.IntN(3) == 0 {
			c.crashAndWipe(replica)
			c.start(replica)
		}
	}
}

// fullyRepaired reports whether all replicas are running, reachable and voters
// under their current identity.
func (c *cluster) fullyRepaired() bool {
	for _, replica := range c.replicas {
		if replica.core == nil || c.isolated[replica.id] || !containsReplica(replica.core.Configuration().Voters, replica.core.Self()) {
			return false
		}
	}
	return true
}

// clearFaults ends all partitions and restarts the crashed replicas.
func (c *cluster) clearFaults() {
	clear(c.isolated)
	clear(c.blockedLinks)
	for _, replica := range c.replicas {
		if replica.core == nil {
			c.start(replica)
		}
	}
}

func runHistory(t *testing.T, seed uint64) {
	c := newCluster(t, 3+2*int(seed%2), seed)
	c.lossRate, c.duplicationRate = 0.05, 0.1
	history := []porcupine.Operation{}
	clients := []*client{}
	for i := range historyClients {
		clients = append(clients, &client{cluster: c, id: i, history: &history})
	}
	// The bootstrap needs all replicas, so the faults begin after it.
	c.waitForLeader()
	for range int(historyDuration / tickInterval) {
		c.step()
		c.injectFault(c.fullyRepaired())
		for _, cl := range clients {
			cl.step()
		}
	}
	c.clearFaults()
	c.stepUntil("a response to every request after all faults have ended", func() bool {
		pending := false
		for _, cl := range clients {
			if cl.requestPending {
				pending = true
				cl.step()
			}
		}
		return !pending
	})
	c.stepUntil("all replicas being voters again", c.fullyRepaired)
	result := porcupine.CheckOperationsTimeout(revisionModel(), history, 20*time.Second)
	require.Equal(t, porcupine.Ok, result, "history of %d requests", len(history))
	requireOneAcceptedPerBase(t, history)
}

// requireOneAcceptedPerBase checks that at most one of the concurrent changes with
// the same base revision is accepted.
func requireOneAcceptedPerBase(t *testing.T, history []porcupine.Operation) {
	accepted := map[uint64]int{}
	for _, o := range history {
		if response := o.Output.(historyOutput); response.accepted {
			base := o.Input.(historyInput).baseRevision
			accepted[base]++
			require.Equal(t, 1, accepted[base], "two changes with base revision %d were accepted", base)
		}
	}
}

// Responses must be linearizable while replicas crash, are partitioned and lose their
// disks. Stale reads, two accepted changes with the same base revision, changes applied
// twice after a resend, and lost changes all violate this.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed)
		})
	}
}
