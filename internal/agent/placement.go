package agent

import (
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// pendingTimeout bounds how long a placement counts that the chosen agent has
// not confirmed: its frame may be lost.
const pendingTimeout = time.Second

// placement is what the placer of a service knows about the members.
type placement struct {
	mu      sync.Mutex
	members map[vm.ID]*memberLoad
}

type memberLoad struct {
	last    peer.Load
	known   bool
	number  uint32
	pending []pendingPlacement
}

type pendingPlacement struct {
	number uint32
	at     time.Time
}

func newPlacement() *placement { return &placement{members: map[vm.ID]*memberLoad{}} }

// choice is the answer of the placer.
type choice struct {
	member int
	number uint32
}

func (p *placement) member(id vm.ID) *memberLoad {
	m, ok := p.members[id]
	if !ok {
		m = &memberLoad{}
		p.members[id] = m
	}
	return m
}

// update takes a load report. Reports that are older than the last one are
// ignored.
func (p *placement) update(l *peer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(l.VM)
	if m.known && l.Incarnation < m.last.Incarnation {
		return
	}
	if m.known && l.Incarnation == m.last.Incarnation && l.Sequence <= m.last.Sequence {
		return
	}
	m.last, m.known = *l, true
	m.confirm(l.Placed)
}

// confirm forgets the placements that the load report already contains.
func (m *memberLoad) confirm(placed uint32) {
	kept := m.pending[:0]
	for _, p := range m.pending {
		if int32(p.number-placed) > 0 {
			kept = append(kept, p)
		}
	}
	m.pending = kept
}

func (m *memberLoad) dropOld(now time.Time) {
	kept := m.pending[:0]
	for _, p := range m.pending {
		if now.Sub(p.at) < pendingTimeout {
			kept = append(kept, p)
		}
	}
	m.pending = kept
}

// busy estimates the busy slots of a member.
func (m *memberLoad) busy() int { return m.last.Busy + m.last.Queued + len(m.pending) }

// choose returns the least busy member that takes work, or -1.
func (p *placement) choose(a *arrival, self uint64, own peer.Load) choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestBusy := -1, 0
	svc := a.svc
	home := svc.Home(a.hash)
	for i := range svc.Members {
		u := &svc.Members[i]
		if !u.TakesWork() {
			continue
		}
		m := p.member(u.VM)
		m.dropOld(a.now)
		busy := m.busy()
		if u.Hash == self {
			busy = own.Busy + own.Queued
		}
		if best < 0 || busy < bestBusy || (busy == bestBusy && i == home) {
			best, bestBusy = i, busy
		}
	}
	if best < 0 {
		return choice{member: -1}
	}
	return choice{member: best, number: p.place(a.now, svc.Members[best].VM)}
}

func (p *placement) place(now time.Time, id vm.ID) uint32 {
	m := p.member(id)
	m.number++
	m.pending = append(m.pending, pendingPlacement{number: m.number, at: now})
	return m.number
}
