// Package controlapi defines the JSON-RPC methods and messages between
// operators and processes. Balancers and agents serve StatusGet, EventsList
// and ExplainFlow. bramley-control serves all methods except ExplainFlow,
// since it handles no flows.
package controlapi

import (
	"encoding/json"
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// The jsonrpc2 methods.
const (
	IntentPropose            = "intent.propose"   // ProposeRequest -> intent.Result
	IntentGet                = "intent.get"       // GetRequest -> intent.State
	IntentSubscribe          = "intent.subscribe" // SubscribeRequest -> IntentUpdate, then notifications
	IntentUpdateNotification = "intent.update"    // notification with IntentUpdate
	IntentHistory            = "intent.history"   // HistoryRequest -> []intent.HistoryEntry
	MembersAnnounce          = "members.announce" // view.Member -> AnnounceResponse
	MembersList              = "members.list"     // no parameters -> []view.Member
	StatusGet                = "status.get"       // no parameters -> Status
	EventsList               = "events.list"      // EventsRequest -> []event.Event
	ExplainFlow              = "explain.flow"     // ExplainRequest -> Explanation
	ReplicaMessage           = "replica.message"  // notification with ReplicaEnvelope between control replicas
	ReplicaForward           = "replica.forward"  // ForwardRequest -> result of the forwarded method
)

// The jsonrpc2 error codes of this API.
const (
	CodeNotLeader     int64 = 1001 // data: NotLeaderData; send the request to the leader
	CodeUnavailable   int64 = 1002 // no quorum within the deadline; the outcome is unknown, retry with the same operation id
	CodeInvalid       int64 = 1003 // data: finding.List
	CodeNotAuthorized int64 = 1004 // the certificate does not allow the method
)

// NotLeaderData is the data of CodeNotLeader.
type NotLeaderData struct {
	Leader  vm.ID  `json:"leader,omitempty"`
	Address string `json:"address,omitempty"`
}

// ProposeRequest proposes a change. With DryRun the response has the result
// that the change would have, and nothing is changed.
type ProposeRequest struct {
	Change intent.Change `json:"change"`
	DryRun bool          `json:"dry_run,omitempty"`
}

// GetRequest reads the current state. A linearizable read is confirmed by a
// quorum. Otherwise the replica returns the state that it has applied.
type GetRequest struct {
	Linearizable bool `json:"linearizable,omitempty"`
}

// SubscribeRequest subscribes to every revision after the one that the node
// has applied.
type SubscribeRequest struct {
	VM       vm.ID  `json:"vm"`
	Revision uint64 `json:"revision"`
	// Snapshot requests the whole state in the response if there is a later
	// revision. A node sets it after it could not apply a delta.
	Snapshot bool `json:"snapshot,omitempty"`
}

// IntentUpdate takes a subscriber from one revision to a later one. It has
// either the accepted changes in order or the whole state.
type IntentUpdate struct {
	FromRevision uint64          `json:"from_revision"`
	ToRevision   uint64          `json:"to_revision"`
	Changes      []intent.Change `json:"changes,omitempty"`
	Snapshot     *intent.State   `json:"snapshot,omitempty"`
}

// Advance returns the state after the update. The given state may be nil and
// is not modified. The revision never decreases: changes that the state
// already includes are skipped. A gap before a change is reported as
// *intent.BaseRevisionError. The node then subscribes again from its revision.
func (u IntentUpdate) Advance(state *intent.State) (*intent.State, error) {
	if state == nil {
		state = &intent.State{}
	}
	if u.Snapshot != nil && u.Snapshot.Revision > state.Revision {
		state = u.Snapshot
	}
	for _, change := range u.Changes {
		if change.BaseRevision < state.Revision {
			continue
		}
		next, err := intent.Replay(state, change)
		if err != nil {
			return nil, err
		}
		state = next
	}
	return state, nil
}

// ReplicaEnvelope carries one message between control replicas, encoded in
// CBOR.
type ReplicaEnvelope struct {
	Message []byte `json:"message"`
}

// ForwardRequest is a request that one replica forwards to another.
type ForwardRequest struct {
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
}

// HistoryRequest reads the latest history entries.
type HistoryRequest struct {
	Limit int `json:"limit"`
}

// AnnounceResponse reports whether the announcement was accepted, with the
// reason if it was not.
type AnnounceResponse struct {
	Allowed bool   `json:"allowed"`
	Reason  string `json:"reason,omitempty"`
}

// Status is the state of one process.
type Status struct {
	VM          vm.ID          `json:"vm"`
	Role        vm.Role        `json:"role"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Revision    uint64         `json:"revision"`
	// PendingOnStop names the event that a stopping process is waiting for.
	PendingOnStop string           `json:"waiting_for,omitempty"`
	Counters      map[string]int64 `json:"counters,omitempty"`
	Replica       *ReplicaStatus   `json:"replica,omitempty"`
	Upstream      *UpstreamStatus  `json:"upstream,omitempty"`
}

// ReplicaStatus is the state of a control replica.
type ReplicaStatus struct {
	Leader   vm.ID   `json:"leader,omitempty"`
	Term     uint64  `json:"term"`
	Commit   uint64  `json:"commit"`
	Applied  uint64  `json:"applied"`
	Voters   []vm.ID `json:"voters"`
	Learners []vm.ID `json:"learners,omitempty"`
}

// UpstreamStatus is the state of an upstream as its agent reports it.
type UpstreamStatus struct {
	Service     service.Name `json:"service"`
	Status      view.Status  `json:"status"`
	Slots       int          `json:"slots"`
	Busy        int          `json:"busy"`
	Queued      int          `json:"queued"`
	Flows       int          `json:"flows"`
	HalfOpen    int          `json:"half_open"`
	Connections int          `json:"connections"`
}

// EventsRequest reads the latest events, all or those of one object.
type EventsRequest struct {
	Limit  int    `json:"limit"`
	Object string `json:"object,omitempty"`
}

// ExplainRequest selects the flow to explain.
type ExplainRequest struct {
	Caller   netip.AddrPort   `json:"caller"`
	Endpoint service.Endpoint `json:"endpoint"`
}

// Explanation reports where a node sends the packets of a flow and why.
type Explanation struct {
	Node    string        `json:"node"`
	Service service.Name  `json:"service,omitempty"`
	Holder  vm.ID         `json:"holder,omitempty"`
	Home    vm.ID         `json:"home,omitempty"`
	Placer  vm.ID         `json:"placer,omitempty"`
	Ranking []vm.ID       `json:"ranking,omitempty"`
	Reasons []string      `json:"reasons"`
	Events  []event.Event `json:"events,omitempty"`
}
