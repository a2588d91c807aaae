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

// NewLogger returns a logger that writes one JSON object per line. Every line has
// the program and the VM as fields.
func NewLogger(out io.Writer, program string, id vm.ID, level string) (*logrus.Entry, error) {
	parsedLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsedLevel)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, DisableHTMLEscape: true})
	return logger.WithFields(logrus.Fields{"program": program, "vm": string(id)}), nil
}

// Health is the response body of /healthz.
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

// Listen opens a TCP listener on the address. Serve processes requests.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Server{listener: listener, http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve serves requests until the context ends. It then waits up to
// shutdownTimeout for requests in progress to finish.
func (s *Server) Serve(ctx context.Context) error {
	serveResult := make(chan error, 1)
	go func() { serveResult <- s.http.Serve(s.listener) }()
	select {
	case err := <-serveResult:
		return fmt.Errorf("serve HTTP: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(shutdownCtx)
	if serveErr := <-serveResult; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}
