package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// Upstream is a stand-in HTTP server. GET / returns its name. GET
// /download?bytes=N&seed=S&seconds=T returns N pseudo-random bytes over T seconds.
// GET /health returns its load.
type Upstream struct {
	id                vm.ID
	slots             int
	listener          net.Listener
	server            *http.Server
	activeRequests    atomic.Int64
	completedRequests atomic.Int64
}

const (
	maxDownloadBytes = 1 << 30
	chunkBytes       = 64 << 10
	shutdownTimeout  = 2 * time.Second
)

// NewUpstream returns a server that listens on an address. Run serves requests.
func NewUpstream(id vm.ID, address string, slots int) (*Upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", id, err)
	}
	upstream := &Upstream{id: id, slots: slots, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", upstream.countRequests(upstream.serveName))
	mux.HandleFunc("GET /download", upstream.countRequests(upstream.serveDownload))
	mux.HandleFunc("GET /health", upstream.serveHealth)
	upstream.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return upstream, nil
}

// CompletedRequests returns the number of requests that the server has completed,
// without those for its health.
func (u *Upstream) CompletedRequests() int64 { return u.completedRequests.Load() }

// Run serves requests until the context is done. It waits up to shutdownTimeout for
// active requests and then closes their connections.
func (u *Upstream) Run(ctx context.Context) error {
	serveResult := make(chan error, 1)
	go func() { serveResult <- u.server.Serve(u.listener) }()
	select {
	case err := <-serveResult:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := u.server.Shutdown(shutdownCtx); err != nil {
		_ = u.server.Close()
	}
	if err := <-serveResult; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (u *Upstream) countRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.activeRequests.Add(1)
		defer u.activeRequests.Add(-1)
		next(w, r)
		u.completedRequests.Add(1)
	}
}

func (u *Upstream) serveName(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "answered by %s for %s\n", u.id, r.RemoteAddr)
}

func (u *Upstream) serveDownload(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > maxDownloadBytes {
		http.Error(w, "bytes: want a number from 0 to 1073741824", http.StatusBadRequest)
		return
	}
	seed, err := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if err != nil {
		http.Error(w, "seed: want a number", http.StatusBadRequest)
		return
	}
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("seconds"), 64)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set("X-Upstream", string(u.id))
	chunkPause := time.Duration(seconds * float64(time.Second) * chunkBytes / float64(max(size, 1)))
	u.writeBody(w, seed, size, chunkPause)
}

// writeBody writes the body in chunks with a pause after each.
func (u *Upstream) writeBody(w http.ResponseWriter, seed uint64, remaining int, chunkPause time.Duration) {
	body := DownloadBody(seed)
	chunk := make([]byte, chunkBytes)
	for remaining > 0 {
		n := min(remaining, len(chunk))
		_, _ = body.Read(chunk[:n])
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
		time.Sleep(chunkPause)
	}
}

// DownloadBody returns a reader of the bytes that a download with the given seed
// returns.
func DownloadBody(seed uint64) *rand.ChaCha8 {
	var key [32]byte
	copy(key[:], strconv.FormatUint(seed, 10))
	return rand.NewChaCha8(key)
}

// HealthResponse is the response of the health endpoint.
type HealthResponse struct {
	Status string `json:"status"`
	Busy   int64  `json:"busy"`
	Slots  int    `json:"slots"`
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(HealthResponse{Status: "ok", Busy: u.activeRequests.Load(), Slots: u.slots})
}
