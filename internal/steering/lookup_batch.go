package steering

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// lookupResponseTimeout is how long agents may take to respond to a lookup request
	// before it is sent again to those that have not responded. maxLookupAttempts
	// bounds how often it is sent. Together they stay below the first retransmission
	// interval (200 ms), not counting the time that the requests take on the link.
	lookupResponseTimeout = 50 * time.Millisecond
	maxLookupAttempts     = 3
	// lookupUnresponsiveTime is how long lookups do not wait for an agent that has not
	// responded to one. It is about as long as an agent takes to restart.
	lookupUnresponsiveTime = 2 * time.Second
	// lateResponseWindow is how long responses are accepted after a batch has ended.
	lateResponseWindow = time.Second
	// maxLookupsPerRequest keeps a request within one datagram of 1,200 bytes.
	maxLookupsPerRequest = 40
	// maxQueuedLookups bounds the flows that wait for a lookup.
	maxQueuedLookups = 2_000
	// lookupLinkShare is the share of the link that lookups may use, and lookupBurst
	// the period whose share they may use at once. After a loss of power there is a
	// lookup for every flow. Requests must displace neither the packets of callers nor
	// responses to other requests.
	lookupLinkShare = 0.2
	lookupBurst     = 400 * time.Millisecond
	// maxLookupBytesPerSecond bounds the rate of lookups on fast links. At 100 bytes
	// and 20 us per message it costs 0.025 of a core.
	maxLookupBytesPerSecond = 120_000
	// bytesPerExchange is the size of a request and its response on the link without
	// the flows. bytesPerLookup is the size of each flow in both.
	bytesPerExchange = 120
	bytesPerLookup   = 24
)

// lookupBatch is a set of flow lookups with the same scope that is sent to all agents
// of that scope under one lookup ID. Batches save bytes on a slow link when many flows
// are looked up at once: sent one by one, the lookups of a thousand flows among 60
// agents take megabytes.
type lookupBatch struct {
	id    uint32
	flows []*flowEntry
	// awaitingResponse lists the agents that have not responded to the request.
	awaitingResponse []*upstreamState
	attempts         int
	// nextStepAt is when the request is sent again or the batch ends. For an ended
	// batch it is when the batch is removed.
	nextStepAt time.Time
	ended      bool
}

// queueLookup queues the lookup of a flow. The first lookup starts at once. Those
// that are queued while a batch awaits responses, or while the lookups have used
// their share of the link, go together into the next batch.
func (b *Balancer) queueLookup(now time.Time, entry *flowEntry, actions *[]Action) {
	if len(b.lookupQueue) >= maxQueuedLookups {
		entry.state, entry.upstream, entry.notFoundAt, entry.deadline, entry.deniedByAll, entry.bufferedPackets = stateHolderNotFound, nil, now, time.Time{}, false, nil
		*actions = append(*actions, Action{Kind: Drop, Reason: LookupQueueFull, Flow: entry.key})
		return
	}
	entry.state, entry.upstream, entry.lookup, entry.deadline = stateLookupPending, nil, &holderLookup{scope: b.initialScope(entry)}, time.Time{}
	if entry.firstLookupAt.IsZero() {
		entry.firstLookupAt = now
	}
	b.lookupQueue = append(b.lookupQueue, entry)
	b.startBatch(now, actions)
}

