package membership

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// antiEntropyState holds the timers and the rate limit of anti-entropy. An exchange
// has four steps: zone digests; bucket digests of a zone that differs; versions of
// the records in buckets that differ; records.
type antiEntropyState struct {
	nextExchangeAt  time.Time
	nextCrossZoneAt time.Time // next digests for the other zones
	nextSeedAt      time.Time
	limiter         tokenBucket
}

// scheduleFollowUp schedules another exchange after followUpExchangeDelay.
func (s *antiEntropyState) scheduleFollowUp(now time.Time) {
	if at := now.Add(followUpExchangeDelay); at.Before(s.nextExchangeAt) {
		s.nextExchangeAt = at
	}
}

// allBuckets lists every bucket number, for message.RequestedBuckets.
var allBuckets = func() []byte {
	b := make([]byte, bucketCount)
	for i := range b {
		b[i] = byte(i)
	}
	return b
}()

func (n *Node) zoneDigestsMessage() *message {
	m := &message{Kind: kindZoneDigests, ZoneHeartbeats: n.zoneHeartbeats()}
	for _, z := range n.zones {
		m.ZoneDigests = append(m.ZoneDigests, z.digest())
	}
	return m
}

// startExchangeIfDue sends zone digests to a peer in the local zone. Delegates also
// send them to the other zones and to a seed.
func (n *Node) startExchangeIfDue(now time.Time, out *Output) {
	if now.Before(n.antiEntropy.nextExchangeAt) {
		return
	}
	n.antiEntropy.nextExchangeAt = now.Add(n.nextExchangeDelay(now))
	m := n.zoneDigestsMessage()
	if to, ok := n.randomExchangePeer(); ok {
		n.appendMessage(out, to, m)
	}
	n.sendToFailedMember(m, out)
	if n.ownDelegateRank() < 0 || now.Before(n.antiEntropy.nextCrossZoneAt) {
		return
	}
	n.antiEntropy.nextCrossZoneAt = now.Add(exchangeInterval)
	for _, to := range n.counterpartDelegates() {
		n.appendMessage(out, to.member.Address, m)
	}
	if now.Before(n.antiEntropy.nextSeedAt) {
		return
	}
	// Both delegates recorded for another zone may have failed or departed. The
	// addresses of seeds stay the same.
	n.antiEntropy.nextSeedAt = now.Add(seedExchangeInterval)
	if to, ok := n.randomSeed(); ok {
		n.appendMessage(out, to, m)
	}
}

// nextExchangeDelay returns the time to the next exchange. It is shorter during
// startupPeriod, when the peers may have as few records as this process.
func (n *Node) nextExchangeDelay(now time.Time) time.Duration {
	if now.Sub(n.startedAt) < startupPeriod {
		return startupExchangeInterval
	}
	return exchangeInterval
}

// randomExchangePeer returns a random member of the local zone. If there is none, it
// returns a seed.
func (n *Node) randomExchangePeer() (netip.AddrPort, bool) {
	peers := n.appendRandomMembers(nil, n.self.zone.activeMembers, 1, func(r *memberRecord) bool { return r != n.self })
	if len(peers) > 0 {
		return peers[0].member.Address, true
	}
	return n.randomSeed()
}

// sendToFailedMember sends zone digests to a failed member of the local zone. This
// reconnects the two sides of a partition after it heals. It also reaches a
// process that restarted while no seed was reachable. Each member does this with
// a probability that keeps the rate of the whole zone at
// failedContactsPerInterval.
func (n *Node) sendToFailedMember(m *message, out *Output) {
	if n.rng.IntN(len(n.self.zone.activeMembers)) >= failedContactsPerInterval {
		return
	}
	if r := n.randomFailedMember(); r != nil {
		n.appendMessage(out, r.member.Address, m)
	}
}

// randomFailedMember returns a failed member of the local zone, or nil.
func (n *Node) randomFailedMember() *memberRecord {
	start := n.rng.IntN(bucketCount)
	for i := range bucketCount {
		for _, r := range n.self.zone.buckets[(start+i)%bucketCount] {
			if r.liveness == failed {
				return r
			}
		}
	}
	return nil
}

// handleZoneDigests responds with the bucket digests of zones whose digests differ.
// For a zone of which it has no record, it requests all buckets.
func (n *Node) handleZoneDigests(now time.Time, from netip.AddrPort, m *message, out *Output) {
	senderDigests := make(map[uint32]uint64, len(m.ZoneDigests))
	zoneResponses := 0
	for i, digest := range m.ZoneDigests {
		key := m.ZoneHeartbeats[i].ZoneKey
		senderDigests[key] = digest
		if n.zoneByKey(key) == nil && zoneResponses < maxZonesPerExchange {
			zoneResponses++
			n.appendMessage(out, from, &message{Kind: kindRecordVersions, ZoneKey: key, RequestedBuckets: allBuckets})
		}
	}
	if len(n.zones) == 0 {
		return
	}
	start := n.rng.IntN(len(n.zones))
	for i := range n.zones {
		z := n.zones[(start+i)%len(n.zones)]
		if digest, known := senderDigests[z.key]; known && digest == z.digest() {
			continue
		}
		if zoneResponses == maxZonesPerExchange {
			n.antiEntropy.scheduleFollowUp(now)
			return
		}
		zoneResponses++
		n.appendMessage(out, from, &message{Kind: kindBucketDigests, ZoneKey: z.key, ZoneHeartbeats: n.zoneHeartbeats(), BucketDigests: z.encodedBucketDigests()})
	}
}

