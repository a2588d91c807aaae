package directory_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// newFullServer returns a server with the records of this many agents and balancers,
// at a time when its table is complete.
func newFullServer(cfg directory.ServerConfig, agents, balancers int) (*directory.Server, time.Time) {
	cfg.Epoch, cfg.StartedAt, cfg.Self = 101, start, record(vm.RoleControl, 1, 1, 1, view.Ready)
	s := directory.NewServer(cfg)
	for i := range agents {
		s.HandleSyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleUpstream, 1000+i, 10, 1, view.Ready)})
	}
	for i := range balancers {
		s.HandleSyncRequest(start, &directory.SyncRequest{Self: record(vm.RoleBalancer, 3000+i, 10, 1, view.Ready)})
	}
	now := start.Add(2 * time.Second)
	s.Tick(now)
	return s, now
}

// A table of 200 records is sent in 20 datagrams, which the network reorders. They must
// not be sent again: at 64 balancers this took several times the bytes of the callers.
func TestReorderedResponsesAreNotSentAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		s, now := newFullServer(directory.ServerConfig{}, 200, 0)
		c := newClient(vm.RoleBalancer, 20, address(1))
		requests := c.Tick(now)
		responses := s.HandleSyncRequest(now, &requests[0].SyncRequest)
		require.Greater(t, len(responses), 10)
		random.Shuffle(len(responses), func(i, j int) { responses[i], responses[j] = responses[j], responses[i] })
		for _, response := range responses {
			c.HandleSyncResponse(now, address(1), response.SyncResponse)
		}
		require.Len(t, c.Upstreams(), 200)
		require.True(t, c.Complete())
		c.SetVersion(1)
		now = c.Deadline()
		for _, response := range s.HandleSyncRequest(now, &c.Tick(now)[0].SyncRequest) {
			require.Empty(t, response.SyncResponse.Records, "sent again")
		}
	}
}

// If a datagram of a large table is lost, its records must be sent again, and the table
// must not count as complete before.
func TestLostPartOfLargeTable(t *testing.T) {
	for lost := range 20 {
		s, now := newFullServer(directory.ServerConfig{}, 200, 0)
		c := newClient(vm.RoleBalancer, 20, address(1))
		responses := s.HandleSyncRequest(now, &c.Tick(now)[0].SyncRequest)
		slices.Reverse(responses)
		for i, response := range responses {
			if i != lost {
				c.HandleSyncResponse(now, address(1), response.SyncResponse)
			}
		}
		require.False(t, c.Complete())
		c.SetVersion(1)
		for end := now.Add(time.Second); now.Before(end); now = c.Deadline() {
			for _, request := range c.Tick(now) {
				for _, response := range s.HandleSyncRequest(now, &request.SyncRequest) {
					c.HandleSyncResponse(now, address(1), response.SyncResponse)
				}
			}
		}
		require.Len(t, c.Upstreams(), 200)
		require.True(t, c.Complete())
	}
}

// While the responses of a busy control process are on their way, further requests of a
// starting balancer must not make it send its table again: at 99 balancers and 300
// records this kept control processes busy for seconds. A balancer that has restarted
// must get the table at once.
func TestTableIsNotSentAgainWhileOnItsWay(t *testing.T) {
	s, now := newFullServer(directory.ServerConfig{}, 200, 0)
	c := newClient(vm.RoleBalancer, 20, address(1))
	records := func(request directory.SyncRequest) int {
		count := 0
		for _, response := range s.HandleSyncRequest(now, &request) {
			count += len(response.SyncResponse.Records)
		}
		return count
	}
	total := 0
	var last directory.SyncRequest
	for end := now.Add(time.Second); now.Before(end); now = c.Deadline() {
		for _, request := range c.Tick(now) {
			last = request.SyncRequest
			total += records(last)
		}
	}
	require.LessOrEqual(t, total, 3*201, "seven requests")
	require.GreaterOrEqual(t, total, 2*200, "lost responses are sent again")
	last.Self.ProcessIncarnation++
	require.GreaterOrEqual(t, records(last), 200, "another process")
}

