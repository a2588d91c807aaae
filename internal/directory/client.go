package directory

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// syncInterval is the interval between sync requests of a process, which go to one
	// control process after the other. With ten control processes, each gets a request
	// every 3 s, well within subscriberLifetime and failedAfter.
	syncInterval = 300 * time.Millisecond
	// syncResponseTimeout limits how long a control process may take to respond to a
	// sync request before requests are sent to all of them: several round trips between
	// zones.
	syncResponseTimeout = 150 * time.Millisecond
	// completeAfter is the time after which a control process that has just started has
	// received a request from every running process. A process sends a request within
	// syncInterval. If it gets no response, it sends requests to all control processes
	// after syncResponseTimeout. It does so at once if a response shows that a control
	// process has restarted. initialSyncInterval allows for a response in transit.
	completeAfter = syncInterval + syncResponseTimeout + initialSyncInterval
	// initialSyncInterval replaces syncInterval until the first response. A balancer
	// uses it until it has a desired state.
	initialSyncInterval = 150 * time.Millisecond
	// maxStartingRounds is how often a balancer that has a response, but no desired state
	// yet, sends requests to all control processes. Later ones go to one after the other.
	// Control processes push a status update when they have a desired state, so requests
	// to all of them only make up for lost updates.
	maxStartingRounds = 6
	// fetchTimeout limits how long a fetch of a desired state may take before another
	// control process is tried: several round trips. On a link that loses half of the
	// packets, a state of three packets then arrives within two seconds in 9 of 10
	// cases.
	fetchTimeout = 100 * time.Millisecond
	// maxControlProcesses bounds the control processes that get requests.
	maxControlProcesses = 16
	// maxSubscriptions is the number of control processes that push changes to a
	// balancer. Each change costs one datagram for each balancer and subscription. With
	// three subscriptions, two may fail at once.
	maxSubscriptions = 3
	// subscriptionTimeout is the time without a message from a control process after
	// which another one replaces it in the subscriptions. Control processes send a
	// message at least every expireInterval.
	subscriptionTimeout = 2500 * time.Millisecond
	// learnedControlLifetime is how long requests are sent to a control process that
	// does not respond, unless the settings list it.
	learnedControlLifetime = 30 * time.Second
)

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Self is the first record of the process.
	Self Record
	// Seeds lists the control processes that the settings list.
	Seeds []netip.Addr
	// Subscribe requests the records of other processes.
	Subscribe bool
	Random    *rand.Rand
}

// Client sends the record of one process to the control processes and merges their
// tables.
type Client struct {
	cfg      ClientConfig
	table    *Table
	controls []*controlState
	// rotationIndex is the index in controls of the control process that got the last
	// request in turn. nextSyncAt is when the next request is due.
	rotationIndex int
	nextSyncAt    time.Time
	// lastContacted is the control process that got the last request from Tick, at
	// lastContactedAt. It is nil if Tick last returned requests to all.
	lastContacted   *controlState
	lastContactedAt time.Time
	// startingRounds counts the requests to all while this process was starting.
	startingRounds int
	// desiredVersion is the version of the desired state of this process. nextFetchAt
	// is the earliest time of the next fetch, or zero.
	desiredVersion uint64
	nextFetchAt    time.Time
	leader         netip.Addr
	// awaitsTerms is set while the process cannot serve without the terms that control
	// processes send besides their responses.
	awaitsTerms bool
	connected   bool
	complete    bool
}

// controlState is the state of one control process, as this client has received it.
type controlState struct {
	address netip.Addr
	// configured is set if the settings list the control process.
	configured bool
	// received has the positions in the table of the run with this epoch.
	epoch          uint64
	received       receivedRanges
	lastResponseAt time.Time
	// withoutRecords is set if its last response showed that it serves no records.
	withoutRecords bool
	// desiredVersion is the version of its desired state. lastFetchAt is when the
	// client last started to fetch it from there.
	desiredVersion uint64
	lastFetchAt    time.Time
}

// AddressedRequest is a SyncRequest with its destination.
type AddressedRequest struct {
	To          netip.Addr
	SyncRequest SyncRequest
}

// NewClient returns a client that sends its first requests to the seeds.
func NewClient(cfg ClientConfig, now time.Time) *Client {
	c := &Client{cfg: cfg, table: NewTable(), nextSyncAt: now}
	c.SetSeeds(now, cfg.Seeds)
	if len(c.controls) > 0 {
		c.rotationIndex = cfg.Random.IntN(len(c.controls))
	}
	return c
}

// Table returns the merged table.
func (c *Client) Table() *Table { return c.table }

// Connected reports whether a control process has responded.
func (c *Client) Connected() bool { return c.connected }

// Complete reports whether the table has all running processes. This is the case
// after a control process with a complete table has sent all of it.
func (c *Client) Complete() bool { return c.complete }

// Leader returns the address of the leader among the control processes, or an
// invalid address if it is unknown.
func (c *Client) Leader() netip.Addr { return c.leader }

// Self returns the record of this process.
func (c *Client) Self() Record { return c.cfg.Self }

