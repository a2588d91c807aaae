package flow

// Phase is the lifecycle phase of a flow.
type Phase uint8

// The phases of a flow.
const (
	// HalfOpen: the caller has not yet confirmed the handshake.
	HalfOpen Phase = iota + 1
	Established
	// Closing: both sides have finished sending.
	Closing
)

func (p Phase) String() string {
	switch p {
	case HalfOpen:
		return "half-open"
	case Established:
		return "established"
	case Closing:
		return "closing"
	}
	return "unknown"
}
