package steering

import (
	"bytes"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
)

const (
	// maxBulkBacklog and maxUrgentBacklog bound the transmission time of the data that
	// has been passed to the link and not yet sent. Links drop what they cannot send
	// within some 50 ms. The difference keeps room for other packets while bulk data
	// is sent.
	maxBulkBacklog   = 20 * time.Millisecond
	maxUrgentBacklog = 35 * time.Millisecond
	// refillBacklog is the backlog at which held packets are sent again. Between it and
	// maxBulkBacklog several packets are sent for each wake-up.
	refillBacklog = 10 * time.Millisecond
	// datagramOverheadBytes is the size of the Ethernet, IP and UDP framing of a
	// datagram on the link.
	datagramOverheadBytes = 60
	// maxHeldPackets bounds the memory for held packets and messages. It has room for the
	// windows of 32 uploads.
	maxHeldPackets = 512
	// maxHoldTime is how long a packet or message is held at most. Its sender has repeated
	// it by then. A process that was paused for seconds must not act on what it decided
	// before: the upstream may have left, and the caller may have given up.
	maxHoldTime = 2 * time.Second
	// messageBytes is the size of a message without its lookups.
	messageBytes = 60
	// resetBytes is the size of a reset.
	resetBytes = 36
)

// egressScheduler decides when the packets of a balancer are passed to the link of its
// VM.
//
// Load pattern: entry VMs with links of 2 to 5 Mbit/s. A caller sends an upload in
// windows of 16 packets, which arrive within 2 ms and take 80 ms at 2 Mbit/s to leave.
// The link drops what exceeds some 50 ms. Without scheduling, each window lost packets
// of the upload and of every small request that was sent meanwhile, and each loss
// delayed its sender by 200 ms or more.
//
// Packets wait here until the link has room: urgent packets first, then messages, of
// which a lookup at 140 agents takes 80 ms of the link, then bulk packets. Urgent packets
// are sent by rank. Among bulk packets, those of the flow that was opened first are sent
// first, so that uploads complete one after the other instead of all late.
type egressScheduler struct {
	// bytesPerSecond is the rate of the link, or zero if it is unknown. Nothing is held
	// then.
	bytesPerSecond float64
	// idleAt is when the link will have sent everything that was passed to it.
	idleAt time.Time
	// urgent lists the held packets that are not bulk, messages the held messages, and
	// bulk the held bulk packets by flow. held is the number of all of them.
	urgent, messages []heldAction
	bulk             []bulkQueue
	held             int
}

// heldAction is an action that waits for the link since heldAt.
type heldAction struct {
	Action
	heldAt time.Time
	rank   int
}

// bulkQueue has the held bulk packets of one flow.
type bulkQueue struct {
	key      flow.Key
	openedAt time.Time
	packets  []heldAction
}

// egressClass is how an action is scheduled.
type egressClass struct {
	// bulk is set for packets that wait behind all others. openedAt is when their flow
	// was opened.
	bulk     bool
	openedAt time.Time
	// rank orders packets that are not bulk: lower ones go first.
	rank int
}

func newEgressScheduler(bitsPerSecond float64) egressScheduler {
	const bitsPerByte = 8
	return egressScheduler{bytesPerSecond: bitsPerSecond / bitsPerByte}
}

// schedule removes the actions from index first on that the link has no room for, and
// adds those held before that it has room for now. classify returns the class of an
// action.
func (e *egressScheduler) schedule(now time.Time, first int, actions *[]Action, classify func(*Action) egressClass) {
	if e.bytesPerSecond == 0 {
		return
	}
	added := (*actions)[first:]
	if e.held == 0 && !slices.ContainsFunc(added, func(a Action) bool { return linkBytes(&a) > 0 }) {
		return
	}
	kept := (*actions)[:first]
	for i := range added {
		action := added[i]
		size := linkBytes(&action)
		if size == 0 {
			kept = append(kept, action)
			continue
		}
		class := classify(&action)
		switch {
		case e.hasRoom(now, action.Kind, class):
			e.countSent(now, size)
			kept = append(kept, action)
		default:
			if reason := e.hold(now, &action, class); reason != "" {
				kept = append(kept, Action{Kind: Drop, Reason: reason, Flow: action.Flow})
			}
		}
	}
	*actions = kept
	e.release(now, actions)
}

// linkBytes returns the size of the datagram of an action on the link, or zero if it
// sends none.
func linkBytes(action *Action) int {
	switch action.Kind {
	case Forward:
		return len(action.Data) + datagramOverheadBytes
	case Reset:
		return resetBytes + datagramOverheadBytes
	case SendMessage:
		return messageBytes + len(action.Message.Lookups)*bytesPerLookup + datagramOverheadBytes
	case Deliver, Reply, ProbeUpstream, OpeningQueued, Drop:
	}
	return 0
}

// backlog returns how long the link needs to send what was passed to it.
func (e *egressScheduler) backlog(now time.Time) time.Duration { return max(e.idleAt.Sub(now), 0) }

