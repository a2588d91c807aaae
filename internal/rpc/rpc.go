// Package rpc carries jsonrpc2 over TCP, or over TLS with both sides verified.
package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	dialTimeout      = 3 * time.Second
	handshakeTimeout = 3 * time.Second
	acceptPause      = 100 * time.Millisecond
)

// Handler answers the requests of one connection.
type Handler = jsonrpc2.Handler

// Conn is one connection. Both sides can call and notify.
type Conn = jsonrpc2.Conn

// Dial connects to a server. With a nil TLS configuration the connection is
// plain TCP, which is meant for loopback only.
func Dial(ctx context.Context, address string, config *tls.Config, handler Handler) (*Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	raw, err = secure(ctx, raw, withServerName(config, address), false)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	// The connection outlives the dial context.
	ctx = withPeer(context.WithoutCancel(ctx), raw)
	return jsonrpc2.NewConn(ctx, stream(raw), handler, reportTo(func(error) {})), nil
}

// reporter passes what jsonrpc2 logs about a broken connection to a function.
type reporter func(error)

// Printf implements jsonrpc2.Logger.
func (r reporter) Printf(format string, values ...any) { r(fmt.Errorf(format, values...)) }

func reportTo(report func(error)) jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(reporter(report)) }

func secure(ctx context.Context, raw net.Conn, config *tls.Config, server bool) (net.Conn, error) {
	if config == nil {
		return raw, nil
	}
	conn := tls.Client(raw, config)
	if server {
		conn = tls.Server(raw, config)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return conn, nil
}

// Server accepts connections and answers them with one handler.
type Server struct {
	listener net.Listener
	config   *tls.Config
	handler  Handler

	mu     sync.Mutex
	closed bool
	conns  map[*Conn]struct{}
	done   sync.WaitGroup
	calls  calls
	// onReject is told about connections that failed the TLS handshake or sent
	// something that is not a message.
	onReject func(error)
}

// Listen opens a listener. Serve must be called to accept connections.
func Listen(address string, config *tls.Config, handler Handler, onReject func(error)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if onReject == nil {
		onReject = func(error) {}
	}
	return &Server{listener: listener, config: config, handler: handler, conns: map[*Conn]struct{}{}, onReject: onReject}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve accepts connections until Close is called, and then returns nil. After
// any other error, for example too many open files, it reports the error and
// tries again, because connections that end free what is missing.
func (s *Server) Serve(ctx context.Context) error {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.onReject(fmt.Errorf("accept: %w", err))
			time.Sleep(acceptPause)
			continue
		}
		s.done.Add(1)
		go s.serveConn(ctx, raw)
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer s.done.Done()
	secured, err := secure(ctx, raw, s.config, true)
	if err != nil {
		s.onReject(err)
		return
	}
	ctx = context.WithValue(withPeer(ctx, secured), callsKey{}, &s.calls)
	conn := jsonrpc2.NewConn(ctx, stream(secured), s.handler, reportTo(s.onReject))
	if !s.add(conn) {
		_ = conn.Close()
		return
	}
	<-conn.DisconnectNotify()
	s.remove(conn)
}

func (s *Server) add(conn *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return s.calls.inProgress() }

// Drain marks all requests that are read from now on; see ReceivedDuringDrain.
func (s *Server) Drain() { s.calls.drain() }

// Shutdown stops accepting, waits until no request is in progress or the
// context ends, and closes all connections. Connections that are already open
// can still bring requests; handlers refuse those that ReceivedDuringDrain reports.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	err := s.listener.Close()
	waitErr := s.calls.wait(ctx)
	return errors.Join(err, waitErr, s.Close())
}

// Close stops accepting, closes all connections and waits for them.
func (s *Server) Close() error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return err
}