// handleBucketDigests responds with the versions of the local records in buckets
// that differ, and requests these buckets.
func (n *Node) handleBucketDigests(from netip.AddrPort, m *message, out *Output) {
	response := &message{Kind: kindRecordVersions, ZoneKey: m.ZoneKey}
	z := n.zoneByKey(m.ZoneKey)
	if z == nil {
		response.RequestedBuckets = allBuckets
		n.appendMessage(out, from, response)
		return
	}
	ownDigests := z.encodedBucketDigests()
	start := n.rng.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (start + i) % bucketCount
		offset := bucket * bucketDigestBytes
		if bytes.Equal(ownDigests[offset:offset+bucketDigestBytes], m.BucketDigests[offset:offset+bucketDigestBytes]) {
			continue
		}
		if len(response.RecordVersions)+len(z.buckets[bucket]) > maxRecordVersions && len(response.RequestedBuckets) > 0 {
			break
		}
		response.RequestedBuckets = append(response.RequestedBuckets, byte(bucket))
		for _, r := range z.buckets[bucket] {
			if len(response.RecordVersions) < maxRecordVersions {
				response.RecordVersions = append(response.RecordVersions, r.version())
			}
		}
	}
	if len(response.RequestedBuckets) > 0 {
		n.appendMessage(out, from, response)
	}
}

// handleRecordVersions sends the records that are older or missing on the sender,
// and requests those that are older or missing here.
func (n *Node) handleRecordVersions(now time.Time, from netip.AddrPort, m *message, out *Output) {
	z := n.zoneByKey(m.ZoneKey)
	senderVersions := make(map[uint64]recordVersion, len(m.RecordVersions))
	var requested []uint64
	for _, version := range m.RecordVersions {
		senderVersions[version.Hash] = version
		own := n.records[version.Hash]
		unknown := own == nil && version.Liveness < failed
		if unknown || own != nil && own != n.self && compareVersions(version, own.version()) > 0 {
			requested = append(requested, version.Hash)
		}
	}
	var newer []*memberRecord
	if z != nil {
		newer = newerRecords(z, m.RequestedBuckets, senderVersions)
	}
	n.sendRecords(now, from, newer, requested, out)
}

// newerRecords returns the records of the requested buckets that are newer than
// those of the sender. Failed and departed members that the sender has no record of
// are left out. Otherwise nodes would reintroduce them to each other forever.
func newerRecords(z *zoneState, requestedBuckets []byte, senderVersions map[uint64]recordVersion) []*memberRecord {
	var newer []*memberRecord
	for _, bucket := range requestedBuckets {
		if int(bucket) >= bucketCount {
			continue
		}
		for _, r := range z.buckets[bucket] {
			version, known := senderVersions[r.hash]
			if known && compareVersions(r.version(), version) > 0 || !known && r.isActive() {
				newer = append(newer, r)
			}
		}
	}
	return newer
}

// sendRecords sends records and requests in at most maxMessagesPerResponse messages,
// within the rate limit. The remaining records follow in the next exchange.
func (n *Node) sendRecords(now time.Time, to netip.AddrPort, records []*memberRecord, requested []uint64, out *Output) {
	for sent := 0; sent < maxMessagesPerResponse && (len(records) > 0 || len(requested) > 0); sent++ {
		if !n.antiEntropy.limiter.refill(now) {
			return
		}
		m := &message{Kind: kindRecords, RequestedMembers: requested}
		budget := recordBudgetBytes - len(requested)*requestedMemberBytes
		requested = nil
		var size int
		m.Records, size = packRecords(records, budget)
		records = records[len(m.Records):]
		n.appendMessage(out, to, m)
		n.antiEntropy.limiter.spend(size + packetOverheadBytes)
	}
}

// packRecords returns the first records that fit into the budget, and their size.
func packRecords(records []*memberRecord, budget int) (packed []cbor.RawMessage, size int) {
	for _, r := range records {
		encoded := r.encoded()
		if size+len(encoded) > budget {
			break
		}
		size += len(encoded)
		packed = append(packed, encoded)
	}
	return packed, size
}

// handleRecords sends the records that the sender requested. If the message updated
// local records, another exchange follows after followUpExchangeDelay.
func (n *Node) handleRecords(now time.Time, from netip.AddrPort, m *message, updated int, out *Output) {
	if updated > 0 {
		n.antiEntropy.scheduleFollowUp(now)
	}
	var requested []*memberRecord
	for _, hash := range m.RequestedMembers {
		if r := n.records[hash]; r != nil {
			requested = append(requested, r)
		}
	}
	n.sendRecords(now, from, requested, nil, out)
}
