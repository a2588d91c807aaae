package fabric

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/loopback"
)

// receiveWithLoss calls the handlers for received messages like receiveMessages, but drops
// datagrams at random.
func receiveWithLoss(t *transport, lossRate float64, random *rand.Rand) {
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && random.Float64() >= lossRate {
			t.handleDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
		}
	}
}

func localPort(t *transport) uint16 {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

// Guards against a replica that is not a voter again in time: its log comes in messages of
// some hundred datagrams, and the loss of a few of them must cost a round trip, not the
// message. Each message must be handled once.
func TestLostPartsAreSentAgain(t *testing.T) {
	for seed, lossRate := range []float64{0.002, 0.05, 0.3} {
		checkLargeMessages(t, kindConsensus, 300_000, lossRate, uint64(seed))
	}
}

// Guards against balancers that do not apply a large desired state in time: one of 15,000
// routes takes some 230 datagrams, the largest that is accepted some 400.
func TestLargeDesiredStatesArrive(t *testing.T) {
	for seed, lossRate := range []float64{0, 0.01, 0.05} {
		checkLargeMessages(t, kindDesiredState, 470_000, lossRate, uint64(seed))
	}
}

// checkLargeMessages sends messages of the given kind and size one after the other, and
// fails the test if one does not arrive in time or is handled twice.
func checkLargeMessages(t *testing.T, kind datagramKind, size int, lossRate float64, seed uint64) {
	t.Helper()
	receiver, err := openTransport(netip.MustParseAddr("127.77.3.1"), 0, 0)
	require.NoError(t, err)
	sender, err := openTransport(netip.MustParseAddr("127.77.3.2"), 0, 0)
	require.NoError(t, err)
	port := localPort(receiver)
	receiver.resendPort = localPort(sender)
	received, resent := make(chan string, 16), atomic.Int64{}
	registerHandler(receiver, kind, func(error) {}, func(_ netip.Addr, m *testMessage) { received <- m.Text })
	sender.countParts = func(_ string, parts int) { resent.Add(int64(parts)) }
	random := rand.New(rand.NewPCG(seed, 6))
	go receiveWithLoss(receiver, lossRate, random)
	go func() { _ = sender.receiveMessages() }()
	const messages = 5
	for i := range messages {
		text := strings.Repeat(string(rune('a'+i)), size)
		require.NoError(t, sender.send(netip.MustParseAddr("127.77.3.1"), port, kind, testMessage{Text: text}))
		select {
		case got := <-received:
			require.Equal(t, text, got)
		case <-time.After(incompleteMessageTimeout):
			t.Fatalf("loss rate %v: message %d not received", lossRate, i)
		}
	}
	time.Sleep(3 * missingPartsDelay)
	require.Empty(t, received, "a message was handled twice")
	require.Less(t, resent.Load(), int64(messages*size/maxPartBytes), "more parts were sent again than at first")
	require.NoError(t, errors.Join(receiver.conn.Close(), sender.conn.Close()))
}

// Guards against requests for parts that are in the receive buffer: a receiver that waited
// for its core requested 1,265 of 1,250 parts again.
func TestPartsInTheReceiveBufferAreNotRequested(t *testing.T) {
	receiver, err := openTransport(loopback.NumberedHost(1), 0, 0)
	require.NoError(t, err)
	sender, err := openTransport(loopback.NumberedHost(2), 0, 0)
	require.NoError(t, err)
	receiver.resendPort = localPort(sender)
	received, requested := make(chan string, 1), atomic.Int64{}
	registerHandler(receiver, kindDesiredState, func(error) {}, func(_ netip.Addr, m *testMessage) { received <- m.Text })
	receiver.countParts = func(_ string, parts int) { requested.Add(int64(parts)) }
	text := strings.Repeat("x", 20*maxPartBytes)
	require.NoError(t, sender.send(loopback.NumberedHost(1), localPort(receiver), kindDesiredState, testMessage{Text: text}))
	buffer := make([]byte, receiveBufferBytes)
	n, from, err := receiver.conn.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	receiver.handleDatagram(from, buffer[:n])
	// The receiver gets no processor time for several intervals.
	time.Sleep(3 * firstRequestInterval)
	go func() { _ = receiver.receiveMessages() }()
	require.Equal(t, text, <-received)
	require.Zero(t, requested.Load())
	require.NoError(t, errors.Join(receiver.conn.Close(), sender.conn.Close()))
}

// Guards against a message that consists of parts of two runs of a sender.
func TestMessageNumbersOfTwoRunsDiffer(t *testing.T) {
	numbers := map[uint32]bool{}
	for range 3 {
		run, err := openTransport(netip.MustParseAddr("127.77.3.3"), 0, 0)
		require.NoError(t, err)
		numbers[run.lastMessageNumber] = true
		require.NoError(t, run.conn.Close())
	}
	require.Len(t, numbers, 3)
}

// Requests for parts that do not exist, or of messages to others, must be ignored.
func TestBadRequestsForParts(t *testing.T) {
	sender, err := openTransport(netip.MustParseAddr("127.77.3.4"), 0, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.conn.Close() })
	resent := 0
	sender.countParts = func(_ string, parts int) { resent += parts }
	receiver := netip.MustParseAddr("127.77.3.5")
	require.NoError(t, sender.send(receiver, 9, kindConsensus, testMessage{Text: strings.Repeat("x", 3*maxPartBytes)}))
	number := sender.lastMessageNumber
	sender.retained.sent(time.Now().Add(-time.Second), receiver, number)
	request := func(from netip.Addr, number uint32, indexes ...byte) {
		data := []byte{byte(number >> 24), byte(number >> 16), byte(number >> 8), byte(number)}
		for _, index := range indexes {
			data = append(data, 0, index)
		}
		sender.handleMissingParts(from, data)
	}
	sender.handleMissingParts(receiver, []byte{1, 2})
	request(receiver, number+1, 0)
	request(unknownSender.Addr(), number, 0)
	request(receiver, number, 99)
	require.Zero(t, resent)
	request(receiver, number, 0, 2)
	require.Equal(t, 2, resent)
}

