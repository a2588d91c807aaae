package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// maxAnswerRecords keeps an answer within one datagram of about 1,200
	// bytes; a record takes about 90.
	maxAnswerRecords = 10
	// subscriberLifetime is how long a process that has not asked gets changes.
	subscriberLifetime = 5 * time.Second
	// pushInterval is the least time between two pushes of changes: when many
	// processes start at once, their records go together, ten in a datagram.
	pushInterval = 20 * time.Millisecond
	// expireInterval is how often silent processes are looked for.
	expireInterval = time.Second
)

// ServerConfig describes a control process.
type ServerConfig struct {
	// Epoch tells lives of the server apart.
	Epoch uint64
	// Self is the own record.
	Self Record
	// Started is when the server began to listen.
	Started time.Time
}

// Server answers for one control process.
type Server struct {
	cfg         ServerConfig
	table       *Table
	subscribers map[netip.Addr]*subscriber
	expireAt    time.Time
	// pushedAt is when changes were pushed last, pushAt when the next push is due.
	pushedAt, pushAt time.Time
	complete         bool
	// Version and Leader are told in each answer.
	Version uint64
	Leader  netip.Addr
}

type subscriber struct {
	role     vm.Role
	position uint64
	heardAt  time.Time
}

// AddressedResponse is an answer for one process.
type AddressedResponse struct {
	Role         vm.Role
	To           netip.Addr
	SyncResponse *SyncResponse
}

// NewServer returns a server that knows itself only.
func NewServer(cfg ServerConfig) *Server {
	now := cfg.Started
	s := &Server{cfg: cfg, table: NewTable(), subscribers: map[netip.Addr]*subscriber{}, expireAt: now.Add(expireInterval)}
	s.table.Put(now, &cfg.Self)
	return s
}

// Table returns what is known.
func (s *Server) Table() *Table { return s.table }

// SyncRequest takes the record of a process and returns the answers to it and, if the
// record was new, those for all subscribers.
func (s *Server) SyncRequest(now time.Time, a *SyncRequest) []AddressedResponse {
	completed := s.review(now)
	changed := s.table.Put(now, &a.Self)
	from := a.Position
	if a.Epoch != s.cfg.Epoch {
		from = 0
	}
	var sends []AddressedResponse
	if a.Subscribe && a.Self.Role == vm.RoleBalancer {
		sub := s.subscribers[a.Self.Address]
		if sub == nil {
			sub = &subscriber{role: a.Self.Role}
			s.subscribers[a.Self.Address] = sub
		}
		sub.position, sub.heardAt = from, now
	}
	if a.Subscribe {
		sends = s.answers(a.Self.Role, a.Self.Address, from)
	} else {
		sends = append(sends, AddressedResponse{Role: a.Self.Role, To: a.Self.Address, SyncResponse: s.plain(s.table.position, s.table.position)})
	}
	for i := range sends {
		sends[i].SyncResponse.ProcessIncarnation = s.table.Known(&a.Self)
	}
	if sub := s.subscribers[a.Self.Address]; sub != nil && a.Subscribe {
		sub.position = s.table.position
	}
	if changed {
		sends = append(sends, s.push(now)...)
	}
	if completed {
		sends = append(sends, s.StatusUpdates(now)...)
	}
	return sends
}

// Merge takes over what another control process has told. complete says that it
// has told a complete table.
func (s *Server) Merge(now time.Time, a *SyncResponse, complete bool) []AddressedResponse {
	completed := complete && !s.complete
	s.complete = s.complete || complete
	changed := false
	for i := range a.Records {
		if s.table.Add(now, &a.Records[i]) {
			changed = true
		}
	}
	var sends []AddressedResponse
	if changed {
		sends = s.push(now)
	}
	if completed {
		sends = append(sends, s.StatusUpdates(now)...)
	}
	return sends
}

// completeAt is when every process must have asked once: completeAfter the start,
// or earlier if there are few control processes, which are asked in turn.
func (s *Server) completeAt() time.Time {
	controls := 0
	s.table.Entries(vm.RoleControl, func(*Entry) { controls++ })
	return s.cfg.Started.Add(min(askInterval*time.Duration(controls+1), completeAfter))
}

