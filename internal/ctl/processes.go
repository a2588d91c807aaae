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
	// askTimeout bounds the answer of one process.
	askTimeout = 3 * time.Second
	// askAtOnce bounds open connections; with 600 nodes and 6,000 upstreams
	// one connection each would exceed common limits on open files.
	askAtOnce = 64
)

// process is one process with an address for control.
type process struct {
	name    string
	address string
	service string
	role    vm.Role
}

type processList []process

// unanswered names a process that gave no answer.
type unanswered struct {
	Process string `json:"process"`
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

func (u unanswered) String() string {
	return fmt.Sprintf("no answer from %s (%s): %s", u.Process, u.Address, u.Reason)
}

// certificateRole returns the role that the certificate of the process must
// have.
func (p *process) certificateRole() rpc.Role {
	switch p.role {
	case vm.RoleControl:
		return rpc.RoleControl
	case vm.RoleBalancer:
		return rpc.RoleBalancer
	}
	return rpc.RoleAgent
}

// processes returns the control replicas and all balancers and upstreams. The
// TCP address of a member is the one that it announces for frames over UDP;
// control replicas announce that of their gossip, and are asked at the control
// addresses.
func (s *session) processes(ctx context.Context) (processList, error) {
	var list processList
	known := map[string]bool{}
	for _, a := range s.control {
		known[a.String()] = true
		list = append(list, process{name: "a control VM", address: a.String(), role: vm.RoleControl})
	}
	var members []view.Member
	if err := s.client.call(ctx, controlapi.MembersList, nil, &members); err != nil {
		return nil, err
	}
	slices.SortFunc(members, func(a, b view.Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	for _, m := range members {
		if address := m.Address.String(); m.Role != vm.RoleControl && !known[address] {
			known[address] = true
			list = append(list, process{name: string(m.VM), address: address, service: string(m.Service), role: m.Role})
		}
	}
	return list, nil
}

// of leaves out the upstreams of other services; an empty name keeps all.
func (l processList) of(service string) processList {
	return slices.DeleteFunc(slices.Clone(l), func(p process) bool {
		return service != "" && p.service != "" && p.service != service
	})
}

func (l processList) without(role vm.Role) processList {
	return slices.DeleteFunc(slices.Clone(l), func(p process) bool { return p.role == role })
}

// ask calls a method of every process. Answers are in the order of the list.
func ask[T any](ctx context.Context, s *session, list processList, method string, params any) ([]T, []unanswered) {
	answers := make([]*T, len(list))
	failures := make([]error, len(list))
	var group errgroup.Group
	group.SetLimit(askAtOnce)
	for i, p := range list {
		group.Go(func() error {
			answers[i], failures[i] = askOne[T](ctx, s, p, method, params)
			return nil
		})
	}
	_ = group.Wait()
	got, missing := make([]T, 0, len(list)), []unanswered{}
	for i, p := range list {
		if failures[i] != nil {
			missing = append(missing, unanswered{Process: p.name, Address: p.address, Reason: failures[i].Error()})
			continue
		}
		got = append(got, *answers[i])
	}
	return got, missing
}

func askOne[T any](ctx context.Context, s *session, p process, method string, params any) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, p.address, rpc.RequireRole(s.config, p.certificateRole()), rpc.Methods{}.Handler())
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	answer := new(T)
	if err := conn.Call(ctx, method, params, answer); err != nil {
		return nil, err
	}
	return answer, nil
}
