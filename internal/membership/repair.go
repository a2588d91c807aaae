package membership

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// repairer is the state of the anti-entropy of one node.
type repairer struct {
	nextAt    time.Time
	crossAt   time.Time // next digest for the other zones
	seedAt    time.Time
	allowance allowance
}

// soon asks for another exchange without waiting for the interval.
func (r *repairer) soon(now time.Time) {
	if at := now.Add(syncStep); at.Before(r.nextAt) {
		r.nextAt = at
	}
}

// allBuckets asks for every bucket.
var allBuckets = func() []byte {
	b := make([]byte, bucketCount)
	for i := range b {
		b[i] = byte(i)
	}
	return b
}()

func (n *Node) digestMessage() *message {
	m := &message{Kind: kindDigest, Stamps: n.stamps()}
	for _, z := range n.zones {
		m.Digests = append(m.Digests, z.sum())
	}
	return m
}

func (n *Node) tickRepair(now time.Time, out *Output) {
	if now.Before(n.repair.nextAt) {
		return
	}
	n.repair.nextAt = now.Add(n.repairInterval(now))
	m := n.digestMessage()
	if to, ok := n.repairPeer(); ok {
		n.emit(out, to, m)
	}
	n.contactFailed(m, out)
	if n.delegateRank() < 0 || now.Before(n.repair.crossAt) {
		return
	}
	n.repair.crossAt = now.Add(digestInterval)
	for _, to := range n.counterparts() {
		n.emit(out, to.member.Address, m)
	}
	if now.Before(n.repair.seedAt) {
		return
	}
	// Both delegates that this zone knows elsewhere may be gone; the seeds do
	// not move.
	n.repair.seedAt = now.Add(seedInterval)
	if to, ok := n.randomSeed(); ok {
		n.emit(out, to, m)
	}
}

// repairInterval is shorter for a young process, which may meet only peers
// that know as little as itself.
func (n *Node) repairInterval(now time.Time) time.Duration {
	if now.Sub(n.startedAt) < youngAge {
		return youngInterval
	}
	return digestInterval
}

// repairPeer returns a member of the own zone, else a seed.
func (n *Node) repairPeer() (netip.AddrPort, bool) {
	peers := n.pick(nil, n.self.zone.live, 1, func(r *record) bool { return r != n.self })
	if len(peers) > 0 {
		return peers[0].member.Address, true
	}
	return n.randomSeed()
}

// contactFailed sends a digest to a member that is held for failed, so that
// the two sides of a healed partition find each other, and a process that restarts while
// no seed is reachable is found. The members of a zone share the work.
func (n *Node) contactFailed(m *message, out *Output) {
	if n.rng.IntN(len(n.self.zone.live)) >= failedContacts {
		return
	}
	if r := n.failedPeer(); r != nil {
		n.emit(out, r.member.Address, m)
	}
}

func (n *Node) failedPeer() *record {
	start := n.rng.IntN(bucketCount)
	for i := range bucketCount {
		for _, r := range n.self.zone.buckets[(start+i)%bucketCount] {
			if r.verdict == failed {
				return r
			}
		}
	}
	return nil
}

// answerDigest answers with the buckets of zones that differ. A zone that only
// the sender knows is asked for as a whole.
func (n *Node) answerDigest(now time.Time, from netip.AddrPort, m *message, out *Output) {
	theirs := make(map[uint32]uint64, len(m.Digests))
	replies := 0
	for i, d := range m.Digests {
		key := m.Stamps[i].Zone
		theirs[key] = d
		if n.zoneByKey(key) == nil && replies < digestReplies {
			replies++
			n.emit(out, from, &message{Kind: kindHave, Zone: key, Ask: allBuckets})
		}
	}
	if len(n.zones) == 0 {
		return
	}
	start := n.rng.IntN(len(n.zones))
	for i := range n.zones {
		z := n.zones[(start+i)%len(n.zones)]
		if d, known := theirs[z.key]; known && d == z.sum() {
			continue
		}
		if replies == digestReplies {
			n.repair.soon(now)
			return
		}
		replies++
		n.emit(out, from, &message{Kind: kindBuckets, Zone: z.key, Stamps: n.stamps(), Buckets: z.bucketDigests()})
	}
}