func (e *egressScheduler) transmissionTime(size int) time.Duration {
	return time.Duration(float64(size) / e.bytesPerSecond * float64(time.Second))
}

func (e *egressScheduler) countSent(now time.Time, size int) {
	if e.idleAt.Before(now) {
		e.idleAt = now
	}
	e.idleAt = e.idleAt.Add(e.transmissionTime(size))
}

// hasRoom reports whether an action may be passed to the link now: nothing that goes
// first is held, and the backlog is below the limit of its class. Resets are not held.
func (e *egressScheduler) hasRoom(now time.Time, kind ActionKind, class egressClass) bool {
	switch {
	case kind == Reset:
		return true
	case class.bulk:
		return e.held == 0 && e.backlog(now) < maxBulkBacklog
	case kind == SendMessage:
		return len(e.urgent)+len(e.messages) == 0 && e.backlog(now) < maxBulkBacklog
	}
	return (len(e.urgent) == 0 || class.rank < e.urgent[0].rank) && e.backlog(now) < maxUrgentBacklog
}

// hold holds an action. A copy of a bulk packet that is held already is not needed: its
// sender repeats what is not acknowledged within 200 ms. hold returns the reason if the
// packet is dropped.
func (e *egressScheduler) hold(now time.Time, action *Action, class egressClass) Reason {
	index := slices.IndexFunc(e.bulk, func(q bulkQueue) bool { return q.key == action.Flow })
	if class.bulk && index >= 0 && slices.ContainsFunc(e.bulk[index].packets, func(p heldAction) bool { return bytes.Equal(p.Data, action.Data) }) {
		return Repeated
	}
	if e.held >= maxHeldPackets {
		return LinkSaturated
	}
	e.held++
	// The data is valid only until the next call of a method of the balancer.
	held := heldAction{Action: *action, heldAt: now, rank: class.rank}
	held.Data = slices.Clone(action.Data)
	switch {
	case action.Kind == SendMessage:
		e.messages = append(e.messages, held)
	case !class.bulk:
		after, _ := slices.BinarySearchFunc(e.urgent, class.rank+1, func(h heldAction, rank int) int { return h.rank - rank })
		e.urgent = slices.Insert(e.urgent, after, held)
	case index < 0:
		e.bulk = append(e.bulk, bulkQueue{key: action.Flow, openedAt: class.openedAt, packets: []heldAction{held}})
	default:
		e.bulk[index].packets = append(e.bulk[index].packets, held)
	}
	return ""
}

// release adds the held packets that the link has room for to the actions.
func (e *egressScheduler) release(now time.Time, actions *[]Action) {
	for len(e.urgent) > 0 && e.backlog(now) < maxUrgentBacklog {
		e.send(now, &e.urgent[0], actions)
		e.urgent = slices.Delete(e.urgent, 0, 1)
	}
	for len(e.urgent) == 0 && len(e.messages) > 0 && e.backlog(now) < maxBulkBacklog {
		e.send(now, &e.messages[0], actions)
		e.messages = slices.Delete(e.messages, 0, 1)
	}
	for len(e.urgent)+len(e.messages) == 0 && len(e.bulk) > 0 && e.backlog(now) < maxBulkBacklog {
		index := e.oldestBulk()
		queue := &e.bulk[index]
		e.send(now, &queue.packets[0], actions)
		queue.packets = slices.Delete(queue.packets, 0, 1)
		if len(queue.packets) == 0 {
			e.bulk = slices.Delete(e.bulk, index, index+1)
		}
	}
}

// send removes a held action from the count and passes it to the link, unless it was
// held for too long.
func (e *egressScheduler) send(now time.Time, held *heldAction, actions *[]Action) {
	e.held--
	if now.Sub(held.heldAt) > maxHoldTime {
		*actions = append(*actions, Action{Kind: Drop, Reason: HeldTooLong, Flow: held.Flow})
		return
	}
	e.countSent(now, linkBytes(&held.Action))
	*actions = append(*actions, held.Action)
}

// oldestBulk returns the index of the queue of the flow that was opened first.
func (e *egressScheduler) oldestBulk() int {
	oldest := 0
	for i := range e.bulk {
		if e.bulk[i].openedAt.Before(e.bulk[oldest].openedAt) {
			oldest = i
		}
	}
	return oldest
}

// heldBytes returns the size of the held packets of a flow on the link.
func (e *egressScheduler) heldBytes(key flow.Key) int {
	size := 0
	for i := range e.bulk {
		if e.bulk[i].key == key {
			for j := range e.bulk[i].packets {
				size += linkBytes(&e.bulk[i].packets[j].Action)
			}
		}
	}
	return size
}

// deadline returns when release must be called next, or zero if no packet is held.
func (e *egressScheduler) deadline() time.Time {
	switch {
	case e.held == 0:
		return time.Time{}
	case len(e.urgent) > 0:
		return e.idleAt.Add(-maxBulkBacklog)
	}
	return e.idleAt.Add(-refillBacklog)
}
