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
	// reloadAfterNoResponse is the time without a response of any control process
	// after which the settings are read again. They may list other seeds by then.
	reloadAfterNoResponse = 3 * time.Second
	// maxDesiredBytes bounds the decompressed size of a desired state.
	maxDesiredBytes = 16 << 20
)

// fetchRequest requests the desired state from a control process.
type fetchRequest struct {
	_ struct{} `cbor:",toarray"`

	// AboveVersion is the version that the requesting process has applied. Control
	// responds only if it has a later one.
	AboveVersion uint64
}

// node is the part that balancers, agents and control processes share: the
// message transport, the directory client and the timer. Its lock guards all
// decisions of the process.
type node struct {
	Dependencies
	cfg       Config
	transport *transport

	mu              sync.Mutex
	directoryClient *directory.Client
	timer           *time.Timer
	// timerDeadline is when the timer fires next.
	timerDeadline time.Time
	// onTimer is called with the lock held when the timer fires.
	onTimer func(now time.Time)
	// nextDeadline returns when onTimer must be called next, or zero if no call is
	// due.
	nextDeadline func() time.Time

	// lastResponseAt is when the last sync response of control arrived.
	lastResponseAt time.Time
	lastReloadAt   time.Time
	// appliedVersion is the version of the desired state that this process uses.
	appliedVersion uint64
	closed         bool
}

func newNode(cfg Config, deps Dependencies, role vm.Role, port uint16, subscribe bool) (*node, error) {
	t, err := openTransport(cfg.Address, port, cfg.RelayOffset)
	if err != nil {
		return nil, err
	}
	// Only control processes send messages that are sent again by part.
	t.resendPort = cfg.ControlPort
	now := time.Now()
	n := &node{Dependencies: deps, cfg: cfg, transport: t, lastResponseAt: now}
	t.countParts = func(name string, parts int) { metrics.GetOrRegisterCounter(name, n.Registry).Inc(int64(parts)) }
	n.directoryClient = directory.NewClient(directory.ClientConfig{
		Self: directory.Record{
			VM: cfg.VM, Role: role, Address: cfg.Address, PacketPort: cfg.PacketAddress.Port(), Zone: cfg.Zone,
			ProcessIncarnation: uint64(now.UnixMilli()), Revision: 1, Status: "starting", Service: cfg.Service,
		},
		Seeds: cfg.Seeds, Subscribe: subscribe, Random: newRandom(),
	}, now)
	n.timer = time.AfterFunc(time.Hour, n.handleTimer)
	return n, nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Spreads load; needs no secrecy.
}

// handleTimer sends the messages that are due and calls onTimer.
func (n *node) handleTimer() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.timerDeadline = time.Time{}
	now := time.Now()
	n.sendSyncRequests(n.directoryClient.Tick(now))
	n.requestNewerDesired(now)
	n.reloadIfControlNotResponding(now)
	n.onTimer(now)
	n.resetTimer(now)
}

// resetTimer sets the timer to the next deadline. It is called with the lock held.
func (n *node) resetTimer(now time.Time) {
	next := n.directoryClient.Deadline()
	if deadline := n.nextDeadline(); !deadline.IsZero() && deadline.Before(next) {
		next = deadline
	}
	if next.Equal(n.timerDeadline) {
		return
	}
	n.timerDeadline = next
	n.timer.Reset(max(next.Sub(now), 0))
}

func (n *node) sendSyncRequests(requests []directory.AddressedRequest) {
	for i := range requests {
		n.countSendError(n.transport.send(requests[i].To, n.cfg.ControlPort, kindSyncRequest, &requests[i].SyncRequest))
	}
}

// countSendError counts a message or packet that could not be sent. It is then
// treated like one that was lost in the network. A nil error counts nothing.
func (n *node) countSendError(err error) {
	if err != nil {
		n.incrementCounter("link.not_sent")
		n.Log.WithError(err).Debug("message not sent")
	}
}

