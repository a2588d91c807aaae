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

func record(role vm.Role, i int, process, revision uint64, status view.Status) directory.Record {
	return directory.Record{
		VM: vm.ID(fmt.Sprint(role, i)), Role: role, Address: address(i), Zone: zone.ID{Region: "si", Name: "a"},
		ProcessIncarnation: process, Revision: revision, Status: status,
	}
}

func newServer(i int) *directory.Server {
	return directory.NewServer(directory.ServerConfig{
		Epoch: uint64(100 + i), Started: start, Self: record(vm.RoleControl, i, 1, 1, view.Ready),
	})
}

func newClient(role vm.Role, i int, seeds ...netip.Addr) *directory.Client {
	return directory.NewClient(directory.ClientConfig{
		Self: record(role, i, 50, 1, view.Ready), Seeds: seeds, Subscribe: role == vm.RoleBalancer, Random: rand.New(rand.NewPCG(1, 2)),
	}, start)
}

// exchange delivers the client's next request and the answers for it. Answers
// whose index is in lose are lost.
func exchange(t *testing.T, now time.Time, c *directory.Client, s *directory.Server, at netip.Addr, lose map[int]bool) {
	t.Helper()
	requests := c.Tick(now)
	require.Len(t, requests, 1)
	for i, send := range s.SyncRequest(now, &requests[0].SyncRequest) {
		if send.To == c.Self().Address && !lose[i] {
			c.SyncResponse(now, at, send.SyncResponse)
		}
	}
}

// Guards against records of earlier processes at an address that has been
// given to another VM, and against announcements that arrive late.
func TestLaterRecordsWin(t *testing.T) {
	table := directory.NewTable()
	first := record(vm.RoleUpstream, 1, 10, 5, view.Ready)
	require.True(t, table.Put(start, &first))
	for _, late := range []directory.Record{record(vm.RoleUpstream, 1, 10, 4, view.Leaving), record(vm.RoleUpstream, 1, 9, 99, view.Leaving)} {
		require.False(t, table.Put(start, &late))
	}
	next := record(vm.RoleUpstream, 1, 11, 1, view.Starting)
	next.VM = "other"
	require.True(t, table.Put(start, &next))
	table.Entries(vm.RoleUpstream, func(e *directory.Entry) { require.Equal(t, vm.ID("other"), e.VM) })
}

// Guards against processes that are shown as running after they have gone, and
// against one that stays failed after it has returned.
func TestSilentProcesses(t *testing.T) {
	table := directory.NewTable()
	r := record(vm.RoleUpstream, 1, 10, 1, view.Ready)
	table.Put(start, &r)
	status := func() (s view.Status) {
		table.Entries(vm.RoleUpstream, func(e *directory.Entry) { s = e.Status })
		return s
	}
	table.Expire(start.Add(5 * time.Second))
	require.Equal(t, view.Ready, status())
	table.Expire(start.Add(7 * time.Second))
	require.Equal(t, view.Failed, status())
	require.True(t, table.Put(start.Add(8*time.Second), &r))
	require.Equal(t, view.Ready, status())
	table.Expire(start.Add(80 * time.Second))
	require.Empty(t, status())
}

// Guards against a table that misses records because an answer was lost: the
// position stays behind until the gap is filled.
func TestLostAnswersAreSentAgain(t *testing.T) {
	s := newServer(1)
	for i := range 35 {
		r := record(vm.RoleUpstream, 10+i, 1, 1, view.Ready)
		s.SyncRequest(start, &directory.SyncRequest{Self: r})
	}
	c := newClient(vm.RoleBalancer, 2, address(1))
	exchange(t, start, c, s, address(1), map[int]bool{1: true})
	require.Less(t, len(c.Upstreams()), 35)
	exchange(t, start.Add(time.Second), c, s, address(1), nil)
	require.Len(t, c.Upstreams(), 35)
}

// Guards against balancers that hear of a leaving upstream only when they ask
// again.
func TestChangesArePushed(t *testing.T) {
	s := newServer(1)
	c := newClient(vm.RoleBalancer, 2, address(1))
	exchange(t, start, c, s, address(1), nil)
	sends := s.SyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleUpstream, 10, 1, 1, view.Leaving)})
	pushed := 0
	for _, send := range sends {
		if send.To == address(2) {
			require.True(t, c.SyncResponse(start, address(1), send.SyncResponse).Changed)
			pushed++
		}
	}
	require.Equal(t, 1, pushed)
	require.Equal(t, view.Leaving, c.Upstreams()[0].Status)
}

