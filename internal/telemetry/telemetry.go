package telemetry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// NewLogger returns a logger that writes one JSON object per line. Every line
// names the program and the VM.
func NewLogger(out io.Writer, program string, id vm.ID, level string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, DisableHTMLEscape: true})
	return logger.WithFields(logrus.Fields{"program": program, "vm": string(id)}), nil
}

// Health is the answer of /healthz.
type Health struct {
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
}

// Handler serves /healthz (200 or 503) and /metrics (JSON).
func Handler(registry metrics.Registry, health func() Health) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		h := health()
		w.Header().Set("Content-Type", "application/json")
		if !h.Healthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(h)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
	return mux
}

// Server serves a handler on one address until its context ends.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen opens the address. Serve must be called to answer requests.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Server{listener: listener, http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve answers requests until the context ends, then lets requests in
// progress finish.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve HTTP: %w", err)
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(stopping)
	if serveErr := <-failed; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}
