package fabric

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var sender = netip.MustParseAddrPort("127.0.0.9:5000")

type greeting struct{ Text string }

func newTestLink() (*link, *[]string) {
	l := &link{partial: map[partialKey]*partialMessage{}}
	got := &[]string{}
	handle(l, kindAsk, func(error) {}, func(_ netip.Addr, m *greeting) { *got = append(*got, m.Text) })
	return l, got
}

// Guards against messages above the size of a datagram that are cut, and against
// parts that arrive twice, in another order or not at all.
func TestLargeMessages(t *testing.T) {
	receiver, err := openLink(netip.MustParseAddr("127.77.1.1"), 0, 0)
	require.NoError(t, err)
	received := make(chan string, 4)
	handle(receiver, kindAsk, func(error) {}, func(_ netip.Addr, m *greeting) { received <- m.Text })
	go func() { _ = receiver.receive() }()
	from, err := openLink(netip.MustParseAddr("127.77.1.2"), 0, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = receiver.conn.Close(), from.conn.Close() })
	to := netip.MustParseAddrPort(receiver.conn.LocalAddr().String())
	for _, size := range []int{0, 10, maxPartBytes, 50_000} {
		text := strings.Repeat("x", size)
		require.NoError(t, from.send(to.Addr(), to.Port(), kindAsk, greeting{Text: text}))
		select {
		case got := <-received:
			require.Equal(t, text, got)
		case <-time.After(5 * time.Second):
			t.Fatalf("message of %d bytes did not arrive", size)
		}
	}
	require.ErrorContains(t, from.send(to.Addr(), to.Port(), kindAsk, greeting{Text: strings.Repeat("x", 2<<20)}), "exceeds the limit")
}

// Guards against datagrams of strangers: unknown kinds, impossible parts and
// floods of incomplete messages must neither be delivered nor fill the memory.
func TestBadDatagrams(t *testing.T) {
	l, got := newTestLink()
	for _, datagram := range [][]byte{
		nil,
		{1},
		{0, 0, 0, 0, 1, 0, 0, 0, 1},
		{99, 0, 0, 0, 1, 0, 0, 0, 1},
		{byte(kindAsk), 0, 0, 0, 1, 0, 1, 0, 1},
		{byte(kindAsk), 0, 0, 0, 1, 0, 0, 0xff, 0xff},
		{byte(kindAsk), 0, 0, 0, 1, 0, 0, 0, 0},
		{byte(kindAsk), 0, 0, 0, 1, 0, 0, 0, 1, 0xff},
	} {
		l.take(sender, datagram)
	}
	require.Empty(t, *got)
	for number := range 1000 {
		l.take(sender, []byte{byte(kindAsk), 0, 0, byte(number >> 8), byte(number), 0, 0, 0, 2, 1})
	}
	require.LessOrEqual(t, len(l.partial), maxPartial)
}

func FuzzDatagram(f *testing.F) {
	f.Add([]byte{byte(kindAsk), 0, 0, 0, 1, 0, 0, 0, 2, 1})
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		l, _ := newTestLink()
		l.take(sender, datagram)
		l.take(sender, datagram)
	})
}