// Guards against resets of open flows on the word of a control process that has
// just started and knows few upstreams.
func TestCompleteness(t *testing.T) {
	s := newServer(1)
	c := newClient(vm.RoleBalancer, 2, address(1))
	exchange(t, start, c, s, address(1), nil)
	require.True(t, c.Connected())
	require.False(t, c.Complete())
	exchange(t, start.Add(1100*time.Millisecond), c, s, address(1), nil)
	require.True(t, c.Complete(), "every process has asked once")

	s = newServer(4)
	c = newClient(vm.RoleBalancer, 2, address(4))
	exchange(t, start, c, s, address(4), nil)
	for next := s.Deadline(); next.Sub(start) <= 1150*time.Millisecond; next = s.Deadline() {
		for _, send := range s.Tick(next) {
			c.SyncResponse(next, address(4), send.SyncResponse)
		}
	}
	require.True(t, c.Complete(), "told without being asked")

	fresh := newServer(3)
	fresh.Merge(start, &directory.SyncResponse{Records: []directory.Record{record(vm.RoleUpstream, 10, 1, 1, view.Ready)}}, true)
	c = newClient(vm.RoleBalancer, 2, address(3))
	exchange(t, start, c, fresh, address(3), nil)
	require.True(t, c.Complete(), "another control process has told a complete table")
}

// Guards against a table that stays incomplete for seconds after a loss of power:
// a process that has lived on has to tell every control process within
// completeAfter that it is there, whichever of them are back.
func TestSurvivorIsKnownSoonAfterAllControlStartedAgain(t *testing.T) {
	addresses := []netip.Addr{address(1), address(2), address(3), address(4), address(5), address(6)}
	for down := range addresses {
		c := newClient(vm.RoleUpstream, 10, addresses...)
		now := start
		for i, a := range addresses {
			c.SyncResponse(now, a, &directory.SyncResponse{Epoch: uint64(100 + i)})
		}
		for now = c.Deadline(); now.Before(start.Add(4 * time.Second)); now = c.Deadline() {
			for _, r := range c.Tick(now) {
				c.SyncResponse(now, r.To, &directory.SyncResponse{Epoch: r.SyncRequest.Epoch})
			}
		}
		// All control processes have started again but those that stay down.
		restarted, told := now, map[netip.Addr]bool{}
		answer := func(requests []directory.AddressedRequest) {
			for len(requests) > 0 {
				r := requests[0]
				requests = requests[1:]
				if slices.Index(addresses, r.To) < down {
					continue
				}
				told[r.To] = true
				requests = append(requests, c.SyncResponse(now, r.To, &directory.SyncResponse{Epoch: 200}).Requests...)
			}
		}
		for ; now.Sub(restarted) < 1150*time.Millisecond; now = c.Deadline() {
			answer(c.Tick(now))
		}
		require.Len(t, told, len(addresses)-down)
	}
}

// Guards against a process that a new control process does not know for seconds.
func TestNewControlProcessIsAskedAtOnce(t *testing.T) {
	c := newClient(vm.RoleUpstream, 10, address(1))
	news := c.SyncResponse(start, address(1), &directory.SyncResponse{Epoch: 1, Controls: []netip.Addr{address(1), address(7)}})
	require.Len(t, news.Requests, 1)
	require.Equal(t, address(7), news.Requests[0].To)
}

// Guards against a balancer that gets each change from every control process: at 300
// VMs that took more of the links between zones than all packets of callers.
func TestBalancerSubscribesToFew(t *testing.T) {
	var addresses []netip.Addr
	for i := range 8 {
		addresses = append(addresses, address(i+1))
	}
	c := newClient(vm.RoleBalancer, 20, addresses...)
	c.SetVersion(1)
	silent := netip.Addr{}
	// at holds where the last question to each asked for records.
	at := map[netip.Addr]bool{}
	subscribed := func(now time.Time) []netip.Addr {
		for end := now.Add(4 * time.Second); now.Before(end); now = c.Deadline() {
			for _, r := range c.Tick(now) {
				at[r.To] = r.SyncRequest.Subscribe
				if r.To != silent {
					c.SyncResponse(now, r.To, &directory.SyncResponse{Epoch: 7})
				}
			}
			for _, a := range addresses {
				if at[a] && a != silent {
					c.SyncResponse(now, a, &directory.SyncResponse{Epoch: 7})
				}
			}
		}
		var list []netip.Addr
		for a, is := range at {
			if is && a != silent {
				list = append(list, a)
			}
		}
		return list
	}
	first := subscribed(start)
	require.Len(t, first, 3)
	silent = first[0]
	subscribed(start.Add(4 * time.Second))
	second := subscribed(start.Add(8 * time.Second))
	require.Len(t, second, 3, "another one takes the place of the silent one")
	require.NotContains(t, second, silent)
}