// SetVersion sets the version of the desired state that the process has.
func (c *Client) SetVersion(version uint64) { c.desiredVersion, c.nextFetchAt = version, time.Time{} }

// SetAwaitsTerms sets whether the process cannot serve without terms. It then sends
// requests like one that lacks a desired state, the first ones with the next Tick.
func (c *Client) SetAwaitsTerms(now time.Time, awaits bool) {
	if awaits && !c.awaitsTerms {
		c.startingRounds, c.nextSyncAt = 0, now
	}
	c.awaitsTerms = awaits
}

// SetSeeds replaces the control processes that the settings list. Others, learned
// from responses, stay as long as they respond.
func (c *Client) SetSeeds(now time.Time, seeds []netip.Addr) {
	for _, control := range c.controls {
		control.configured = slices.Contains(seeds, control.address)
	}
	for _, address := range seeds {
		c.addControl(now, address).configured = true
	}
}

// findControl returns the state of a control process, or nil.
func (c *Client) findControl(address netip.Addr) *controlState {
	for _, control := range c.controls {
		if control.address == address {
			return control
		}
	}
	return nil
}

// addControl returns the state of a control process, which it adds if needed.
func (c *Client) addControl(now time.Time, address netip.Addr) *controlState {
	if control := c.findControl(address); control != nil {
		return control
	}
	control := &controlState{address: address, lastResponseAt: now}
	c.controls = append(c.controls, control)
	return control
}

// PublishRecord updates the record of this process and returns requests that send
// it to all control processes.
func (c *Client) PublishRecord(now time.Time, update func(*Record)) []AddressedRequest {
	update(&c.cfg.Self)
	c.cfg.Self.Revision++
	c.nextSyncAt = now.Add(c.currentSyncInterval())
	return c.syncRequests(now)
}

// syncRequests returns a request for each control process.
func (c *Client) syncRequests(now time.Time) []AddressedRequest {
	requests := make([]AddressedRequest, 0, len(c.controls))
	for _, control := range c.controls {
		requests = append(requests, c.newSyncRequest(now, control))
	}
	return requests
}

// Status returns the status in the record of this process.
func (c *Client) Status() view.Status { return c.cfg.Self.Status }

func (c *Client) newSyncRequest(now time.Time, control *controlState) AddressedRequest {
	return AddressedRequest{To: control.address, SyncRequest: SyncRequest{
		Self: c.cfg.Self, Epoch: control.epoch, Position: control.received.position, Version: c.desiredVersion, Subscribe: c.subscribesTo(now, control),
	}}
}

// subscribesTo reports whether requests to a control process subscribe to the
// records of other processes. A balancer subscribes to the few responding control
// processes with the highest rendezvous scores, so that balancers are distributed
// over them. Control processes subscribe to all others.
func (c *Client) subscribesTo(now time.Time, control *controlState) bool {
	if !c.cfg.Subscribe || c.cfg.Self.Role != vm.RoleBalancer {
		return c.cfg.Subscribe
	}
	rankedBefore := 0
	for _, other := range c.controls {
		if other != control && !other.withoutRecords && now.Sub(other.lastResponseAt) < subscriptionTimeout && c.rendezvousScore(other) > c.rendezvousScore(control) {
			rankedBefore++
		}
	}
	return rankedBefore < maxSubscriptions
}

// rendezvousScore returns the score of a control process for this process in
// rendezvous hashing.
func (c *Client) rendezvousScore(control *controlState) uint64 {
	self, peer := c.cfg.Self.Address.As16(), control.address.As16()
	return xxhash.Sum64(append(self[:], peer[:]...))
}

// starting reports whether the process lacks the state that it needs to serve.
func (c *Client) starting() bool {
	return !c.connected || c.awaitsTerms || (c.cfg.Subscribe && c.cfg.Self.Role == vm.RoleBalancer && c.desiredVersion == 0)
}

// currentSyncInterval returns the interval until the next request.
func (c *Client) currentSyncInterval() time.Duration {
	if c.starting() {
		return initialSyncInterval
	}
	return syncInterval
}

// lastContactedUnresponsive reports whether lastContacted has not responded since
// lastContactedAt.
func (c *Client) lastContactedUnresponsive() bool {
	return c.lastContacted != nil && c.lastContacted.lastResponseAt.Before(c.lastContactedAt)
}

// nextTickAt returns when Tick sends the next requests: when the next one is due, or
// earlier if the last control process does not respond.
func (c *Client) nextTickAt() time.Time {
	if timeoutAt := c.lastContactedAt.Add(syncResponseTimeout); c.lastContactedUnresponsive() && timeoutAt.Before(c.nextSyncAt) {
		return timeoutAt
	}
	return c.nextSyncAt
}

