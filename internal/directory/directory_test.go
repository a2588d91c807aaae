package directory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

var start = time.Unix(1_000_000, 0)

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

func record(role vm.Role, i int, incarnation, revision uint64, status view.Status) directory.Record {
	return directory.Record{
		VM: vm.ID(fmt.Sprint(role, i)), Role: role, Address: address(i), Zone: zone.ID{Region: "si", Name: "a"},
		ProcessIncarnation: incarnation, Revision: revision, Status: status,
	}
}

func newServer(i int) *directory.Server {
	return directory.NewServer(directory.ServerConfig{
		Epoch: uint64(100 + i), StartedAt: start, Self: record(vm.RoleControl, i, 1, 1, view.Ready),
	})
}

func newClient(role vm.Role, i int, seeds ...netip.Addr) *directory.Client {
	return directory.NewClient(directory.ClientConfig{
		Self: record(role, i, 50, 1, view.Ready), Seeds: seeds, Subscribe: role == vm.RoleBalancer, Random: rand.New(rand.NewPCG(1, 2)),
	}, start)
}

// syncOnce delivers the client's next request and the responses to it. Responses
// whose index is in lost are dropped.
func syncOnce(t *testing.T, now time.Time, c *directory.Client, s *directory.Server, serverAddress netip.Addr, lost map[int]bool) {
	t.Helper()
	requests := c.Tick(now)
	require.Len(t, requests, 1)
	for i, response := range s.HandleSyncRequest(now, &requests[0].SyncRequest) {
		if response.To == c.Self().Address && !lost[i] {
			c.HandleSyncResponse(now, serverAddress, response.SyncResponse)
		}
	}
}

// A late record, or a record of a previous process at an address that was given to
// another VM, must not replace a newer one.
func TestNewerRecordsReplaceOlder(t *testing.T) {
	table := directory.NewTable()
	first := record(vm.RoleUpstream, 1, 10, 5, view.Ready)
	require.True(t, table.Put(start, &first))
	for _, late := range []directory.Record{record(vm.RoleUpstream, 1, 10, 4, view.Leaving), record(vm.RoleUpstream, 1, 9, 99, view.Leaving)} {
		require.False(t, table.Put(start, &late))
	}
	next := record(vm.RoleUpstream, 1, 11, 1, view.Starting)
	next.VM = "other"
	require.True(t, table.Put(start, &next))
	table.Entries(vm.RoleUpstream, func(entry *directory.Entry) { require.Equal(t, vm.ID("other"), entry.VM) })
}

// A process that sends no records must be marked as failed and then removed. Its next
// record must end the mark.
func TestUnresponsiveProcessFails(t *testing.T) {
	table := directory.NewTable()
	agentRecord := record(vm.RoleUpstream, 1, 10, 1, view.Ready)
	table.Put(start, &agentRecord)
	status := func() (s view.Status) {
		table.Entries(vm.RoleUpstream, func(entry *directory.Entry) { s = entry.Status })
		return s
	}
	table.Expire(start.Add(5 * time.Second))
	require.Equal(t, view.Ready, status())
	table.Expire(start.Add(7 * time.Second))
	require.Equal(t, view.Failed, status())
	require.True(t, table.Put(start.Add(8*time.Second), &agentRecord))
	require.Equal(t, view.Ready, status())
	table.Expire(start.Add(80 * time.Second))
	require.Empty(t, status())
}

// The position of a client must not advance past a lost response. Otherwise its table
// would lack the records of that response.
func TestLostResponsesAreResent(t *testing.T) {
	s := newServer(1)
	for i := range 35 {
		agentRecord := record(vm.RoleUpstream, 10+i, 1, 1, view.Ready)
		s.HandleSyncRequest(start, &directory.SyncRequest{Self: agentRecord})
	}
	c := newClient(vm.RoleBalancer, 2, address(1))
	syncOnce(t, start, c, s, address(1), map[int]bool{1: true})
	require.Less(t, len(c.Upstreams()), 35)
	syncOnce(t, start.Add(time.Second), c, s, address(1), nil)
	require.Len(t, c.Upstreams(), 35)
}

// Balancers must get the status of a leaving upstream at once, not only with their
// next request.
func TestChangesArePushed(t *testing.T) {
	s := newServer(1)
	c := newClient(vm.RoleBalancer, 2, address(1))
	syncOnce(t, start, c, s, address(1), nil)
	responses := s.HandleSyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleUpstream, 10, 1, 1, view.Leaving)})
	pushed := 0
	for _, response := range responses {
		if response.To == address(2) {
			require.True(t, c.HandleSyncResponse(start, address(1), response.SyncResponse).Changed)
			pushed++
		}
	}
	require.Equal(t, 1, pushed)
	require.Equal(t, view.Leaving, c.Upstreams()[0].Status)
}