// Guards against a datagram for each balancer and process when many processes start
// at once, and against changes that wait.
func TestChangesGoTogether(t *testing.T) {
	s := newServer(1)
	s.SyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleBalancer, 2, 1, 1, view.Ready), Subscribe: true})
	pushed, records := 0, 0
	count := func(sends []directory.AddressedResponse) {
		for _, send := range sends {
			if send.To == address(2) {
				pushed++
				records += len(send.SyncResponse.Records)
			}
		}
	}
	now := start.Add(time.Second)
	for i := range 60 {
		now = now.Add(time.Millisecond)
		if !now.Before(s.Deadline()) {
			count(s.Tick(now))
		}
		count(s.SyncRequest(now, &directory.SyncRequest{Self: record(vm.RoleUpstream, 100+i, 1, 1, view.Ready)}))
	}
	require.LessOrEqual(t, s.Deadline().Sub(now), 20*time.Millisecond)
	count(s.Tick(s.Deadline()))
	require.GreaterOrEqual(t, records, 60)
	require.LessOrEqual(t, pushed, 15, "four pushes in 60 ms, of up to three datagrams each")
	count(s.SyncRequest(now.Add(time.Second), &directory.SyncRequest{Self: record(vm.RoleUpstream, 200, 1, 1, view.Ready)}))
	require.LessOrEqual(t, pushed, 16, "a single change goes at once")
}

// Guards against a process whose clock went back: its announcements would lose
// against those of its predecessor.
func TestClockBehind(t *testing.T) {
	s := newServer(1)
	s.SyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleUpstream, 10, 900, 7, view.Ready)})
	c := newClient(vm.RoleUpstream, 10, address(1))
	requests := c.Tick(start)
	var answer *directory.SyncResponse
	for _, send := range s.SyncRequest(start, &requests[0].SyncRequest) {
		answer = send.SyncResponse
	}
	news := c.SyncResponse(start, address(1), answer)
	require.Len(t, news.Requests, 1)
	require.EqualValues(t, 901, news.Requests[0].SyncRequest.Self.ProcessIncarnation)
	s.SyncRequest(start, &news.Requests[0].SyncRequest)
	require.EqualValues(t, 901, s.Table().Known(&news.Requests[0].SyncRequest.Self))
}

// Guards against a balancer that refuses openings for seconds after a loss of
// power, because the control processes that it asks in turn have no desired state.
func TestStartingBalancerAsksAll(t *testing.T) {
	c := newClient(vm.RoleBalancer, 2, address(1), address(3), address(5))
	require.Len(t, c.Tick(start), 3)
	c.SyncResponse(start, address(1), &directory.SyncResponse{Epoch: 1})
	next := c.Deadline()
	require.LessOrEqual(t, next.Sub(start), 150*time.Millisecond)
	require.Len(t, c.Tick(next), 3, "the first answer had no version")
	c.SetVersion(7)
	require.Len(t, c.Tick(c.Deadline()), 1)
}

// Guards against a process that asks only seeds that have been replaced.
func TestControlProcessesAreLearned(t *testing.T) {
	s := newServer(1)
	s.SyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleControl, 7, 1, 1, view.Ready)})
	c := newClient(vm.RoleUpstream, 10, address(1))
	exchange(t, start, c, s, address(1), nil)
	c.SetSeeds(start, []netip.Addr{address(1)})
	asked := map[netip.Addr]bool{}
	for i := range 4 {
		for _, r := range c.Tick(start.Add(time.Duration(i+1) * time.Second)) {
			asked[r.To] = true
		}
	}
	require.Equal(t, map[netip.Addr]bool{address(1): true, address(7): true}, asked)
	for _, r := range c.Tick(start.Add(time.Hour)) {
		require.Equal(t, address(1), r.To, "a learned one that is silent is dropped, a seed is not")
	}
}

// Guards against a new version that is learned only at the next turn, and
// against one that stays away because its packets were lost on a full link.
func TestNewVersionIsFetched(t *testing.T) {
	s := newServer(1)
	c := newClient(vm.RoleBalancer, 2, address(1))
	c.SetVersion(3)
	exchange(t, start, c, s, address(1), nil)
	_, due := c.FetchSource(start)
	require.False(t, due)
	s.Version = 4
	notices := s.StatusUpdates(start)
	require.Len(t, notices, 1)
	c.SyncResponse(start, address(1), notices[0].SyncResponse)
	c.SyncResponse(start, address(3), &directory.SyncResponse{Version: 4})
	c.SyncResponse(start, address(5), &directory.SyncResponse{Version: 3})

	asked := map[netip.Addr]int{}
	for now := start; now.Before(start.Add(time.Second)); now = c.Deadline() {
		if from, due := c.FetchSource(now); due {
			asked[from]++
		}
		c.Tick(now)
	}
	require.GreaterOrEqual(t, asked[address(1)], 3, "again and again")
	require.GreaterOrEqual(t, asked[address(3)], 3, "in turn")
	c.SetVersion(4)
	_, due = c.FetchSource(start.Add(2 * time.Second))
	require.False(t, due)
}
