package fabric

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/directory"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// silentReload is after which time without an answer of control the
	// settings are read again: they may name other seeds.
	silentReload = 3 * time.Second
	// maxDesiredBytes bounds the decompressed desired state.
	maxDesiredBytes = 16 << 20
)

// fetch asks a control process for the desired state.
type fetch struct {
	_ struct{} `cbor:",toarray"`

	// Above is the version that the asking process has.
	Above uint64
}

// node is what all processes have in common: the link, the directory and one
// lock over the decisions of the process.
type node struct {
	Dependencies
	cfg  Config
	link *link

	mu      sync.Mutex
	client  *directory.Client
	timer   *time.Timer
	timerAt time.Time
	// due is called with the lock held when the timer fires.
	due func(now time.Time)
	// deadline returns when due has something to do next; zero if never.
	deadline func() time.Time

	answerAt time.Time
	reloadAt time.Time
	version  uint64
	closed   bool
}

func newNode(cfg Config, env Dependencies, role vm.Role, port uint16, subscribe bool) (*node, error) {
	l, err := openLink(cfg.Address, port, cfg.RelayOffset)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n := &node{Dependencies: env, cfg: cfg, link: l, answerAt: now}
	n.client = directory.NewClient(directory.ClientConfig{
		Self: directory.Record{
			VM: cfg.VM, Role: role, Address: cfg.Address, PacketPort: cfg.PacketAddress.Port(), Zone: cfg.Zone,
			ProcessIncarnation: uint64(now.UnixMilli()), Revision: 1, Status: "starting", Service: cfg.Service,
		},
		Seeds: cfg.Seeds, Subscribe: subscribe, Random: newRandom(),
	}, now)
	n.timer = time.AfterFunc(time.Hour, n.fire)
	return n, nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Spreads load; needs no secrecy.
}

// fire runs what is due.
func (n *node) fire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.timerAt = time.Time{}
	now := time.Now()
	n.ask(n.client.Tick(now))
	n.fetchDesired(now)
	n.reloadIfSilent(now)
	n.due(now)
	n.plan(now)
}

// plan sets the timer to the next deadline. The lock is held.
func (n *node) plan(now time.Time) {
	next := n.client.Deadline()
	if at := n.deadline(); !at.IsZero() && at.Before(next) {
		next = at
	}
	if next.Equal(n.timerAt) {
		return
	}
	n.timerAt = next
	n.timer.Reset(max(next.Sub(now), 0))
}

func (n *node) ask(requests []directory.AddressedRequest) {
	for i := range requests {
		n.lost(n.link.send(requests[i].To, n.cfg.ControlPort, kindAsk, &requests[i].SyncRequest))
	}
}

// lost notes a message that could not be sent. It counts as lost on the way.
func (n *node) lost(err error) {
	if err != nil {
		n.count("link.not_sent")
		n.Log.WithError(err).Debug("message not sent")
	}
}

// rejected notes a message that cannot be read. Anybody can send one, so that
// lines about them are for debugging only.
func (n *node) rejected(err error) {
	n.count("link.rejected")
	n.Log.WithError(err).Debug("message rejected")
}

func (n *node) count(name string) { metrics.GetOrRegisterCounter(name, n.Registry).Inc(1) }

// histogramSamples bounds the memory of a histogram to some kilobytes.
const histogramSamples = 256

// observeTime adds a duration in microseconds to a histogram.
func (n *node) observeTime(name string, took time.Duration) {
	h := n.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSamples))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(took.Microseconds())
	}
}

func (n *node) gauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, n.Registry).Update(int64(value))
}

// reloadIfSilent reads the settings again while no control process answers.
func (n *node) reloadIfSilent(now time.Time) {
	if now.Sub(n.answerAt) < silentReload || now.Sub(n.reloadAt) < silentReload {
		return
	}
	n.reloadAt = now
	n.readSettings(now)
}

func (n *node) readSettings(now time.Time) {
	cfg, err := n.Dependencies.Reload()
	if err != nil {
		n.Log.WithError(err).Error("settings not reloaded; the former ones stay in force")
		return
	}
	n.client.SetSeeds(now, cfg.Seeds)
	n.Log.WithField("seeds", cfg.Seeds).Info("settings reloaded")
}

// Reload takes over changed settings.
func (n *node) Reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readSettings(time.Now())
}

// answered merges an answer of control and asks for a newer desired state.
func (n *node) answered(now time.Time, from netip.Addr, a *directory.SyncResponse) directory.SyncResult {
	n.answerAt = now
	news := n.client.SyncResponse(now, from, a)
	if news.FirstResponse {
		n.Log.WithFields(logrus.Fields{"control": from, "version": a.Version}).Info("control reached")
	}
	n.ask(news.Requests)
	n.fetchDesired(now)
	return news
}

// fetchDesired asks for a newer desired state if there is one.
func (n *node) fetchDesired(now time.Time) {
	if from, due := n.client.FetchSource(now); due {
		n.lost(n.link.send(from, n.cfg.ControlPort, kindFetch, &fetch{Above: n.version}))
	}
}

// tookVersion notes the version that is in force here.
func (n *node) tookVersion(version uint64) {
	n.version = version
	n.client.SetVersion(version)
}

// close ends the link and the timer.
func (n *node) close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.timer.Stop()
	return n.link.conn.Close()
}

// packDesired encodes a desired state for nodes.
func packDesired(d *intent.Desired) ([]byte, error) {
	plain, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode desired state: %w", err)
	}
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress desired state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress desired state: %w", err)
	}
	return buffer.Bytes(), nil
}

func unpackDesired(payload []byte) (*intent.Desired, error) {
	r, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, fmt.Errorf("decompress desired state: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDesiredBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress desired state: %w", err)
	}
	d := &intent.Desired{}
	if err := cbor.Unmarshal(plain, d); err != nil {
		return nil, fmt.Errorf("decode desired state: %w", err)
	}
	return d, nil
}
