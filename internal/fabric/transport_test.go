package fabric

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var unknownSender = netip.MustParseAddrPort("127.0.0.9:5000")

type testMessage struct{ Text string }

func newTestTransport() (*transport, *[]string) {
	receiver := &transport{incomplete: map[messageKey]*incompleteMessage{}}
	received := &[]string{}
	registerHandler(receiver, kindSyncRequest, func(error) {}, func(_ netip.Addr, m *testMessage) { *received = append(*received, m.Text) })
	return receiver, received
}

// A message that exceeds the size of one datagram must arrive whole. A message above
// the size limit must not be sent.
func TestLargeMessagesAreReassembled(t *testing.T) {
	receiver, err := openTransport(netip.MustParseAddr("127.77.1.1"), 0, 0)
	require.NoError(t, err)
	received := make(chan string, 4)
	registerHandler(receiver, kindSyncRequest, func(error) {}, func(_ netip.Addr, m *testMessage) { received <- m.Text })
	go func() { _ = receiver.receiveMessages() }()
	sender, err := openTransport(netip.MustParseAddr("127.77.1.2"), 0, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = receiver.conn.Close(), sender.conn.Close() })
	to := netip.MustParseAddrPort(receiver.conn.LocalAddr().String())
	for _, size := range []int{0, 10, maxPartBytes, 50_000} {
		text := strings.Repeat("x", size)
		require.NoError(t, sender.send(to.Addr(), to.Port(), kindSyncRequest, testMessage{Text: text}))
		select {
		case got := <-received:
			require.Equal(t, text, got)
		case <-time.After(5 * time.Second):
			t.Fatalf("message of %d bytes not received within 5 s", size)
		}
	}
	require.ErrorContains(t, sender.send(to.Addr(), to.Port(), kindSyncRequest, testMessage{Text: strings.Repeat("x", 2<<20)}), "exceeds the limit")
}

// Invalid datagrams from unknown senders must be dropped. Datagrams with an
// unknown kind or impossible part numbers must not reach a handler. A flood of
// incomplete messages must not exhaust the memory.
func TestBadDatagramsAreDropped(t *testing.T) {
	receiver, received := newTestTransport()
	for _, datagram := range [][]byte{
		nil,
		{1},
		{0, 0, 0, 0, 1, 0, 0, 0, 1},
		{99, 0, 0, 0, 1, 0, 0, 0, 1},
		{byte(kindSyncRequest), 0, 0, 0, 1, 0, 1, 0, 1},
		{byte(kindSyncRequest), 0, 0, 0, 1, 0, 0, 0xff, 0xff},
		{byte(kindSyncRequest), 0, 0, 0, 1, 0, 0, 0, 0},
		{byte(kindSyncRequest), 0, 0, 0, 1, 0, 0, 0, 1, 0xff},
	} {
		receiver.handleDatagram(unknownSender, datagram)
	}
	require.Empty(t, *received)
	for number := range 1000 {
		receiver.handleDatagram(unknownSender, []byte{byte(kindSyncRequest), 0, 0, byte(number >> 8), byte(number), 0, 0, 0, 2, 1})
	}
	require.LessOrEqual(t, len(receiver.incomplete), maxIncompleteMessages)
}

func FuzzDatagram(f *testing.F) {
	f.Add([]byte{byte(kindSyncRequest), 0, 0, 0, 1, 0, 0, 0, 2, 1})
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		receiver, _ := newTestTransport()
		receiver.handleDatagram(unknownSender, datagram)
		receiver.handleDatagram(unknownSender, datagram)
	})
}
