// Package rpc provides JSON-RPC 2.0 connections over TCP, or over TLS with
// certificates verified on both sides.
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
	acceptRetryDelay = 100 * time.Millisecond
)

// Handler serves the requests of one connection.
type Handler = jsonrpc2.Handler

// Conn is one connection. Both sides can send requests and notifications.
type Conn = jsonrpc2.Conn

// Dial connects to a server. With a nil TLS configuration the connection is
// plain TCP, which is for loopback only.
func Dial(ctx context.Context, address string, config *tls.Config, handler Handler) (*Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	conn, err = tlsHandshake(ctx, conn, withServerName(config, address), false)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	// The connection outlives the dial context.
	ctx = withPeer(context.WithoutCancel(ctx), conn)
	return jsonrpc2.NewConn(ctx, newObjectStream(conn), handler, logErrorsTo(func(error) {})), nil
}

// errorLogger is a jsonrpc2 logger that passes each log line, which describes
// a broken connection, to a function as an error.
type errorLogger func(error)

// Printf implements jsonrpc2.Logger.
func (r errorLogger) Printf(format string, values ...any) { r(fmt.Errorf(format, values...)) }

func logErrorsTo(onError func(error)) jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(errorLogger(onError))
}

// tlsHandshake returns the TLS connection after a successful handshake. It
// returns the TCP connection itself without a TLS configuration. After a
// failed handshake it closes the connection.
func tlsHandshake(ctx context.Context, tcpConn net.Conn, config *tls.Config, server bool) (net.Conn, error) {
	if config == nil {
		return tcpConn, nil
	}
	tlsConn := tls.Client(tcpConn, config)
	if server {
		tlsConn = tls.Server(tcpConn, config)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = tcpConn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return tlsConn, nil
}

// Server accepts connections and serves all of them with one handler.
type Server struct {
	listener net.Listener
	config   *tls.Config
	handler  Handler

	mu             sync.Mutex
	closed         bool
	conns          map[*Conn]struct{}
	connHandlers   sync.WaitGroup
	requestCounter requestCounter
	// onConnError is called for a failed accept, a failed TLS handshake and a
	// connection that ended with a protocol error.
	onConnError func(error)
}

// Listen opens a listener. Serve must be called to accept connections.
// onConnError may be nil.
func Listen(address string, config *tls.Config, handler Handler, onConnError func(error)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if onConnError == nil {
		onConnError = func(error) {}
	}
	return &Server{listener: listener, config: config, handler: handler, conns: map[*Conn]struct{}{}, onConnError: onConnError}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve accepts connections until Close is called and then returns nil. After
// any other error it reports the error and tries again. For example, after too
// many open files, accepting succeeds again once connections have ended.
func (s *Server) Serve(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.onConnError(fmt.Errorf("accept connection: %w", err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.connHandlers.Add(1)
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, tcpConn net.Conn) {
	defer s.connHandlers.Done()
	netConn, err := tlsHandshake(ctx, tcpConn, s.config, true)
	if err != nil {
		s.onConnError(err)
		return
	}
	ctx = context.WithValue(withPeer(ctx, netConn), requestCounterKey{}, &s.requestCounter)
	conn := jsonrpc2.NewConn(ctx, newObjectStream(netConn), s.handler, logErrorsTo(s.onConnError))
	if !s.trackConn(conn) {
		_ = conn.Close()
		return
	}
	<-conn.DisconnectNotify()
	s.untrackConn(conn)
}

// trackConn adds a connection, or returns false if the server is closed.
func (s *Server) trackConn(conn *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrackConn(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return s.requestCounter.inProgress() }

// Drain marks all requests that are read from now on. See ReceivedDuringDrain.
func (s *Server) Drain() { s.requestCounter.startDrain() }

// Shutdown stops accepting connections, waits until no request is in progress
// or the context ends, and closes all connections. Open connections can still
// send requests. Handlers refuse those for which ReceivedDuringDrain is true.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	err := s.listener.Close()
	waitErr := s.requestCounter.waitIdle(ctx)
	return errors.Join(err, waitErr, s.Close())
}

// Close stops accepting connections, closes all connections and waits for them
// to end.
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
	s.connHandlers.Wait()
	return err
}