// The table of a control process that has just started lacks most upstreams. It
// must not be reported as complete, or balancers reset open flows.
func TestTableCompleteness(t *testing.T) {
	s := newServer(1)
	c := newClient(vm.RoleBalancer, 2, address(1))
	syncOnce(t, start, c, s, address(1), nil)
	require.True(t, c.Connected())
	require.False(t, c.Complete())
	syncOnce(t, start.Add(1100*time.Millisecond), c, s, address(1), nil)
	require.True(t, c.Complete(), "every process has sent a request")

	s = newServer(4)
	c = newClient(vm.RoleBalancer, 2, address(4))
	syncOnce(t, start, c, s, address(4), nil)
	for next := s.Deadline(); next.Sub(start) <= 1150*time.Millisecond; next = s.Deadline() {
		for _, response := range s.Tick(next) {
			c.HandleSyncResponse(next, address(4), response.SyncResponse)
		}
	}
	require.True(t, c.Complete(), "reported without a request")

	restarted := newServer(3)
	restarted.Merge(start, &directory.SyncResponse{Records: []directory.Record{record(vm.RoleUpstream, 10, 1, 1, view.Ready)}}, true)
	c = newClient(vm.RoleBalancer, 2, address(3))
	syncOnce(t, start, c, restarted, address(3), nil)
	require.True(t, c.Complete(), "another control process has sent a complete table")
}

// A process that kept running must send its record to every restarted control process
// within completeAfter, whichever of them have restarted. Otherwise tables stay
// incomplete for seconds after a loss of power.
func TestSurvivorIsKnownSoonAfterAllControlStartedAgain(t *testing.T) {
	addresses := []netip.Addr{address(1), address(2), address(3), address(4), address(5), address(6)}
	for down := range addresses {
		c := newClient(vm.RoleUpstream, 10, addresses...)
		now := start
		for i, a := range addresses {
			c.HandleSyncResponse(now, a, &directory.SyncResponse{Epoch: uint64(100 + i)})
		}
		for now = c.Deadline(); now.Before(start.Add(4 * time.Second)); now = c.Deadline() {
			for _, request := range c.Tick(now) {
				c.HandleSyncResponse(now, request.To, &directory.SyncResponse{Epoch: request.SyncRequest.Epoch})
			}
		}
		// All control processes have restarted except for those that stay down.
		restartedAt, contacted := now, map[netip.Addr]bool{}
		respond := func(requests []directory.AddressedRequest) {
			for len(requests) > 0 {
				request := requests[0]
				requests = requests[1:]
				if slices.Index(addresses, request.To) < down {
					continue
				}
				contacted[request.To] = true
				requests = append(requests, c.HandleSyncResponse(now, request.To, &directory.SyncResponse{Epoch: 200}).Requests...)
			}
		}
		for ; now.Sub(restartedAt) < 600*time.Millisecond; now = c.Deadline() {
			respond(c.Tick(now))
		}
		require.Len(t, contacted, len(addresses)-down)
	}
}

// A client must send a request at once to a control process that is new to it.
// Otherwise the new control process has no record of a running process for seconds.
func TestNewControlProcessGetsRequestAtOnce(t *testing.T) {
	c := newClient(vm.RoleUpstream, 10, address(1))
	result := c.HandleSyncResponse(start, address(1), &directory.SyncResponse{Epoch: 1, Controls: []netip.Addr{address(1), address(7)}})
	require.Len(t, result.Requests, 1)
	require.Equal(t, address(7), result.Requests[0].To)
}

// A process that gets a response from a control process that it does not know must send
// it a request at once. After a loss of power the seeds in the settings may be the last
// ones that are back.
func TestAnnouncedControlProcessGetsRequestAtOnce(t *testing.T) {
	for _, role := range []vm.Role{vm.RoleBalancer, vm.RoleUpstream, vm.RoleControl} {
		s, c := newServer(7), newClient(role, 10, address(1))
		result := c.HandleSyncResponse(start, address(7), s.Status())
		require.True(t, result.FirstResponse)
		requests := map[netip.Addr]int{}
		for _, request := range result.Requests {
			requests[request.To]++
		}
		require.Equal(t, 1, requests[address(7)])
		again := c.HandleSyncResponse(start, address(7), s.Status())
		require.Empty(t, again.Requests, "known by now")
	}
}

