package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// maxRecordsPerResponse keeps a response within one datagram of about 1,200 bytes.
	// A record takes about 90.
	maxRecordsPerResponse = 10
	// subscriberLifetime is how long changes are pushed to a process after its last
	// request.
	subscriberLifetime = 5 * time.Second
	// minPushInterval is the least time between two pushes of changes. When many
	// processes start at once, their records are pushed together, ten in a datagram.
	minPushInterval = 20 * time.Millisecond
	// minResendInterval is the least time between two times that the same records are
	// sent to a subscriber. Until then they count as on their way: a control process that
	// is busy or has a full link takes longer to send a large table than a starting
	// balancer waits for its next request.
	minResendInterval = 400 * time.Millisecond
	// expireInterval is how often the table is checked for processes without recent
	// records.
	expireInterval = time.Second
)

// ServerConfig holds the settings of a server.
type ServerConfig struct {
	// Epoch identifies the run of the server.
	Epoch uint64
	// Self is the record of the control process.
	Self Record
	// StartedAt is when the server began to listen.
	StartedAt time.Time
	// AlwaysServesRecords is set if the server must serve records whatever its link
	// carries: it runs a replica, so that its VM was chosen to have the resources.
	AlwaysServesRecords bool
	// LinkBytesPerSecond is the rate of the VM's link, or zero if it is unknown.
	LinkBytesPerSecond float64
}

// Server handles sync requests for one control process.
type Server struct {
	cfg         ServerConfig
	table       *Table
	subscribers map[netip.Addr]*subscriber
	// nextExpiry is when the table is next checked for expired entries.
	nextExpiry time.Time
	// lastPushAt is when changes were last pushed. nextPushAt is when a deferred push
	// is due, or zero.
	lastPushAt, nextPushAt time.Time
	complete               bool
	// Version and Leader are copied into each response.
	Version uint64
	Leader  netip.Addr
}

// subscriber is a process that gets changes pushed. position is the position of the
// table that was last sent to it, sentAt the last time that records were sent because
// it had not received them.
type subscriber struct {
	role               vm.Role
	processIncarnation uint64
	position           uint64
	sentAt             time.Time
	lastRequestAt      time.Time
}

// startOfResponse returns the position after which records are sent to the subscriber.
// received is the position up to which it has received them.
func (s *subscriber) startOfResponse(now time.Time, received uint64) uint64 {
	if received >= s.position || now.Sub(s.sentAt) >= minResendInterval {
		s.sentAt = now
		return received
	}
	return s.position
}

// AddressedResponse is a SyncResponse with the role and address of its destination.
type AddressedResponse struct {
	Role         vm.Role
	To           netip.Addr
	SyncResponse *SyncResponse
}

// NewServer returns a server whose table has only its own record.
func NewServer(cfg ServerConfig) *Server {
	now := cfg.StartedAt
	s := &Server{cfg: cfg, table: NewTable(), subscribers: map[netip.Addr]*subscriber{}, nextExpiry: now.Add(expireInterval)}
	s.table.Put(now, &cfg.Self)
	return s
}

// Table returns the table of the server.
func (s *Server) Table() *Table { return s.table }

// HandleSyncRequest stores the record of the sender. It returns the responses to the
// sender and, if the record has changed the table, the pushes to subscribers.
func (s *Server) HandleSyncRequest(now time.Time, request *SyncRequest) []AddressedResponse {
	becameComplete := s.updateComplete(now)
	changed := s.table.Put(now, &request.Self)
	from := request.Position
	if request.Epoch != s.cfg.Epoch {
		from = 0
	}
	var responses []AddressedResponse
	if !s.servesRecords() {
		request.Subscribe = false
		delete(s.subscribers, request.Self.Address)
	}
	if request.Subscribe && request.Self.Role == vm.RoleBalancer {
		subscription := s.subscribers[request.Self.Address]
		if subscription == nil || subscription.processIncarnation != request.Self.ProcessIncarnation {
			subscription = &subscriber{role: request.Self.Role, processIncarnation: request.Self.ProcessIncarnation}
			s.subscribers[request.Self.Address] = subscription
		}
		from, subscription.lastRequestAt = subscription.startOfResponse(now, from), now
	}
	if request.Subscribe {
		responses = s.responsesSince(request.Self.Role, request.Self.Address, from)
	} else {
		status := s.statusResponse(s.table.position, s.table.position)
		if !s.servesRecords() {
			status.From, status.To, status.Complete = noRecordsPosition, noRecordsPosition, false
		}
		responses = append(responses, AddressedResponse{Role: request.Self.Role, To: request.Self.Address, SyncResponse: status})
	}
	for i := range responses {
		responses[i].SyncResponse.ProcessIncarnation = s.table.ProcessIncarnation(&request.Self)
	}
	if subscription := s.subscribers[request.Self.Address]; subscription != nil && request.Subscribe {
		subscription.position = s.table.position
	}
	if changed {
		responses = append(responses, s.pushOrDefer(now)...)
	}
	if becameComplete {
		responses = append(responses, s.StatusUpdates(now)...)
	}
	return responses
}

// Merge stores the records of another control process. complete is set if that
// process has sent a complete table. Merge returns the pushes to subscribers.
func (s *Server) Merge(now time.Time, response *SyncResponse, complete bool) []AddressedResponse {
	becameComplete := complete && !s.complete
	s.complete = s.complete || complete
	changed := false
	for i := range response.Records {
		if s.table.AddRelayed(now, &response.Records[i]) {
			changed = true
		}
	}
	var responses []AddressedResponse
	if changed {
		responses = s.pushOrDefer(now)
	}
	if becameComplete {
		responses = append(responses, s.StatusUpdates(now)...)
	}
	return responses
}

