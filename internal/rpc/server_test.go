package rpc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/rpc"
)

func serve(t *testing.T, methods rpc.Methods, onReject func(error)) *rpc.Server {
	t.Helper()
	s, err := rpc.Listen("127.0.0.1:0", nil, methods.Handler(), onReject)
	require.NoError(t, err)
	go func() { _ = s.Serve(context.Background()) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func dial(t *testing.T, s *rpc.Server, methods rpc.Methods) *rpc.Conn {
	t.Helper()
	conn, err := rpc.Dial(context.Background(), s.Address().String(), nil, methods.SerialHandler())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against memory that one message can exhaust: the sender refuses a
// message beyond the limit, and the receiver closes the connection before it
// reads one.
func TestMessageSizeIsBounded(t *testing.T) {
	rejected := make(chan error, 8)
	s := serve(t, rpc.Methods{}, func(err error) { rejected <- err })
	var size *rpc.SizeError
	err := dial(t, s, nil).Notify(context.Background(), "x", strings.Repeat("x", rpc.MaxMessage))
	require.ErrorAs(t, err, &size)
	for _, header := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", rpc.MaxMessage+1), strings.Repeat("x", 300), "Content-Length: -1\r\n\r\n",
	} {
		raw, err := net.Dial("tcp", s.Address().String())
		require.NoError(t, err)
		_, err = raw.Write([]byte(header))
		require.NoError(t, err)
		require.NoError(t, raw.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = raw.Read(make([]byte, 1))
		require.Error(t, err)
		require.False(t, isTimeout(err), "the server must close the connection")
		require.NoError(t, raw.Close())
		require.Error(t, <-rejected)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // net returns it unwrapped.
	return ok && timeout.Timeout()
}

// Guards against a planned stop that cuts a request in progress or its answer,
// and against one that takes new connections.
func TestShutdownFinishesRequests(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := serve(t, rpc.Methods{"slow": func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
		close(entered)
		<-release
		return "finished", nil
	}, "late": func(ctx context.Context, _ *rpc.Conn, _ json.RawMessage) (any, error) {
		return rpc.ReceivedDuringDrain(ctx), nil
	}}, nil)
	conn := dial(t, s, nil)
	answer := make(chan error, 1)
	var result string
	go func() { answer <- conn.Call(context.Background(), "slow", nil, &result) }()
	<-entered
	require.Equal(t, 1, s.InProgress())
	require.False(t, callLate(t, conn), "a request before the stop must not be refused")
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		raw, err := net.Dial("tcp", s.Address().String())
		if err == nil {
			_ = raw.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, stopped)
	require.True(t, callLate(t, conn))
	close(release)
	require.NoError(t, <-answer)
	require.Equal(t, "finished", result)
	require.NoError(t, <-stopped)
}

func callLate(t *testing.T, conn *rpc.Conn) (late bool) {
	t.Helper()
	require.NoError(t, conn.Call(context.Background(), "late", nil, &late))
	return late
}

// Guards against notifications that overtake the response that announces them.
func TestFollowUpComesAfterTheResponse(t *testing.T) {
	s := serve(t, rpc.Methods{"subscribe": func(ctx context.Context, conn *rpc.Conn, _ json.RawMessage) (any, error) {
		return rpc.ResultWithCallback{Result: "first", AfterWrite: func() { _ = conn.Notify(ctx, "update", "second") }}, nil
	}}, nil)
	for range 50 {
		order := make(chan string, 2)
		conn := dial(t, s, rpc.Methods{"update": func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			text, err := rpc.Decode[string](params)
			order <- text
			return nil, err
		}})
		waiter, err := conn.DispatchCall(context.Background(), "subscribe", nil)
		require.NoError(t, err)
		require.Equal(t, "second", <-order)
		// The reader delivered the response before it took the notification.
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		var result string
		if err := waiter.Wait(ended, &result); err == nil {
			require.Equal(t, "first", result)
		}
		require.NoError(t, conn.Close())
	}
}