// startBatch sends a batch of queued lookups. It sends none while the last batch
// awaits responses, or while the lookups have used their share of the link.
func (b *Balancer) startBatch(now time.Time, actions *[]Action) {
	b.lookupQueue = slices.DeleteFunc(b.lookupQueue, func(entry *flowEntry) bool { return entry.state != stateLookupPending || b.flows[entry.key] != entry })
	if len(b.lookupQueue) == 0 || now.Before(b.nextBatchAt) {
		return
	}
	scope := b.lookupQueue[0].lookup.scope
	batch := &lookupBatch{awaitingResponse: b.possibleHolders(scope)}
	if len(batch.awaitingResponse) == 0 {
		b.dropQueuedLookups(actions)
		return
	}
	queued := 0
	for _, entry := range b.lookupQueue {
		if entry.lookup.scope == scope {
			queued++
		}
	}
	count := b.lookupsAllowed(now, len(batch.awaitingResponse), queued)
	if count == 0 {
		// The lookups have used their share of the link.
		b.nextBatchAt = now.Add(lookupResponseTimeout)
		return
	}
	b.lookupQueue = slices.DeleteFunc(b.lookupQueue, func(entry *flowEntry) bool {
		selected := entry.lookup.scope == scope && len(batch.flows) < count
		if selected {
			batch.flows = append(batch.flows, entry)
		}
		return selected
	})
	b.lastLookupID++
	batch.id = b.lastLookupID
	for _, entry := range batch.flows {
		entry.lookup.batchID = batch.id
	}
	b.lookupBatches[batch.id] = batch
	b.sendLookupRequests(now, batch, actions)
	b.nextBatchAt = batch.nextStepAt
}

// dropQueuedLookups removes the flows with queued lookups, because there is no agent
// to send requests to.
func (b *Balancer) dropQueuedLookups(actions *[]Action) {
	for _, entry := range b.lookupQueue {
		delete(b.flows, entry.key)
		*actions = append(*actions, Action{Kind: Drop, Reason: NoUpstream, Flow: entry.key})
	}
	b.lookupQueue = nil
}

// lookupBytes returns the size on the link of the lookup requests for this number of
// flows and of the responses.
func lookupBytes(agents, flows int) int { return agents * (bytesPerExchange + flows*bytesPerLookup) }