// Tick returns a request to the next control process if it is due.
//
// A process that is starting sends requests to all control processes, because some
// may be down, empty or without a replica. A process whose last request got no
// response does the same: after a loss of power, the control processes that have
// restarted rebuild their tables from requests.
func (c *Client) Tick(now time.Time) []AddressedRequest {
	if now.Before(c.nextTickAt()) || len(c.controls) == 0 {
		return nil
	}
	c.nextSyncAt = now.Add(c.currentSyncInterval())
	c.controls = slices.DeleteFunc(c.controls, func(control *controlState) bool {
		return !control.configured && now.Sub(control.lastResponseAt) > learnedControlLifetime
	})
	startingRound := c.starting() && (!c.connected || c.startingRounds < maxStartingRounds)
	if startingRound {
		c.startingRounds++
	}
	if startingRound || c.lastContactedUnresponsive() {
		c.lastContacted = nil
		return c.syncRequests(now)
	}
	c.rotationIndex = (c.rotationIndex + 1) % len(c.controls)
	c.lastContacted, c.lastContactedAt = c.controls[c.rotationIndex], now
	return []AddressedRequest{c.newSyncRequest(now, c.lastContacted)}
}

// Deadline returns the time at which Tick or FetchSource must be called next.
func (c *Client) Deadline() time.Time {
	next := c.nextTickAt()
	if !c.nextFetchAt.IsZero() && c.nextFetchAt.Before(next) {
		return c.nextFetchAt
	}
	return next
}

// FetchSource returns a control process to fetch a newer desired state from. due is
// set if a control process has reported a newer version than that of this process,
// and the last fetch has ended or has taken longer than fetchTimeout. Among the
// control processes with a newer version, the one with the oldest fetch is selected.
func (c *Client) FetchSource(now time.Time) (from netip.Addr, due bool) {
	if now.Before(c.nextFetchAt) {
		return netip.Addr{}, false
	}
	var source *controlState
	for _, control := range c.controls {
		if control.desiredVersion <= c.desiredVersion {
			continue
		}
		if source == nil || control.lastFetchAt.Before(source.lastFetchAt) {
			source = control
		}
	}
	if source == nil {
		c.nextFetchAt = time.Time{}
		return netip.Addr{}, false
	}
	source.lastFetchAt, c.nextFetchAt = now, now.Add(fetchTimeout)
	return source.address, true
}

// PostponeFetch prevents another fetch for fetchTimeout.
//
// Load pattern: a desired state of many parts takes longer than fetchTimeout on a slow
// link, or if parts are lost. Each further fetch would fill the link with another copy.
func (c *Client) PostponeFetch(now time.Time) {
	c.nextFetchAt = now.Add(fetchTimeout)
}

// SyncResult is the effect of a sync response.
type SyncResult struct {
	// Changed is set if the table has changed.
	Changed bool
	// Requests lists the requests to send: to control processes that are new, the sender
	// included, or to all of them after a restart of one or after a raise of the process
	// incarnation.
	Requests []AddressedRequest
	// BecameComplete is set if the table is complete for the first time.
	BecameComplete bool
	// FirstResponse is set if this was the first response.
	FirstResponse bool
}

// HandleSyncResponse handles a response of a control process.
func (c *Client) HandleSyncResponse(now time.Time, from netip.Addr, response *SyncResponse) SyncResult {
	result := SyncResult{FirstResponse: !c.connected}
	if c.findControl(from) == nil {
		// A control process that has started announces itself.
		result.Requests = append(result.Requests, c.newSyncRequest(now, c.addControl(now, from)))
	}
	control := c.findControl(from)
	control.lastResponseAt, control.withoutRecords = now, response.To == noRecordsPosition
	c.connected = true
	if control.epoch != 0 && control.epoch != response.Epoch {
		// The control process has restarted. Others may have restarted as well and have no
		// record of this process.
		result.Requests = c.syncRequests(now)
	}
	for _, address := range response.Controls {
		if c.findControl(address) == nil && len(c.controls) < maxControlProcesses {
			result.Requests = append(result.Requests, c.newSyncRequest(now, c.addControl(now, address)))
		}
	}
	if response.Leader.IsValid() {
		c.leader = response.Leader
	}
	control.desiredVersion = max(control.desiredVersion, response.Version)
	wasComplete := c.complete
	result.Changed = c.mergeRecords(now, control, response)
	result.BecameComplete = c.complete && !wasComplete
	if response.ProcessIncarnation > c.cfg.Self.ProcessIncarnation {
		// The clock of this VM is behind the clock that a previous process used.
		result.Requests = c.PublishRecord(now, func(record *Record) { record.ProcessIncarnation = response.ProcessIncarnation + 1 })
	}
	return result
}

// mergeRecords adds all records of a response to the table, and its range of positions
// to those received from the control process.
func (c *Client) mergeRecords(now time.Time, control *controlState, response *SyncResponse) (changed bool) {
	for i := range response.Records {
		if response.Records[i].key() == c.cfg.Self.key() {
			continue
		}
		if c.table.Put(now, &response.Records[i]) {
			changed = true
		}
	}
	if response.Epoch != control.epoch {
		control.epoch, control.received = response.Epoch, receivedRanges{}
	}
	if control.received.add(positionRange{from: response.From, to: response.To, complete: response.Complete}) {
		c.complete = true
	}
	return changed
}

// Upstreams returns the entries of agents.
func (c *Client) Upstreams() []*Entry {
	var list []*Entry
	c.table.Entries(vm.RoleUpstream, func(entry *Entry) { list = append(list, entry) })
	return list
}
