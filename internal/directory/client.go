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
	// askInterval is how often one of the control processes is asked, in turn.
	// With three of them each is asked every 1.5 s, half of the time in which a
	// change of the desired state has to be in force.
	askInterval = 500 * time.Millisecond
	// completeAfter is when every process that runs has asked a control process
	// that has just started: a process asks within askInterval, and all control
	// processes one askInterval later if it got no answer, or at once if the
	// answer shows that the control process has started again. joinInterval is
	// for an answer on its way.
	completeAfter = 2*askInterval + joinInterval
	// joinInterval is used until the first answer, and by a balancer until it has
	// a desired state.
	joinInterval = 150 * time.Millisecond
	// fetchInterval is how long a fetch of a desired state may take before another
	// control process is asked: some round trips. On a link that loses half of
	// the packets a state of three of them then arrives within two seconds in 9
	// of 10 cases.
	fetchInterval = 100 * time.Millisecond
	// maxControls bounds the control processes that are asked.
	maxControls = 16
	// subscriptions is from how many control processes a balancer gets changes. Each
	// change costs a datagram for each balancer and subscription; with three, two may
	// be lost at once.
	subscriptions = 3
	// subscriptionTimeout is after which time without a word another control process
	// takes the place of one: they send something each expireInterval.
	subscriptionTimeout = 2500 * time.Millisecond
	// controlLifetime is how long a control process that does not answer is
	// asked, unless the settings name it.
	controlLifetime = 30 * time.Second
)

// ClientConfig describes a process that announces itself.
type ClientConfig struct {
	Self Record
	// Seeds are the control processes that the settings name.
	Seeds []netip.Addr
	// Subscribe asks for the records of others.
	Subscribe bool
	Random    *rand.Rand
}

// Client announces one process and follows the tables of the control
// processes.
type Client struct {
	cfg      ClientConfig
	table    *Table
	controls []*control
	next     int
	askAt    time.Time
	// asked is the control process that was asked last, at askedAt.
	asked    *control
	askedAt  time.Time
	version  uint64
	fetchAt  time.Time
	leader   netip.Addr
	synced   bool
	complete bool
}

// control is what is known about one control process.
type control struct {
	address  netip.Addr
	seed     bool
	epoch    uint64
	position uint64
	heardAt  time.Time
	// version is that of its desired state, fetchedAt when it was asked for it.
	version   uint64
	fetchedAt time.Time
}

// AddressedRequest is a SyncRequest for one control process.
type AddressedRequest struct {
	To          netip.Addr
	SyncRequest SyncRequest
}

// NewClient returns a client that asks the seeds first.
func NewClient(cfg ClientConfig, now time.Time) *Client {
	c := &Client{cfg: cfg, table: NewTable(), askAt: now}
	c.SetSeeds(now, cfg.Seeds)
	if len(c.controls) > 0 {
		c.next = cfg.Random.IntN(len(c.controls))
	}
	return c
}

// Table returns what is known.
func (c *Client) Table() *Table { return c.table }

// Connected reports whether a control process has answered.
func (c *Client) Connected() bool { return c.synced }

// Complete reports whether the table has every process that is running: a
// control process whose table is complete has told all of it.
func (c *Client) Complete() bool { return c.complete }

// Leader returns the control process that leads, if it is known.
func (c *Client) Leader() netip.Addr { return c.leader }

// Self returns the own record.
func (c *Client) Self() Record { return c.cfg.Self }

// SetVersion tells which desired state the process has.
func (c *Client) SetVersion(version uint64) { c.version, c.fetchAt = version, time.Time{} }

// SetSeeds replaces the control processes that the settings name. Others that
// were learned stay for as long as they answer.
func (c *Client) SetSeeds(now time.Time, seeds []netip.Addr) {
	for _, k := range c.controls {
		k.seed = slices.Contains(seeds, k.address)
	}
	for _, address := range seeds {
		c.learn(now, address).seed = true
	}
}

func (c *Client) known(address netip.Addr) *control {
	for _, k := range c.controls {
		if k.address == address {
			return k
		}
	}
	return nil
}

func (c *Client) learn(now time.Time, address netip.Addr) *control {
	if k := c.known(address); k != nil {
		return k
	}
	k := &control{address: address, heardAt: now}
	c.controls = append(c.controls, k)
	return k
}

// Announce replaces the content of the own record and returns what tells all
// control processes.
func (c *Client) Announce(now time.Time, update func(*Record)) []AddressedRequest {
	update(&c.cfg.Self)
	c.cfg.Self.Revision++
	c.askAt = now.Add(c.interval())
	return c.requests(now)
}

// requests asks all control processes.
func (c *Client) requests(now time.Time) []AddressedRequest {
	requests := make([]AddressedRequest, 0, len(c.controls))
	for _, k := range c.controls {
		requests = append(requests, c.request(now, k))
	}
	return requests
}

// Status returns the status that the process announces.
func (c *Client) Status() view.Status { return c.cfg.Self.Status }

func (c *Client) request(now time.Time, k *control) AddressedRequest {
	return AddressedRequest{To: k.address, SyncRequest: SyncRequest{
		Self: c.cfg.Self, Epoch: k.epoch, Position: k.position, Version: c.version, Subscribe: c.subscribes(now, k),
	}}
}