// answerBuckets says what this node has in the buckets that differ.
func (n *Node) answerBuckets(from netip.AddrPort, m *message, out *Output) {
	answer := &message{Kind: kindHave, Zone: m.Zone}
	z := n.zoneByKey(m.Zone)
	if z == nil {
		answer.Ask = allBuckets
		n.emit(out, from, answer)
		return
	}
	own := z.bucketDigests()
	start := n.rng.IntN(bucketCount)
	for i := range bucketCount {
		b := (start + i) % bucketCount
		at := b * bucketBytes
		if bytes.Equal(own[at:at+bucketBytes], m.Buckets[at:at+bucketBytes]) {
			continue
		}
		if len(answer.Have)+len(z.buckets[b]) > maxSummaries && len(answer.Ask) > 0 {
			break
		}
		answer.Ask = append(answer.Ask, byte(b))
		for _, r := range z.buckets[b] {
			if len(answer.Have) < maxSummaries {
				answer.Have = append(answer.Have, r.summary())
			}
		}
	}
	if len(answer.Ask) > 0 {
		n.emit(out, from, answer)
	}
}

// answerHave sends what the sender lacks and asks for what it has newer.
func (n *Node) answerHave(now time.Time, from netip.AddrPort, m *message, out *Output) {
	z := n.zoneByKey(m.Zone)
	have := make(map[uint64]summary, len(m.Have))
	var want []uint64
	for _, s := range m.Have {
		have[s.Hash] = s
		mine := n.records[s.Hash]
		unknown := mine == nil && s.Verdict < failed
		if unknown || mine != nil && mine != n.self && order(s, mine.summary()) > 0 {
			want = append(want, s.Hash)
		}
	}
	var send []*record
	if z != nil {
		send = missing(z, m.Ask, have)
	}
	n.emitRecords(now, from, send, want, out)
}

// missing returns the records of the asked buckets that are newer than what
// the sender has. It leaves out failed and left members that are unknown
// there: passing them on would keep them forever.
func missing(z *zoneState, ask []byte, have map[uint64]summary) []*record {
	var list []*record
	for _, b := range ask {
		if int(b) >= bucketCount {
			continue
		}
		for _, r := range z.buckets[b] {
			s, known := have[r.hash]
			if known && order(r.summary(), s) > 0 || !known && r.live() {
				list = append(list, r)
			}
		}
	}
	return list
}

// emitRecords sends records in as many messages as the allowance permits; the
// rest follows in the next exchange.
func (n *Node) emitRecords(now time.Time, to netip.AddrPort, records []*record, want []uint64, out *Output) {
	for packets := 0; packets < syncPackets && (len(records) > 0 || len(want) > 0); packets++ {
		if !n.repair.allowance.refill(now) {
			return
		}
		m := &message{Kind: kindRecords, Want: want}
		budget := recordBytes - len(want)*wantBytes
		want = nil
		var size int
		m.Records, size = takeWire(records, budget)
		records = records[len(m.Records):]
		n.emit(out, to, m)
		n.repair.allowance.spend(size + overheadBytes)
	}
}

func takeWire(records []*record, budget int) (taken []cbor.RawMessage, size int) {
	for _, r := range records {
		raw := r.wire()
		if size+len(raw) > budget {
			break
		}
		size += len(raw)
		taken = append(taken, raw)
	}
	return taken, size
}

// answerRecords sends what the other side asked for. As long as an exchange
// brings news, the next one follows soon.
func (n *Node) answerRecords(now time.Time, from netip.AddrPort, m *message, news int, out *Output) {
	if news > 0 {
		n.repair.soon(now)
	}
	var send []*record
	for _, hash := range m.Want {
		if r := n.records[hash]; r != nil {
			send = append(send, r)
		}
	}
	n.emitRecords(now, from, send, nil, out)
}
