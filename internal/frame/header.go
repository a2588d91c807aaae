package frame

//go:generate go tool msgp -file header.go -tests=false -io=false

// Kind says what follows a header.
type Kind uint8

// The kinds of frames.
const (
	// KindPacket: an IP packet of a caller follows.
	KindPacket Kind = 1
	// KindPeer: a message between agents and balancers follows.
	KindPeer Kind = 2
	// KindGossip: a membership message follows.
	KindGossip Kind = 3
)

// MaxHops bounds how often a packet is forwarded between agents.
const MaxHops = 8

// Flags say how far an opening has come.
type Flags uint8

// The flags of a frame.
const (
	// FlagOpening: the packet may open a flow.
	FlagOpening Flags = 1 << iota
	// FlagPlaced: the placer chose the receiver.
	FlagPlaced
	// FlagHomeMiss: the flow's home does not know the flow.
	FlagHomeMiss
	// FlagHomeLookup: the placer asks the flow's home for a registration.
	FlagHomeLookup
	// FlagHinted: the target was chosen from a hint or registration.
	FlagHinted
	// FlagDeclined: the chosen agent passed the opening back.
	FlagDeclined
)

// Has reports whether all the given flags are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Trace is the trace context of a sampled opening; zero if not sampled.
type Trace struct {
	High, Low uint64
	Span      uint64
}

// Sampled reports whether the opening is traced.
func (t Trace) Sampled() bool { return t.High != 0 || t.Low != 0 }

//msgp:tuple Trace
//msgp:tuple Header
//msgp:tuple MessageHeader

// MessageHeader precedes peer messages and gossip on the wire. They need none
// of the fields for packets, and nodes may send only few bytes a second.
type MessageHeader struct {
	KeyID uint8
}

// Header precedes every packet between VMs.
type Header struct {
	// Kind is sent outside of the encoded header.
	Kind   Kind `msg:"-"`
	KeyID  uint8
	Hops   uint8
	Passes uint8
	Flags  Flags
	// Service is the service.ID of the flow.
	Service uint32
	// Incarnation is that of the receiver, as the sender knows it, or 0.
	Incarnation uint64
	// Epoch is the intent revision of the sender's view.
	Epoch uint64
	// Tried holds the low bits of the member hashes of the agents that have
	// forwarded the packet. Views may differ, so positions would not do.
	Tried [MaxHops]uint32
	// Origin is the member hash of the balancer that took the packet in.
	Origin uint64
	// Placement numbers the openings that a placer sent to the receiver.
	Placement uint32
	Trace     Trace
}