// A balancer must subscribe to a few control processes only. When it got each
// change from every control process, 300 VMs used more of the links between zones
// than all packets of callers.
func TestBalancerSubscribesToFew(t *testing.T) {
	var addresses []netip.Addr
	for i := range 8 {
		addresses = append(addresses, address(i+1))
	}
	c := newClient(vm.RoleBalancer, 20, addresses...)
	c.SetVersion(1)
	unresponsive := netip.Addr{}
	// subscriptions holds whether the last request to each control process subscribed
	// to records.
	subscriptions := map[netip.Addr]bool{}
	subscribed := func(now time.Time) []netip.Addr {
		for end := now.Add(4 * time.Second); now.Before(end); now = c.Deadline() {
			for _, request := range c.Tick(now) {
				subscriptions[request.To] = request.SyncRequest.Subscribe
				if request.To != unresponsive {
					c.HandleSyncResponse(now, request.To, &directory.SyncResponse{Epoch: 7, To: 1})
				}
			}
			for _, a := range addresses {
				if subscriptions[a] && a != unresponsive {
					c.HandleSyncResponse(now, a, &directory.SyncResponse{Epoch: 7, To: 1})
				}
			}
		}
		var list []netip.Addr
		for a, subscribes := range subscriptions {
			if subscribes && a != unresponsive {
				list = append(list, a)
			}
		}
		return list
	}
	first := subscribed(start)
	require.Len(t, first, 3)
	unresponsive = first[0]
	subscribed(start.Add(4 * time.Second))
	second := subscribed(start.Add(8 * time.Second))
	require.Len(t, second, 3, "another one replaces the one that does not respond")
	require.NotContains(t, second, unresponsive)
}

// When many processes start at once, their records must be pushed together, not in one
// datagram for each balancer and process. Every change must be pushed.
func TestChangesAreBatched(t *testing.T) {
	s := newServer(1)
	s.HandleSyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleBalancer, 2, 1, 1, view.Ready), Subscribe: true})
	pushed, records := 0, 0
	count := func(responses []directory.AddressedResponse) {
		for _, response := range responses {
			if response.To == address(2) {
				pushed++
				records += len(response.SyncResponse.Records)
			}
		}
	}
	now := start.Add(time.Second)
	for i := range 60 {
		now = now.Add(time.Millisecond)
		if !now.Before(s.Deadline()) {
			count(s.Tick(now))
		}
		count(s.HandleSyncRequest(now, &directory.SyncRequest{Self: record(vm.RoleUpstream, 100+i, 1, 1, view.Ready)}))
	}
	require.LessOrEqual(t, s.Deadline().Sub(now), 20*time.Millisecond)
	count(s.Tick(s.Deadline()))
	require.GreaterOrEqual(t, records, 60)
	require.LessOrEqual(t, pushed, 15, "four pushes in 60 ms, of up to three datagrams each")
	count(s.HandleSyncRequest(now.Add(time.Second), &directory.SyncRequest{Self: record(vm.RoleUpstream, 200, 1, 1, view.Ready)}))
	require.LessOrEqual(t, pushed, 16, "a single change is pushed at once")
}

// A process whose clock was set back must raise its process incarnation above that of
// the previous process. Otherwise its records are ignored as older ones.
func TestClockBehind(t *testing.T) {
	s := newServer(1)
	s.HandleSyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleUpstream, 10, 900, 7, view.Ready)})
	c := newClient(vm.RoleUpstream, 10, address(1))
	requests := c.Tick(start)
	var lastResponse *directory.SyncResponse
	for _, response := range s.HandleSyncRequest(start, &requests[0].SyncRequest) {
		lastResponse = response.SyncResponse
	}
	result := c.HandleSyncResponse(start, address(1), lastResponse)
	require.Len(t, result.Requests, 1)
	require.EqualValues(t, 901, result.Requests[0].SyncRequest.Self.ProcessIncarnation)
	s.HandleSyncRequest(start, &result.Requests[0].SyncRequest)
	require.EqualValues(t, 901, s.Table().ProcessIncarnation(&result.Requests[0].SyncRequest.Self))
}