// subscribes reports whether the records of others are asked for at a control
// process. A balancer has a few that it hears from, chosen by rank, so that balancers
// spread over them; control processes exchange records with all.
func (c *Client) subscribes(now time.Time, k *control) bool {
	if !c.cfg.Subscribe || c.cfg.Self.Role != vm.RoleBalancer {
		return c.cfg.Subscribe
	}
	before := 0
	for _, other := range c.controls {
		if other != k && now.Sub(other.heardAt) < subscriptionTimeout && c.rank(other) > c.rank(k) {
			before++
		}
	}
	return before < subscriptions
}

// rank orders the control processes for this process.
func (c *Client) rank(k *control) uint64 {
	self, other := c.cfg.Self.Address.As16(), k.address.As16()
	return xxhash.Sum64(append(self[:], other[:]...))
}

// starting reports whether the process lacks what it needs to serve.
func (c *Client) starting() bool {
	return !c.synced || (c.cfg.Subscribe && c.cfg.Self.Role == vm.RoleBalancer && c.version == 0)
}

func (c *Client) interval() time.Duration {
	if c.starting() {
		return joinInterval
	}
	return askInterval
}

// unanswered reports whether the control process that was asked last is silent.
func (c *Client) unanswered() bool { return c.asked != nil && c.asked.heardAt.Before(c.askedAt) }

// Tick asks the next control process if it is time. A process that is starting
// asks all of them: some may be down, blank or without a replica. So does one
// that got no answer: after a loss of power those that are back rebuild their
// tables from what they are told.
func (c *Client) Tick(now time.Time) []AddressedRequest {
	if now.Before(c.askAt) || len(c.controls) == 0 {
		return nil
	}
	c.askAt = now.Add(c.interval())
	c.controls = slices.DeleteFunc(c.controls, func(k *control) bool {
		return !k.seed && now.Sub(k.heardAt) > controlLifetime
	})
	if c.starting() || c.unanswered() {
		c.asked = nil
		return c.requests(now)
	}
	c.next = (c.next + 1) % len(c.controls)
	c.asked, c.askedAt = c.controls[c.next], now
	return []AddressedRequest{c.request(now, c.asked)}
}

// Deadline returns when Tick has something to do next.
func (c *Client) Deadline() time.Time {
	if !c.fetchAt.IsZero() && c.fetchAt.Before(c.askAt) {
		return c.fetchAt
	}
	return c.askAt
}

// FetchSource returns the version to fetch and a control process that may have it, if
// a fetch is due: one has told of a version above that of the process, and the
// last fetch, if any, was not answered within fetchInterval. Control processes
// are asked in turn, the best informed ones first.
func (c *Client) FetchSource(now time.Time) (from netip.Addr, due bool) {
	if now.Before(c.fetchAt) {
		return netip.Addr{}, false
	}
	var best *control
	for _, k := range c.controls {
		if k.version <= c.version {
			continue
		}
		if best == nil || k.fetchedAt.Before(best.fetchedAt) {
			best = k
		}
	}
	if best == nil {
		c.fetchAt = time.Time{}
		return netip.Addr{}, false
	}
	best.fetchedAt, c.fetchAt = now, now.Add(fetchInterval)
	return best.address, true
}

// SyncResult is what an answer told.
type SyncResult struct {
	// Changed: the table has changed.
	Changed bool
	// Requests tell control processes that are new or have started again, or all
	// of them about a raised process number.
	Requests []AddressedRequest
	// BecameComplete: the table is complete for the first time.
	BecameComplete bool
	// FirstResponse: this was the first answer.
	FirstResponse bool
}

// SyncResponse takes an answer of a control process.
func (c *Client) SyncResponse(now time.Time, from netip.Addr, a *SyncResponse) SyncResult {
	news := SyncResult{FirstResponse: !c.synced}
	k := c.learn(now, from)
	k.heardAt = now
	c.synced = true
	if k.epoch != 0 && k.epoch != a.Epoch {
		// Others may have started again as well, and none of them knows this
		// process.
		news.Requests = c.requests(now)
	}
	for _, address := range a.Controls {
		if c.known(address) == nil && len(c.controls) < maxControls {
			news.Requests = append(news.Requests, c.request(now, c.learn(now, address)))
		}
	}
	if a.Leader.IsValid() {
		c.leader = a.Leader
	}
	k.version = max(k.version, a.Version)
	before := c.complete
	news.Changed = c.take(now, k, a)
	news.BecameComplete = c.complete && !before
	if a.ProcessIncarnation > c.cfg.Self.ProcessIncarnation {
		// The clock of this VM is behind that of an earlier process.
		news.Requests = c.Announce(now, func(r *Record) { r.ProcessIncarnation = a.ProcessIncarnation + 1 })
	}
	return news
}

// take merges the records of an answer. An answer that does not continue the
// position reached so far still brings news, but leaves the position.
func (c *Client) take(now time.Time, k *control, a *SyncResponse) (changed bool) {
	for i := range a.Records {
		if a.Records[i].key() == c.cfg.Self.key() {
			continue
		}
		if c.table.Put(now, &a.Records[i]) {
			changed = true
		}
	}
	if a.Epoch != k.epoch {
		k.epoch, k.position = a.Epoch, 0
	}
	if a.From <= k.position && a.To >= k.position {
		k.position = a.To
		if a.Complete {
			c.complete = true
		}
	}
	return changed
}

// Upstreams returns the records of agents.
func (c *Client) Upstreams() []*Entry {
	var list []*Entry
	c.table.Entries(vm.RoleUpstream, func(e *Entry) { list = append(list, e) })
	return list
}
