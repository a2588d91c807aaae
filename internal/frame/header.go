package frame

//go:generate go tool msgp -file header.go -tests=false -io=false

// Kind is the type of the body of a frame.
type Kind uint8

// The kinds of frames.
const (
	// KindPacket: the body is an IP packet of a caller.
	KindPacket Kind = 1
	// KindPeer: the body is a peer.Message.
	KindPeer Kind = 2
	// KindGossip: the body is a membership message.
	KindGossip Kind = 3
)

// MaxHops bounds how often a packet is forwarded from agent to agent.
const MaxHops = 8

// Flags record how balancers and agents have handled a packet so far.
type Flags uint8

// The flags of a frame.
const (
	// FlagOpening: the packet may open a flow.
	FlagOpening Flags = 1 << iota
	// FlagPlaced: the placer selected the receiver for the new flow.
	FlagPlaced
	// FlagHomeMiss: the placer must not send a home lookup. It is set when a lookup
	// found no registration at the home of the flow. It is also set without a
	// lookup, on an opening that another agent forwards or returns to the placer.
	FlagHomeMiss
	// FlagHomeLookup: the placer sends the opening to the home of the flow to look
	// up a registration.
	FlagHomeLookup
	// FlagHinted: a hint or a registration named the receiver as the holder of
	// the flow.
	FlagHinted
	// FlagDeclined: the agent that the placer had selected declined the opening
	// and returned it to the placer.
	FlagDeclined
)

// The two bits above the flags hold the number of attempts. Agents of earlier
// builds ignore them.
const (
	attemptsShift = 6
	// MaxAttempts is the highest number of attempts that a frame can hold.
	MaxAttempts = 3
)

// WithAttempts returns the flags with a number of unanswered attempts, which is at
// most MaxAttempts: the balancer has sent this packet of a flow to the first
// members in the ranking of the flow, one after the other, and sends it to the
// next one now.
func (f Flags) WithAttempts(attempts uint8) Flags {
	return f&(1<<attemptsShift-1) | Flags(min(attempts, MaxAttempts))<<attemptsShift
}

// Attempts returns the number of unanswered attempts.
func (f Flags) Attempts() int { return int(f >> attemptsShift) }

// Has reports whether all the given flags are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Trace is the trace context of a sampled opening, or zero if the opening is not
// sampled. High and Low are the trace ID, and Span is the span ID.
type Trace struct {
	High, Low uint64
	Span      uint64
}

// Sampled reports whether the opening is traced.
func (t Trace) Sampled() bool { return t.High != 0 || t.Low != 0 }

//msgp:tuple Trace
//msgp:tuple Header
//msgp:tuple MessageHeader

// MessageHeader is the header of frames with peer and membership messages. They
// need none of the fields for packets. The header is kept short because the bytes
// per second that a node may send for such messages are limited.
type MessageHeader struct {
	KeyID uint8
}

// Header is the header of a frame. Frames with messages use only Kind and KeyID.
type Header struct {
	// Kind is sent in the prefix of the frame, not in the encoded header.
	Kind  Kind `msg:"-"`
	KeyID uint8
	// Hops is how often agents have forwarded the packet.
	Hops uint8
	// Passes is how often the packet was returned to the placer.
	Passes uint8
	Flags  Flags
	// Service is the service.ID of the flow.
	Service uint32
	// Incarnation is the expected incarnation of the receiver, or 0 if the sender
	// expects none.
	Incarnation uint64
	// Epoch is the intent revision of the view of the balancer. Agents forward it
	// unchanged.
	Epoch uint64
	// Tried holds the low bits of the member hashes of the agents that have
	// forwarded the packet. Member indexes cannot be used instead, because the
	// views of agents may differ.
	Tried [MaxHops]uint32
	// Origin is the member hash of the balancer that received the packet from the
	// caller.
	Origin uint64
	// Placement is the number of this placement among those that the placer has
	// sent to the receiver.
	Placement uint32
	Trace     Trace
}
