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

func startServer(t *testing.T, methods rpc.Methods, onReject func(error)) *rpc.Server {
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

// Guards against a message that exhausts the memory. The sender must refuse a
// message beyond the limit. The receiver must close the connection before it
// reads such a message.
func TestMessageSizeIsBounded(t *testing.T) {
	rejected := make(chan error, 8)
	s := startServer(t, rpc.Methods{}, func(err error) { rejected <- err })
	var sizeErr *rpc.SizeError
	err := dial(t, s, nil).Notify(context.Background(), "x", strings.Repeat("x", rpc.MaxMessageBytes))
	require.ErrorAs(t, err, &sizeErr)
	for _, header := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", rpc.MaxMessageBytes+1), strings.Repeat("x", 300), "Content-Length: -1\r\n\r\n",
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

// Guards against a planned stop that aborts a request in progress or loses its
// response. Also guards against a server that accepts connections after the
// stop.
func TestShutdownFinishesRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, rpc.Methods{"slow": func(context.Context, *rpc.Conn, json.RawMessage) (any, error) {
		close(started)
		<-release
		return "finished", nil
	}, "late": func(ctx context.Context, _ *rpc.Conn, _ json.RawMessage) (any, error) {
		return rpc.ReceivedDuringDrain(ctx), nil
	}}, nil)
	conn := dial(t, s, nil)
	callDone := make(chan error, 1)
	var result string
	go func() { callDone <- conn.Call(context.Background(), "slow", nil, &result) }()
	<-started
	require.Equal(t, 1, s.InProgress())
	require.False(t, callDuringDrain(t, conn), "a request that was read before the stop must not be refused")
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		raw, err := net.Dial("tcp", s.Address().String())
		if err == nil {
			_ = raw.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, shutdownDone)
	require.True(t, callDuringDrain(t, conn))
	close(release)
	require.NoError(t, <-callDone)
	require.Equal(t, "finished", result)
	require.NoError(t, <-shutdownDone)
}

func callDuringDrain(t *testing.T, conn *rpc.Conn) (duringDrain bool) {
	t.Helper()
	require.NoError(t, conn.Call(context.Background(), "late", nil, &duringDrain))
	return duringDrain
}

// Guards against notifications that are sent before the response of their
// subscription.
func TestCallbackRunsAfterResponse(t *testing.T) {
	s := startServer(t, rpc.Methods{"subscribe": func(ctx context.Context, conn *rpc.Conn, _ json.RawMessage) (any, error) {
		return rpc.ResultWithCallback{Result: "first", AfterWrite: func() { _ = conn.Notify(ctx, "update", "second") }}, nil
	}}, nil)
	for range 50 {
		order := make(chan string, 2)
		conn := dial(t, s, rpc.Methods{"update": func(_ context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
			text, err := rpc.Decode[string](params)
			order <- text
			return nil, err
		}})
		pendingCall, err := conn.DispatchCall(context.Background(), "subscribe", nil)
		require.NoError(t, err)
		require.Equal(t, "second", <-order)
		// The reader has already delivered the response. With a cancelled
		// context, Wait can only return a result that is available already.
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		var result string
		if err := pendingCall.Wait(cancelled, &result); err == nil {
			require.Equal(t, "first", result)
		}
		require.NoError(t, conn.Close())
	}
}