// A balancer without a desired state must send its requests to all control
// processes. If it sent them in turn, after a loss of power it would refuse
// openings for seconds, because the first ones may have no desired state.
func TestStartingBalancerSyncsWithAll(t *testing.T) {
	c := newClient(vm.RoleBalancer, 2, address(1), address(3), address(5))
	require.Len(t, c.Tick(start), 3)
	c.HandleSyncResponse(start, address(1), &directory.SyncResponse{Epoch: 1})
	next := c.Deadline()
	require.LessOrEqual(t, next.Sub(start), 150*time.Millisecond)
	require.Len(t, c.Tick(next), 3, "the first response had no version")
	c.SetVersion(7)
	require.Len(t, c.Tick(c.Deadline()), 1)
}

// Load pattern: an agent was paused and cannot serve until it has terms, which each control
// process may lack. It must ask all of them at once, some more times, and then go back to
// one after the other.
func TestProcessThatAwaitsTermsSyncsWithAll(t *testing.T) {
	c := newClient(vm.RoleUpstream, 9, address(1), address(2), address(3))
	for i := range 3 {
		response := newServer(i + 1).Status()
		c.HandleSyncResponse(start, address(i+1), response)
	}
	now := start.Add(time.Second)
	require.Len(t, c.Tick(now), 1)
	c.SetAwaitsTerms(now, true)
	require.False(t, c.Deadline().After(now))
	all := 0
	for range 8 {
		requests := c.Tick(now)
		if len(requests) == 3 {
			all++
		}
		for i := range requests {
			c.HandleSyncResponse(now, requests[i].To, newServer(int(requests[i].To.As4()[3])).Status())
		}
		now = c.Deadline()
	}
	require.Equal(t, 6, all)
	c.SetAwaitsTerms(now, false)
	require.Len(t, c.Tick(now), 1)
}

// A process must also send requests to control processes that it learned from
// responses, because its seeds may have been replaced.
func TestControlProcessesAreLearned(t *testing.T) {
	s := newServer(1)
	s.HandleSyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleControl, 7, 1, 1, view.Ready)})
	c := newClient(vm.RoleUpstream, 10, address(1))
	syncOnce(t, start, c, s, address(1), nil)
	c.SetSeeds(start, []netip.Addr{address(1)})
	contacted := map[netip.Addr]bool{}
	for i := range 4 {
		for _, request := range c.Tick(start.Add(time.Duration(i+1) * time.Second)) {
			contacted[request.To] = true
		}
	}
	require.Equal(t, map[netip.Addr]bool{address(1): true, address(7): true}, contacted)
	for _, request := range c.Tick(start.Add(time.Hour)) {
		require.Equal(t, address(1), request.To, "a learned control process that does not respond is removed, a seed is not")
	}
}

// A new version must be reported to subscribers at once, not with the next request in
// turn. Its fetch must be repeated, because packets may be lost on a saturated link.
func TestNewVersionIsFetched(t *testing.T) {
	s := newServer(1)
	c := newClient(vm.RoleBalancer, 2, address(1))
	c.SetVersion(3)
	syncOnce(t, start, c, s, address(1), nil)
	_, due := c.FetchSource(start)
	require.False(t, due)
	s.Version = 4
	updates := s.StatusUpdates(start)
	require.Len(t, updates, 1)
	c.HandleSyncResponse(start, address(1), updates[0].SyncResponse)
	c.HandleSyncResponse(start, address(3), &directory.SyncResponse{Version: 4})
	c.HandleSyncResponse(start, address(5), &directory.SyncResponse{Version: 3})

	fetches := map[netip.Addr]int{}
	for now := start; now.Before(start.Add(time.Second)); now = c.Deadline() {
		if from, due := c.FetchSource(now); due {
			fetches[from]++
		}
		c.Tick(now)
	}
	require.GreaterOrEqual(t, fetches[address(1)], 3, "fetched repeatedly")
	require.GreaterOrEqual(t, fetches[address(3)], 3, "fetched from in turn")
	c.SetVersion(4)
	_, due = c.FetchSource(start.Add(2 * time.Second))
	require.False(t, due)
}

// Guards against fetches of further copies while one is arriving, and against a fetch that
// is never repeated.
func TestPostponedFetch(t *testing.T) {
	c := newClient(vm.RoleBalancer, 2, address(1))
	c.SetVersion(3)
	c.HandleSyncResponse(start, address(1), &directory.SyncResponse{Version: 4})
	_, due := c.FetchSource(start)
	require.True(t, due)
	now := start
	for range 5 {
		now = c.Deadline()
		c.PostponeFetch(now)
		_, due = c.FetchSource(now)
		require.False(t, due)
	}
	now = now.Add(time.Second)
	_, due = c.FetchSource(now)
	require.True(t, due)
}
