package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// processCallTimeout bounds the call to one process.
	processCallTimeout = 3 * time.Second
	// maxConcurrentCalls bounds open connections. With 600 nodes and 6,000
	// upstreams, one connection each would exceed common limits on open files.
	maxConcurrentCalls = 64
)

// processTarget is one process that serves control requests.
type processTarget struct {
	name    string
	address string
	service string
	role    vm.Role
}

type targetList []processTarget

// unansweredCall names a process whose call failed, and the error.
type unansweredCall struct {
	Process string `json:"process"`
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

func (u unansweredCall) String() string {
	return fmt.Sprintf("no answer from %s (%s): %s", u.Process, u.Address, u.Reason)
}

// certificateRole returns the role that the certificate of the process must
// have.
func (p *processTarget) certificateRole() rpc.Role {
	switch p.role {
	case vm.RoleControl:
		return rpc.RoleControl
	case vm.RoleBalancer:
		return rpc.RoleBalancer
	}
	return rpc.RoleAgent
}

// listProcesses returns the control replicas and all balancers and upstreams. A
// member serves control requests on the TCP port with the same number as the
// UDP port that it announces for frames. Control replicas announce their gossip
// address, so they are called at the control addresses instead.
func (s *session) listProcesses(ctx context.Context) (targetList, error) {
	var targets targetList
	listed := map[string]bool{}
	for _, a := range s.controlAddresses {
		listed[a.String()] = true
		targets = append(targets, processTarget{name: "a control VM", address: a.String(), role: vm.RoleControl})
	}
	var members []view.Member
	if err := s.client.call(ctx, controlapi.MembersList, nil, &members); err != nil {
		return nil, err
	}
	slices.SortFunc(members, func(a, b view.Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	for _, m := range members {
		if address := m.Address.String(); m.Role != vm.RoleControl && !listed[address] {
			listed[address] = true
			targets = append(targets, processTarget{name: string(m.VM), address: address, service: string(m.Service), role: m.Role})
		}
	}
	return targets, nil
}

// forService returns the targets without the upstreams of other services. An
// empty name keeps all.
func (l targetList) forService(service string) targetList {
	return slices.DeleteFunc(slices.Clone(l), func(p processTarget) bool {
		return service != "" && p.service != "" && p.service != service
	})
}

func (l targetList) withoutRole(role vm.Role) targetList {
	return slices.DeleteFunc(slices.Clone(l), func(p processTarget) bool { return p.role == role })
}

// callAll calls a method of every target in parallel. The results are in the
// order of the targets.
func callAll[T any](ctx context.Context, s *session, targets targetList, method string, params any) ([]T, []unansweredCall) {
	responses := make([]*T, len(targets))
	errs := make([]error, len(targets))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, p := range targets {
		group.Go(func() error {
			responses[i], errs[i] = callProcess[T](ctx, s, p, method, params)
			return nil
		})
	}
	_ = group.Wait()
	results, unanswered := make([]T, 0, len(targets)), []unansweredCall{}
	for i, p := range targets {
		if errs[i] != nil {
			unanswered = append(unanswered, unansweredCall{Process: p.name, Address: p.address, Reason: errs[i].Error()})
			continue
		}
		results = append(results, *responses[i])
	}
	return results, unanswered
}

func callProcess[T any](ctx context.Context, s *session, target processTarget, method string, params any) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, processCallTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, target.address, rpc.RequireRole(s.tlsConfig, target.certificateRole()), rpc.Methods{}.Handler())
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	result := new(T)
	if err := conn.Call(ctx, method, params, result); err != nil {
		return nil, err
	}
	return result, nil
}