// Guards against parts that are sent twice because this process waited for its core while
// it sent them, or before it handled the first request: 1,310 of 1,250 parts were sent again.
func TestPartsInTransitAreNotSentAgain(t *testing.T) {
	r := retainedMessages{}
	now, to := time.Unix(0, 0), unknownSender.Addr()
	r.add(sentMessage{to: netip.AddrPortFrom(to, 1), number: 1, payload: make([]byte, 2*maxPartBytes), sentAt: now.Add(-time.Second)})
	r.sent(now, to, 1)
	require.False(t, r.takePart(now.Add(partInTransit-1), to, 1, 0), "just sent")
	now = now.Add(partInTransit)
	require.True(t, r.takePart(now, to, 1, 0))
	require.False(t, r.takePart(now.Add(partInTransit-1), to, 1, 0), "just sent again")
	require.True(t, r.takePart(now.Add(partInTransit-1), to, 1, 1), "another part")
	require.True(t, r.takePart(now.Add(partInTransit), to, 1, 0), "lost again")
	require.False(t, r.takePart(now, to, 1, 2), "no such part")
	require.False(t, r.takePart(now, to, 2, 0), "no such message")
}

// Guards against a control process that keeps a large desired state once for each balancer
// that it was sent to, and against one that keeps parts for ever.
func TestRetainedMessages(t *testing.T) {
	start := time.Unix(0, 0)
	r := retainedMessages{}
	shared := make([]byte, maxRetainedBytes/2)
	add := func(number uint32, payload []byte, sentAt time.Time) {
		r.add(sentMessage{to: netip.AddrPortFrom(unknownSender.Addr(), 1), number: number, payload: payload, sentAt: sentAt})
	}
	for number := range uint32(maxRetainedMessages) {
		add(number, shared, start)
	}
	_, ok := r.find(unknownSender.Addr(), 0)
	require.True(t, ok, "copies of one payload")
	add(maxRetainedMessages, make([]byte, maxRetainedBytes/2), start)
	_, ok = r.find(unknownSender.Addr(), 0)
	require.False(t, ok, "more than maxRetainedMessages")
	_, ok = r.find(unknownSender.Addr(), 1)
	require.True(t, ok, "maxRetainedBytes in use")
	add(maxRetainedMessages+1, []byte{1}, start)
	_, ok = r.find(unknownSender.Addr(), maxRetainedMessages-1)
	require.False(t, ok, "more than maxRetainedBytes")
	_, ok = r.find(unknownSender.Addr(), maxRetainedMessages)
	require.True(t, ok)
	add(maxRetainedMessages+2, []byte{1}, start.Add(incompleteMessageTimeout+1))
	require.Len(t, r.messages, 1)
	require.Equal(t, 1, r.bytes)
}

// Guards against further copies of a desired state that fill the link while the parts of
// one are arriving, and against a balancer that waits for a sender that has stopped.
func TestIsReceiving(t *testing.T) {
	receiver, err := openTransport(netip.MustParseAddr("127.77.3.6"), 0, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = receiver.conn.Close() })
	receiver.handlers[kindDesiredState] = func(netip.Addr, []byte) {}
	part := func(number byte, index byte) []byte {
		return []byte{byte(kindDesiredState), 0, 0, 0, number, 0, index, 0, 2, 'x'}
	}
	require.False(t, receiver.isReceiving(kindDesiredState, time.Now()))
	receiver.handleDatagram(unknownSender, part(1, 0))
	now := time.Now()
	require.True(t, receiver.isReceiving(kindDesiredState, now))
	require.False(t, receiver.isReceiving(kindConsensus, now))
	require.False(t, receiver.isReceiving(kindDesiredState, now.Add(receivingTimeout)), "the sender has stopped")
	receiver.handleDatagram(unknownSender, part(1, 1))
	require.False(t, receiver.isReceiving(kindDesiredState, now), "the message is complete")
}
