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
	// maxInventoryBytes bounds a request with an inventory. An inventory of
	// 6,600 machines takes about 1.2 MB.
	maxInventoryBytes = 4 << 20
	// maxRuleBytes bounds a request with any other change.
	maxRuleBytes = 16 << 10
	// maxFindings bounds the findings in the data of an error.
	// maxMessageFindings bounds those in its message.
	maxFindings        = 1000
	maxMessageFindings = 5
	// histogramSamples and histogramAlpha configure exponentially decaying
	// samples that mostly represent the last five minutes.
	histogramSamples = 1028
	histogramAlpha   = 0.015
	// leaderRetryInterval is the delay before a request is sent to the leader
	// again if no leader is known or the presumed leader rejected it.
	leaderRetryInterval = 50 * time.Millisecond
)

// handlePropose commits a change through the leader and returns its result.
func (s *Server) handlePropose(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	metrics.GetOrRegisterCounter("control.proposals", s.registry).Inc(1)
	request, err := decodeProposal(ctx, params)
	if err != nil {
		metrics.GetOrRegisterCounter("control.proposals.invalid", s.registry).Inc(1)
		return nil, err
	}
	var result intent.Result
	start := time.Now()
	err = s.runOnLeader(ctx, controlapi.IntentPropose, request, &result, func(ctx context.Context) error {
		var err error
		result, err = s.proposeLocally(ctx, request)
		return err
	})
	s.proposalDurations().Update(time.Since(start).Microseconds())
	return result, err
}

// proposalDurations returns the histogram of proposal durations in
// microseconds. It is no metrics.Timer, because a timer would add a goroutine
// that never ends.
func (s *Server) proposalDurations() metrics.Histogram {
	return s.registry.GetOrRegister("control.proposals.us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
	}).(metrics.Histogram)
}

// decodeProposal decodes and validates a proposal. The error reports all
// findings.
func decodeProposal(ctx context.Context, params json.RawMessage) (controlapi.ProposeRequest, error) {
	if len(params) > maxInventoryBytes {
		return controlapi.ProposeRequest{}, tooLargeError("request", len(params), maxInventoryBytes)
	}
	request, err := rpc.Decode[controlapi.ProposeRequest](params)
	if err != nil {
		return request, err
	}
	if request.Change.Kind != intent.KindInventory && len(params) > maxRuleBytes {
		return request, tooLargeError("change", len(params), maxRuleBytes)
	}
	if err := rejectLeaderOnlyKind(&request.Change); err != nil {
		return request, err
	}
	// The certificate names the operator. A forwarded request comes with the
	// certificate of a replica, which has already set the operator.
	if peer, verified := rpc.PeerFromContext(ctx); verified && peer.Role == rpc.RoleOperator {
		request.Change.Operator = string(peer.VM)
	}
	if findings := request.Change.Validate(); findings.HasErrors() {
		return request, invalidError("the change is invalid", findings)
	}
	return request, nil
}

func tooLargeError(object string, size, limit int) error {
	findings := finding.List{}
	findings.Errorf(finding.Location{Object: object}, "%d bytes exceed the limit of %d", size, limit)
	return invalidError("the request is too large", findings)
}

// invalidError returns an error with the findings. An inventory can have
// thousands: the message has the first maxMessageFindings, and the data has
// the first maxFindings.
func invalidError(message string, findings finding.List) error {
	total := len(findings.Findings)
	findings.Findings = findings.Findings[:min(total, maxFindings)]
	shown := finding.List{Findings: findings.Findings[:min(total, maxMessageFindings)]}
	message = fmt.Sprintf("%s (%d findings): %s", message, total, (&finding.ListError{List: shown}).Error())
	return rpcError(controlapi.CodeInvalid, message, findings)
}

func rpcError(code int64, message string, data any) error {
	rpcErr := &jsonrpc2.Error{Code: code, Message: message}
	if data != nil {
		rpcErr.SetError(data)
	}
	return rpcErr
}

