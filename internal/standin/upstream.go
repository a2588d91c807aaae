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

// Upstream is an ordinary HTTP server that says who it is and offers bodies to
// download. GET / names the server, GET /download?bytes=N&seed=S&seconds=T
// returns N pseudo-random bytes spread over T seconds, and GET /health its load.
type Upstream struct {
	id       vm.ID
	slots    int
	listener net.Listener
	server   *http.Server
	busy     atomic.Int64
	served   atomic.Int64
}

const (
	maxDownloadBytes = 1 << 30
	chunkBytes       = 64 << 10
	stopTimeout      = 2 * time.Second
)

// NewUpstream listens on an address.
func NewUpstream(id vm.ID, address string, slots int) (*Upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", id, err)
	}
	u := &Upstream{id: id, slots: slots, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", u.count(u.name))
	mux.HandleFunc("GET /download", u.count(u.download))
	mux.HandleFunc("GET /health", u.health)
	u.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return u, nil
}

// Served returns how many requests were answered.
func (u *Upstream) Served() int64 { return u.served.Load() }

// Run serves until the context ends.
func (u *Upstream) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- u.server.Serve(u.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := u.server.Shutdown(stopping); err != nil {
		_ = u.server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (u *Upstream) count(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.busy.Add(1)
		defer u.busy.Add(-1)
		next(w, r)
		u.served.Add(1)
	}
}

func (u *Upstream) name(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "answered by %s for %s\n", u.id, r.RemoteAddr)
}

func (u *Upstream) download(w http.ResponseWriter, r *http.Request) {
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
	pause := time.Duration(seconds * float64(time.Second) * chunkBytes / float64(max(size, 1)))
	u.send(w, seed, size, pause)
}

// send writes the body in chunks with a pause after each.
func (u *Upstream) send(w http.ResponseWriter, seed uint64, size int, pause time.Duration) {
	body := NewBody(seed)
	chunk := make([]byte, chunkBytes)
	for size > 0 {
		n := min(size, len(chunk))
		_, _ = body.Read(chunk[:n])
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
		time.Sleep(pause)
	}
}

// NewBody returns the content of the download with the given seed.
func NewBody(seed uint64) *rand.ChaCha8 {
	var key [32]byte
	copy(key[:], strconv.FormatUint(seed, 10))
	return rand.NewChaCha8(key)
}

// Load is the answer of the health endpoint.
type Load struct {
	Status string `json:"status"`
	Busy   int64  `json:"busy"`
	Slots  int    `json:"slots"`
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Load{Status: "ok", Busy: u.busy.Load(), Slots: u.slots})
}