// lookupsAllowed returns how many of the queued lookups may be sent now, and takes their
// bytes from lookupLimiter. If the limiter does not allow all that fit into a request,
// it returns 0 until the full burst is available. Larger batches need fewer bytes for
// each flow.
func (b *Balancer) lookupsAllowed(now time.Time, agents, queued int) int {
	bytesPerSecond := float64(maxLookupBytesPerSecond)
	if link := b.cfg.LinkBitsPerSecond; link > 0 {
		const bitsPerByte = 8
		bytesPerSecond = min(bytesPerSecond, lookupLinkShare*link/bitsPerByte)
	}
	burst := max(int(bytesPerSecond*lookupBurst.Seconds()), lookupBytes(agents, 1))
	b.lookupLimiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
	if b.lookupLimiter.Burst() == 0 {
		// The first lookup: the full burst is available.
		b.lookupLimiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	b.lookupLimiter.SetBurstAt(now, burst)
	tokens := int(b.lookupLimiter.TokensAt(now))
	count := min((tokens/agents-bytesPerExchange)/bytesPerLookup, queued, maxLookupsPerRequest)
	burstAvailable := tokens >= burst-1
	if count < 1 || (count < min(queued, maxLookupsPerRequest) && !burstAvailable) || !b.lookupLimiter.AllowN(now, lookupBytes(agents, count)) {
		return 0
	}
	return count
}

// sendLookupRequests sends the request to the agents that have not responded.
func (b *Balancer) sendLookupRequests(now time.Time, batch *lookupBatch, actions *[]Action) {
	batch.attempts++
	batch.nextStepAt = now.Add(lookupResponseTimeout + b.transmissionTime(lookupBytes(len(batch.awaitingResponse), len(batch.flows))))
	message := Message{Kind: LookupRequest, LookupID: batch.id, Lookups: make([]FlowLookup, 0, len(batch.flows))}
	for _, entry := range batch.flows {
		message.Lookups = append(message.Lookups, FlowLookup{Flow: entry.key, Ack: entry.callerAck})
	}
	for _, upstream := range batch.awaitingResponse {
		*actions = append(*actions, Action{Kind: SendMessage, Reason: CandidateTried, Flow: batch.flows[0].key, To: upstream.Address.Addr(), Message: message})
	}
}

// transmissionTime returns how long this number of bytes takes on the link while
// packets of callers use an equal share of it.
func (b *Balancer) transmissionTime(size int) time.Duration {
	const bitsPerByte, linkShares = 8, 2
	if b.cfg.LinkBitsPerSecond == 0 {
		return 0
	}
	return time.Duration(linkShares * float64(size*bitsPerByte) / b.cfg.LinkBitsPerSecond * float64(time.Second))
}

// awaitsBatch reports whether a flow still awaits responses of a batch.
func (b *Balancer) awaitsBatch(batch *lookupBatch, entry *flowEntry) bool {
	return b.flows[entry.key] == entry && entry.state == stateLookupPending && entry.lookup != nil && entry.lookup.batchID == batch.id
}

// handleLookupResponse handles the response of one agent. A late response still
// identifies the flows that the upstream holds.
func (b *Balancer) handleLookupResponse(now time.Time, upstream *upstreamState, message *Message, actions *[]Action) {
	batch := b.lookupBatches[message.LookupID]
	if batch == nil || len(message.Verdicts) != len(batch.flows) {
		return
	}
	awaitingBefore := len(batch.awaitingResponse)
	batch.awaitingResponse = slices.DeleteFunc(batch.awaitingResponse, func(other *upstreamState) bool { return other == upstream })
	firstResponse := len(batch.awaitingResponse) < awaitingBefore
	anyPending := false
	for i, entry := range batch.flows {
		if b.flows[entry.key] != entry {
			continue
		}
		switch {
		case message.Verdicts[i] == FlowHeld:
			b.handleHolderFound(now, entry, upstream, actions)
		case message.Verdicts[i] == FlowUndetermined && firstResponse && b.awaitsBatch(batch, entry):
			entry.lookup.currentCandidates = append(entry.lookup.currentCandidates, upstream)
		}
		anyPending = anyPending || b.awaitsBatch(batch, entry)
	}
	if !batch.ended && (len(batch.awaitingResponse) == 0 || !anyPending) {
		b.endBatch(now, batch, actions)
	}
}

// endBatch ends the lookups that have found no holder, and starts the next batch.
func (b *Balancer) endBatch(now time.Time, batch *lookupBatch, actions *[]Action) {
	batch.ended, batch.nextStepAt = true, now.Add(lateResponseWindow)
	responseExpected := b.markLookupUnresponsive(now, batch.awaitingResponse)
	for _, entry := range batch.flows {
		if b.awaitsBatch(batch, entry) {
			entry.lookup.notResponding = slices.Clone(batch.awaitingResponse)
			b.finishLookup(now, entry, responseExpected, actions)
		}
	}
	b.nextBatchAt = time.Time{}
	b.startBatch(now, actions)
}

// advanceBatches repeats requests, ends batches and removes old ones. Requests and
// responses may be lost on a saturated link.
func (b *Balancer) advanceBatches(now time.Time, actions *[]Action) {
	for id, batch := range b.lookupBatches {
		switch {
		case now.Before(batch.nextStepAt):
		case batch.ended:
			delete(b.lookupBatches, id)
		case batch.attempts < maxLookupAttempts && anyMayRespond(batch.awaitingResponse):
			if b.lookupLimiter.AllowN(now, lookupBytes(len(batch.awaitingResponse), len(batch.flows))) {
				b.sendLookupRequests(now, batch, actions)
				continue
			}
			batch.attempts++
			batch.nextStepAt = now.Add(lookupResponseTimeout)
		default:
			b.endBatch(now, batch, actions)
		}
	}
	b.startBatch(now, actions)
}

// batchesDeadline returns the time at which advanceBatches must be called next, or
// zero if there are no batches.
func (b *Balancer) batchesDeadline() time.Time {
	var next time.Time
	if len(b.lookupQueue) > 0 {
		next = b.nextBatchAt
	}
	for _, batch := range b.lookupBatches {
		if next.IsZero() || batch.nextStepAt.Before(next) {
			next = batch.nextStepAt
		}
	}
	return next
}
