package steering

import "time"

const (
	// linkWindow is over which time the use of the link is measured: some round
	// trips of an upload, which sends a window of 16 packets in each.
	linkWindow = 200 * time.Millisecond
	// linkShare is the part of the link above which openings of uploads are
	// refused. Uploads that are open then still finish, and small requests find
	// room.
	linkShare = 0.5
	// packetOverhead is what a packet takes on the link beside its own bytes: the
	// headers of IP and UDP.
	packetOverhead = 28
	// linkCrossings: a packet comes in and goes out over the same link.
	linkCrossings = 2
)

// linkMeter measures how much of the VM's link the packets of callers take. It
// answers the pattern in which several long uploads arrive over one link of a
// few Mbit/s: packets are lost, each loss costs its sender 200 ms and more, and
// small requests are lost with them.
type linkMeter struct {
	// bytesPerWindow is what the link carries in one window; zero if unlimited.
	bytesPerWindow float64
	window         time.Time
	bytes          float64
	last           float64
}

func newLinkMeter(bitsPerSecond float64) linkMeter {
	const bitsPerByte = 8
	return linkMeter{bytesPerWindow: bitsPerSecond / bitsPerByte * linkWindow.Seconds()}
}

// add counts a packet.
func (m *linkMeter) add(now time.Time, size int) {
	m.turn(now)
	m.bytes += float64(linkCrossings * (size + packetOverhead))
}

func (m *linkMeter) turn(now time.Time) {
	switch since := now.Sub(m.window); {
	case since >= 2*linkWindow:
		m.window, m.last, m.bytes = now, 0, 0
	case since >= linkWindow:
		m.window, m.last, m.bytes = m.window.Add(linkWindow), m.bytes, 0
	}
}

// full reports whether the link has no room for another upload. The last window
// counts for the part of the current one that has not passed.
func (m *linkMeter) full(now time.Time) bool {
	if m.bytesPerWindow == 0 {
		return false
	}
	m.turn(now)
	passed := float64(now.Sub(m.window)) / float64(linkWindow)
	return m.bytes+m.last*(1-passed) > linkShare*m.bytesPerWindow
}