// completeAt returns the time by which every running process must have sent a
// request. This is completeAfter the start, or earlier if there are few control
// processes, because requests go to them in turn.
func (s *Server) completeAt() time.Time {
	controls := 0
	s.table.Entries(vm.RoleControl, func(*Entry) { controls++ })
	return s.cfg.StartedAt.Add(min(syncInterval*time.Duration(controls+1), completeAfter))
}

// updateComplete sets complete once completeAt has passed. It reports whether complete
// was set by this call.
func (s *Server) updateComplete(now time.Time) bool {
	if s.complete || !now.After(s.completeAt()) {
		return false
	}
	s.complete = true
	return true
}

// pushOrDefer returns the changes that subscribers do not have. Within
// minPushInterval of the last push it defers them to the next push instead.
func (s *Server) pushOrDefer(now time.Time) []AddressedResponse {
	if earliest := s.lastPushAt.Add(minPushInterval); now.Before(earliest) {
		s.nextPushAt = earliest
		return nil
	}
	return s.PendingUpdates(now)
}

// PendingUpdates returns the changes that subscribers do not have. It removes
// subscribers that have sent no request within subscriberLifetime.
func (s *Server) PendingUpdates(now time.Time) []AddressedResponse {
	s.nextPushAt = time.Time{}
	var responses []AddressedResponse
	for address, subscription := range s.subscribers {
		if now.Sub(subscription.lastRequestAt) > subscriberLifetime {
			delete(s.subscribers, address)
			continue
		}
		if subscription.position < s.table.position {
			responses = append(responses, s.responsesSince(subscription.role, address, subscription.position)...)
			subscription.position = s.table.position
		}
	}
	if len(responses) > 0 {
		s.lastPushAt = now
	}
	return responses
}

// StatusUpdates returns a response without records for every subscriber. It reports
// a new version, or that the table has become complete, without delay.
func (s *Server) StatusUpdates(now time.Time) []AddressedResponse {
	var responses []AddressedResponse
	for address, subscription := range s.subscribers {
		if now.Sub(subscription.lastRequestAt) <= subscriberLifetime {
			responses = append(responses, AddressedResponse{Role: subscription.role, To: address, SyncResponse: s.statusResponse(subscription.position, subscription.position)})
		}
	}
	return responses
}

// Status returns a response without records, for processes that have sent no request.
func (s *Server) Status() *SyncResponse { return s.statusResponse(s.table.position, s.table.position) }

// Tick expires entries and returns deferred pushes. It notifies subscribers when the
// table becomes complete, because their holder lookups depend on it.
func (s *Server) Tick(now time.Time) []AddressedResponse {
	becameComplete := s.updateComplete(now)
	var responses []AddressedResponse
	if !now.Before(s.nextExpiry) {
		s.nextExpiry = now.Add(expireInterval)
		s.cfg.Self.Revision++
		s.table.Put(now, &s.cfg.Self)
		s.table.Expire(now)
		responses = s.PendingUpdates(now)
	} else if !s.nextPushAt.IsZero() && !now.Before(s.nextPushAt) {
		responses = s.PendingUpdates(now)
	}
	if becameComplete {
		responses = append(responses, s.StatusUpdates(now)...)
	}
	return responses
}

// Deadline returns the time at which Tick must be called next.
func (s *Server) Deadline() time.Time {
	next := s.nextExpiry
	if completionCheckAt := s.completeAt().Add(time.Millisecond); !s.complete && completionCheckAt.Before(next) {
		next = completionCheckAt
	}
	if !s.nextPushAt.IsZero() && s.nextPushAt.Before(next) {
		next = s.nextPushAt
	}
	return next
}

// responsesSince returns the changes after a position as one or more responses.
func (s *Server) responsesSince(role vm.Role, to netip.Addr, from uint64) []AddressedResponse {
	var changed []*Entry
	for _, entry := range s.table.entries {
		if entry.position > from && entry.Role != vm.RoleControl {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, func(a, b *Entry) int { return cmp.Compare(a.position, b.position) })
	var responses []AddressedResponse
	for len(changed) > maxRecordsPerResponse {
		chunk := changed[:maxRecordsPerResponse]
		changed = changed[maxRecordsPerResponse:]
		end := chunk[len(chunk)-1].position
		responses = append(responses, AddressedResponse{Role: role, To: to, SyncResponse: s.recordsResponse(chunk, from, end)})
		responses[len(responses)-1].SyncResponse.Complete = false
		from = end
	}
	return append(responses, AddressedResponse{Role: role, To: to, SyncResponse: s.recordsResponse(changed, from, s.table.position)})
}

// recordsResponse returns a response with the records of the given entries.
func (s *Server) recordsResponse(entries []*Entry, from, to uint64) *SyncResponse {
	response := s.statusResponse(from, to)
	for _, entry := range entries {
		response.Records = append(response.Records, entry.Record)
	}
	return response
}

// statusResponse returns a response without records.
func (s *Server) statusResponse(from, to uint64) *SyncResponse {
	response := &SyncResponse{Epoch: s.cfg.Epoch, From: from, To: to, Leader: s.Leader, Version: s.Version, Complete: s.complete}
	s.table.Entries(vm.RoleControl, func(entry *Entry) { response.Controls = append(response.Controls, entry.Address) })
	slices.SortFunc(response.Controls, netip.Addr.Compare)
	return response
}