// review declares the table complete if it is time, and reports whether that is
// new.
func (s *Server) review(now time.Time) bool {
	if s.complete || !now.After(s.completeAt()) {
		return false
	}
	s.complete = true
	return true
}

// push returns what subscribers do not have yet, or plans it if the last push was a
// short while ago.
func (s *Server) push(now time.Time) []AddressedResponse {
	if at := s.pushedAt.Add(pushInterval); now.Before(at) {
		s.pushAt = at
		return nil
	}
	return s.PendingUpdates(now)
}

// PendingUpdates returns what subscribers do not have yet.
func (s *Server) PendingUpdates(now time.Time) []AddressedResponse {
	s.pushAt = time.Time{}
	var sends []AddressedResponse
	for address, sub := range s.subscribers {
		if now.Sub(sub.heardAt) > subscriberLifetime {
			delete(s.subscribers, address)
			continue
		}
		if sub.position < s.table.position {
			sends = append(sends, s.answers(sub.role, address, sub.position)...)
			sub.position = s.table.position
		}
	}
	if len(sends) > 0 {
		s.pushedAt = now
	}
	return sends
}

// StatusUpdates returns an answer without records for every subscriber, so that it
// learns of a new version, or that the table is complete, at once.
func (s *Server) StatusUpdates(now time.Time) []AddressedResponse {
	var sends []AddressedResponse
	for address, sub := range s.subscribers {
		if now.Sub(sub.heardAt) <= subscriberLifetime {
			sends = append(sends, AddressedResponse{Role: sub.role, To: address, SyncResponse: s.plain(sub.position, sub.position)})
		}
	}
	return sends
}

// Tick looks for silent processes, and tells subscribers when the table is
// complete: their searches wait for it.
func (s *Server) Tick(now time.Time) []AddressedResponse {
	completed := s.review(now)
	var sends []AddressedResponse
	if !now.Before(s.expireAt) {
		s.expireAt = now.Add(expireInterval)
		s.cfg.Self.Revision++
		s.table.Put(now, &s.cfg.Self)
		s.table.Expire(now)
		sends = s.PendingUpdates(now)
	} else if !s.pushAt.IsZero() && !now.Before(s.pushAt) {
		sends = s.PendingUpdates(now)
	}
	if completed {
		sends = append(sends, s.StatusUpdates(now)...)
	}
	return sends
}

// Deadline returns when Tick has something to do next.
func (s *Server) Deadline() time.Time {
	next := s.expireAt
	if at := s.completeAt().Add(time.Millisecond); !s.complete && at.Before(next) {
		next = at
	}
	if !s.pushAt.IsZero() && s.pushAt.Before(next) {
		next = s.pushAt
	}
	return next
}

// answers splits the changes after a position into messages.
func (s *Server) answers(role vm.Role, to netip.Addr, from uint64) []AddressedResponse {
	var changed []*Entry
	for _, e := range s.table.entries {
		if e.position > from && e.Role != vm.RoleControl {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *Entry) int { return cmp.Compare(a.position, b.position) })
	var sends []AddressedResponse
	for len(changed) > maxAnswerRecords {
		part := changed[:maxAnswerRecords]
		changed = changed[maxAnswerRecords:]
		end := part[len(part)-1].position
		sends = append(sends, AddressedResponse{Role: role, To: to, SyncResponse: s.fill(part, from, end)})
		sends[len(sends)-1].SyncResponse.Complete = false
		from = end
	}
	return append(sends, AddressedResponse{Role: role, To: to, SyncResponse: s.fill(changed, from, s.table.position)})
}

func (s *Server) fill(entries []*Entry, from, to uint64) *SyncResponse {
	a := s.plain(from, to)
	for _, e := range entries {
		a.Records = append(a.Records, e.Record)
	}
	return a
}

func (s *Server) plain(from, to uint64) *SyncResponse {
	a := &SyncResponse{Epoch: s.cfg.Epoch, From: from, To: to, Leader: s.Leader, Version: s.Version, Complete: s.complete}
	s.table.Entries(vm.RoleControl, func(e *Entry) { a.Controls = append(a.Controls, e.Address) })
	slices.SortFunc(a.Controls, netip.Addr.Compare)
	return a
}