// proposeLocally commits a change through this replica, which must be the
// leader. For a dry run it computes the result and commits nothing.
func (s *Server) proposeLocally(ctx context.Context, request controlapi.ProposeRequest) (intent.Result, error) {
	if request.DryRun {
		if err := s.replica.readBarrier(ctx); err != nil {
			return intent.Result{}, err
		}
		_, result := intent.Apply(s.replica.published().stateMachine.State, request.Change)
		return result, nil
	}
	command, err := encodeCommand(request.Change)
	if err != nil {
		return intent.Result{}, err
	}
	result, err := s.replica.submitProposal(ctx, command)
	if err == nil {
		metrics.GetOrRegisterCounter("control.outcomes."+string(result.Outcome), s.registry).Inc(1)
	}
	return result, err
}

// handleGetIntent returns the intent without operation ids and history.
func (s *Server) handleGetIntent(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request := controlapi.GetRequest{}
	if len(params) > 0 {
		var err error
		if request, err = rpc.Decode[controlapi.GetRequest](params); err != nil {
			return nil, err
		}
	}
	if !request.Linearizable {
		return s.replica.published().stateMachine.State.WithoutHistory(), nil
	}
	state := &intent.State{}
	err := s.runOnLeader(ctx, controlapi.IntentGet, request, state, func(ctx context.Context) error {
		err := s.replica.readBarrier(ctx)
		state = s.replica.published().stateMachine.State.WithoutHistory()
		return err
	})
	return state, err
}

// runOnLeader runs a request on the leader: through runLocally if this replica
// is the leader, otherwise by forwarding. It retries while no leader accepts
// the request. Retries are safe: reads have no effect, and changes carry an
// operation id.
func (s *Server) runOnLeader(ctx context.Context, method string, request, result any, runLocally func(context.Context) error) error {
	if rpc.ReceivedDuringDrain(ctx) {
		return rpcError(controlapi.CodeUnavailable, "this replica is stopping", nil)
	}
	params, err := json.Marshal(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.RequestTimeout)
	defer cancel()
	for {
		state := s.replica.published()
		if state.role == consensus.Leader {
			err = runLocally(ctx)
		} else {
			err = s.callLeader(ctx, state.leader.VM, controlapi.ForwardRequest{Method: method, Params: params}, result)
		}
		if err == nil || !isRetryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return rpcError(controlapi.CodeUnavailable,
				fmt.Sprintf("no majority answered within %s; the outcome is unknown, retry with the same operation id: %v", s.options.RequestTimeout, err), nil)
		case <-time.After(leaderRetryInterval):
		}
	}
}

// isRetryable reports whether another attempt may succeed.
func isRetryable(err error) bool {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr.Code == controlapi.CodeNotLeader || rpcErr.Code == controlapi.CodeUnavailable
	}
	return true
}

// callLeader forwards a request to the leader.
func (s *Server) callLeader(ctx context.Context, leader vm.ID, request controlapi.ForwardRequest, result any) error {
	client, ok := s.clients.byVM[leader]
	if !ok {
		return &consensus.NotLeaderError{}
	}
	return client.forward(ctx, request, result)
}

// handleForward serves a request that another replica forwarded. It never
// forwards the request again.
func (s *Server) handleForward(ctx context.Context, _ *rpc.Conn, params json.RawMessage) (any, error) {
	request, err := rpc.Decode[controlapi.ForwardRequest](params)
	if err != nil {
		return nil, err
	}
	switch request.Method {
	case controlapi.IntentPropose:
		proposal, err := decodeProposal(ctx, request.Params)
		if err != nil {
			return nil, err
		}
		result, err := s.proposeLocally(ctx, proposal)
		return result, s.notLeaderError(err)
	case controlapi.IntentGet:
		err := s.replica.readBarrier(ctx)
		return s.replica.published().stateMachine.State.WithoutHistory(), s.notLeaderError(err)
	case controlapi.MembersAnnounce:
		return s.recordForwardedAnnouncement(request.Params)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "cannot forward " + request.Method}
}

// notLeaderError converts an error of a forwarded request to CodeNotLeader,
// after which the other replica retries with the leader.
func (s *Server) notLeaderError(err error) error {
	if err == nil {
		return nil
	}
	leader := s.replica.published().leader.VM
	return rpcError(controlapi.CodeNotLeader, err.Error(), controlapi.NotLeaderData{Leader: leader, Address: s.options.InitialPeers[leader]})
}