// countRejected counts a message that cannot be decoded. It logs at debug level
// only, because any host can send such messages.
func (n *node) countRejected(err error) {
	n.incrementCounter("link.rejected")
	n.Log.WithError(err).Debug("message rejected: cannot be decoded")
}

func (n *node) incrementCounter(name string) { metrics.GetOrRegisterCounter(name, n.Registry).Inc(1) }

// maxHistogramSamples bounds the memory of a histogram to some kilobytes.
const maxHistogramSamples = 256

// recordDuration adds a duration in microseconds to a histogram.
func (n *node) recordDuration(name string, took time.Duration) {
	h := n.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(maxHistogramSamples))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(took.Microseconds())
	}
}

func (n *node) setGauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, n.Registry).Update(int64(value))
}

// reloadIfControlNotResponding reads the settings again if no control process has
// responded for reloadAfterNoResponse.
func (n *node) reloadIfControlNotResponding(now time.Time) {
	if now.Sub(n.lastResponseAt) < reloadAfterNoResponse || now.Sub(n.lastReloadAt) < reloadAfterNoResponse {
		return
	}
	n.lastReloadAt = now
	n.reloadSettings(now)
}

func (n *node) reloadSettings(now time.Time) {
	cfg, err := n.Dependencies.Reload()
	if err != nil {
		n.Log.WithError(err).Error("settings not reloaded; the previous settings remain in use")
		return
	}
	n.directoryClient.SetSeeds(now, cfg.Seeds)
	n.Log.WithField("seeds", cfg.Seeds).Info("settings reloaded")
}

// Reload reads the settings again and applies the changed seeds.
func (n *node) Reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reloadSettings(time.Now())
}

// mergeSyncResponse merges a sync response into the directory, and requests the
// desired state if control has a later version.
func (n *node) mergeSyncResponse(now time.Time, from netip.Addr, response *directory.SyncResponse) directory.SyncResult {
	n.lastResponseAt = now
	result := n.directoryClient.HandleSyncResponse(now, from, response)
	if result.FirstResponse {
		n.Log.WithFields(logrus.Fields{"control": from, "version": response.Version}).Info("first sync response of control received")
	}
	n.sendSyncRequests(result.Requests)
	n.requestNewerDesired(now)
	return result
}

// requestNewerDesired requests the desired state if control has a later version and none
// is arriving.
func (n *node) requestNewerDesired(now time.Time) {
	if n.transport.isReceiving(kindDesiredState, now) {
		n.directoryClient.PostponeFetch(now)
		return
	}
	if from, due := n.directoryClient.FetchSource(now); due {
		n.countSendError(n.transport.send(from, n.cfg.ControlPort, kindFetchRequest, &fetchRequest{AboveVersion: n.appliedVersion}))
	}
}

// setAppliedVersion stores the version of the desired state that this process has
// applied.
func (n *node) setAppliedVersion(version uint64) {
	n.appliedVersion = version
	n.directoryClient.SetVersion(version)
}

// close closes the message socket and stops the timer.
func (n *node) close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.timer.Stop()
	return n.transport.conn.Close()
}

// encodeDesired encodes and compresses a desired state to send it to balancers.
func encodeDesired(desired *intent.DesiredState) ([]byte, error) {
	plain, err := cbor.Marshal(desired)
	if err != nil {
		return nil, fmt.Errorf("encode desired state: %w", err)
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress desired state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress desired state: %w", err)
	}
	return compressed.Bytes(), nil
}

func decodeDesired(payload []byte) (*intent.DesiredState, error) {
	r, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, fmt.Errorf("decompress desired state: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDesiredBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress desired state: %w", err)
	}
	desired := &intent.DesiredState{}
	if err := cbor.Unmarshal(plain, desired); err != nil {
		return nil, fmt.Errorf("decode desired state: %w", err)
	}
	return desired, nil
}