// A control process whose link cannot carry the records for its subscribers must leave
// them to others, and must still respond. One with a replica always serves records.
func TestThinLinksServeNoRecords(t *testing.T) {
	const thinLink, fastLink = 250e3, 125e6
	for name, test := range map[string]struct {
		cfg               directory.ServerConfig
		agents, balancers int
		wantServesRecords bool
	}{
		"large fleet, thin link":              {cfg: directory.ServerConfig{LinkBytesPerSecond: thinLink}, agents: 136, balancers: 64},
		"large fleet, thin link, replica":     {cfg: directory.ServerConfig{LinkBytesPerSecond: thinLink, AlwaysServesRecords: true}, agents: 136, balancers: 64, wantServesRecords: true},
		"large fleet, fast link":              {cfg: directory.ServerConfig{LinkBytesPerSecond: fastLink}, agents: 136, balancers: 64, wantServesRecords: true},
		"small fleet, thin link":              {cfg: directory.ServerConfig{LinkBytesPerSecond: thinLink}, agents: 10, balancers: 8, wantServesRecords: true},
		"large fleet, link rate is not known": {cfg: directory.ServerConfig{}, agents: 136, balancers: 64, wantServesRecords: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newFullServer(test.cfg, test.agents, test.balancers)
			c := newClient(vm.RoleBalancer, 20, address(1))
			responses := s.HandleSyncRequest(now, &c.Tick(now)[0].SyncRequest)
			require.NotEmpty(t, responses, "a response without records shows that the process is running")
			for _, response := range responses {
				c.HandleSyncResponse(now, address(1), response.SyncResponse)
			}
			require.Equal(t, test.wantServesRecords, len(c.Upstreams()) == test.agents)
			require.Equal(t, test.wantServesRecords, c.Complete())
			changed := record(vm.RoleUpstream, 1000, 10, 2, view.Leaving)
			pushed := 0
			for _, response := range s.HandleSyncRequest(now.Add(time.Second), &directory.SyncRequest{Self: changed}) {
				if response.To == c.Self().Address {
					pushed++
				}
			}
			require.Equal(t, test.wantServesRecords, pushed > 0)
			records := 0
			peer := directory.SyncRequest{Self: record(vm.RoleControl, 9, 1, 1, view.Ready), Subscribe: true}
			for _, response := range s.HandleSyncRequest(now.Add(time.Second), &peer) {
				records += len(response.SyncResponse.Records)
			}
			require.Equal(t, test.wantServesRecords, records > 0, "another control process")
		})
	}
}

// A balancer must subscribe to control processes that serve records, also if others
// respond and rank before them.
func TestSubscriptionsSkipProcessesWithoutRecords(t *testing.T) {
	var addresses []netip.Addr
	for i := range 10 {
		addresses = append(addresses, address(i+1))
	}
	serving := map[netip.Addr]bool{addresses[2]: true, addresses[5]: true, addresses[6]: true, addresses[9]: true}
	c := newClient(vm.RoleBalancer, 20, addresses...)
	c.SetVersion(1)
	subscriptions := map[netip.Addr]bool{}
	for now := start; now.Before(start.Add(12 * time.Second)); now = c.Deadline() {
		for _, request := range c.Tick(now) {
			subscriptions[request.To] = request.SyncRequest.Subscribe
			response := &directory.SyncResponse{Epoch: 7}
			if serving[request.To] {
				response.To = 1
			}
			c.HandleSyncResponse(now, request.To, response)
		}
		for a := range serving {
			c.HandleSyncResponse(now, a, &directory.SyncResponse{Epoch: 7, To: 1})
		}
	}
	count := 0
	for a := range serving {
		if subscriptions[a] {
			count++
		}
	}
	require.GreaterOrEqual(t, count, 3)
}
