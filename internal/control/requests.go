package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// maxInventoryBytes bounds an inventory. 6,600 machines take about 1.2 MB.
	maxInventoryBytes = 4 << 20
	// maxRuleBytes bounds every other change.
	maxRuleBytes = 16 << 10
	// maxFindings and shownFindings bound the findings in an answer and in its
	// message.
	maxFindings   = 1000
	shownFindings = 5
	// sampleSize and sampleAlpha weigh a histogram towards the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// retryPause is the pause before a request is tried again while no leader
	// is known or the known one refuses.
	retryPause = 50 * time.Millisecond
)

// handlePropose decides a change through the leader.
func (s *Server) handlePropose(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	metrics.GetOrRegisterCounter("control.proposals", s.registry).Inc(1)
	request, err := checkPropose(ctx, params)
	if err != nil {
		metrics.GetOrRegisterCounter("control.proposals.invalid", s.registry).Inc(1)
		return nil, err
	}
	var result intent.Result
	started := time.Now()
	err = s.throughLeader(ctx, controlapi.IntentPropose, request, &result, func(ctx context.Context) error {
		var err error
		result, err = s.proposeHere(ctx, request)
		return err
	})
	s.proposeTimes().Update(time.Since(started).Microseconds())
	return result, err
}

// proposeTimes holds how long proposals took, in microseconds. A metrics.Timer
// would add a goroutine that never ends.
func (s *Server) proposeTimes() metrics.Histogram {
	return s.registry.GetOrRegister("control.proposals.us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// checkPropose reads a request and reports everything that is wrong with it.
func checkPropose(ctx context.Context, params json.RawMessage) (controlapi.ProposeRequest, error) {
	if len(params) > maxInventoryBytes {
		return controlapi.ProposeRequest{}, tooLarge("request", len(params), maxInventoryBytes)
	}
	request, err := rpc.Decode[controlapi.ProposeRequest](params)
	if err != nil {
		return request, err
	}
	if request.Change.Kind != intent.KindInventory && len(params) > maxRuleBytes {
		return request, tooLarge("change", len(params), maxRuleBytes)
	}
	if err := checkKind(&request.Change); err != nil {
		return request, err
	}
	// The certificate says who the operator is; a forwarded request was checked
	// by the replica that received it.
	if peer, known := rpc.PeerFromContext(ctx); known && peer.Role == rpc.RoleOperator {
		request.Change.Operator = string(peer.VM)
	}
	if list := request.Change.Validate(); list.HasErrors() {
		return request, invalid("the change is invalid", list)
	}
	return request, nil
}

func tooLarge(object string, size, limit int) error {
	list := finding.List{}
	list.Errorf(finding.Location{Object: object}, "%d bytes exceed the limit of %d", size, limit)
	return invalid("the request is too large", list)
}

// invalid answers with the findings. An inventory can have thousands; the
// message names the first few and the data holds the first maxFindings.
func invalid(message string, list finding.List) error {
	total := len(list.Findings)
	list.Findings = list.Findings[:min(total, maxFindings)]
	shown := finding.List{Findings: list.Findings[:min(total, shownFindings)]}
	message = fmt.Sprintf("%s (%d findings): %s", message, total, (&finding.ListError{List: shown}).Error())
	return codeError(controlapi.CodeInvalid, message, list)
}

func codeError(code int64, message string, data any) error {
	e := &jsonrpc2.Error{Code: code, Message: message}
	if data != nil {
		e.SetError(data)
	}
	return e
}

func (s *Server) proposeHere(ctx context.Context, request controlapi.ProposeRequest) (intent.Result, error) {
	if request.DryRun {
		if err := s.replica.readHere(ctx); err != nil {
			return intent.Result{}, err
		}
		_, result := intent.Apply(s.replica.view().machine.State, request.Change)
		return result, nil
	}
	command, err := encodeCommand(request.Change)
	if err != nil {
		return intent.Result{}, err
	}
	result, err := s.replica.proposeHere(ctx, command)
	if err == nil {
		metrics.GetOrRegisterCounter("control.outcomes."+string(result.Outcome), s.registry).Inc(1)
	}
	return result, err
}

// handleGet returns the state without the operation ids.
func (s *Server) handleGet(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request := controlapi.GetRequest{}
	if len(params) > 0 {
		var err error
		if request, err = rpc.Decode[controlapi.GetRequest](params); err != nil {
			return nil, err
		}
	}
	if !request.Linearizable {
		return s.replica.view().machine.State.WithoutHistory(), nil
	}
	state := &intent.State{}
	err := s.throughLeader(ctx, controlapi.IntentGet, request, state, func(ctx context.Context) error {
		err := s.replica.readHere(ctx)
		state = s.replica.view().machine.State.WithoutHistory()
		return err
	})
	return state, err
}

// throughLeader runs a request here if this replica leads, or passes it to the
// leader. It tries again while leadership changes, which is safe because reads
// change nothing and changes carry an operation id.
func (s *Server) throughLeader(ctx context.Context, method string, request, result any, here func(context.Context) error) error {
	if rpc.ReceivedDuringDrain(ctx) {
		return codeError(controlapi.CodeUnavailable, "this replica is stopping", nil)
	}
	params, err := json.Marshal(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.RequestTimeout)
	defer cancel()
	for {
		v := s.replica.view()
		if v.role == consensus.Leader {
			err = here(ctx)
		} else {
			err = s.toLeader(ctx, v.leader.VM, controlapi.ForwardRequest{Method: method, Params: params}, result)
		}
		if err == nil || !temporary(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return codeError(controlapi.CodeUnavailable,
				fmt.Sprintf("no majority answered within %s; the outcome is unknown, retry with the same operation id: %v", s.options.RequestTimeout, err), nil)
		case <-time.After(retryPause):
		}
	}
}

// temporary reports whether another attempt may succeed.
func temporary(err error) bool {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return remote.Code == controlapi.CodeNotLeader || remote.Code == controlapi.CodeUnavailable
	}
	return true
}

func (s *Server) toLeader(ctx context.Context, leader vm.ID, request controlapi.ForwardRequest, result any) error {
	peer, ok := s.links.peers[leader]
	if !ok {
		return &consensus.NotLeaderError{}
	}
	return peer.forward(ctx, request, result)
}

// handleForward answers a request that another replica passed on. It is never
// passed on again.
func (s *Server) handleForward(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.ForwardRequest](params)
	if err != nil {
		return nil, err
	}
	switch request.Method {
	case controlapi.IntentPropose:
		propose, err := checkPropose(ctx, request.Params)
		if err != nil {
			return nil, err
		}
		result, err := s.proposeHere(ctx, propose)
		return result, s.forwardError(err)
	case controlapi.IntentGet:
		err := s.replica.readHere(ctx)
		return s.replica.view().machine.State.WithoutHistory(), s.forwardError(err)
	case controlapi.MembersAnnounce:
		return s.announceForwarded(request.Params)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "cannot forward " + request.Method}
}

// forwardError tells the other replica to ask the leader again.
func (s *Server) forwardError(err error) error {
	if err == nil {
		return nil
	}
	leader := s.replica.view().leader.VM
	return codeError(controlapi.CodeNotLeader, err.Error(), controlapi.NotLeaderData{Leader: leader, Address: s.options.Peers[leader]})
}
