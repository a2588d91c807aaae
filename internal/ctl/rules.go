package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func (a *app) serviceCommands() *cli.Command {
	contract := append(changeFlags(),
		&cli.BoolFlag{Name: "idempotent", Usage: "requests can be executed more than once; --idempotent=false takes it back"},
		&cli.StringFlag{Name: "shape", Usage: "short: a flow holds a slot; long: a flow counts against the connection limit"},
		&cli.StringFlag{Name: "queue-deadline", Usage: "longest wait of an opening for a free slot"},
		&cli.StringFlag{Name: "priority", Usage: "survival of flows, or balance"},
	)
	return &cli.Command{
		Name: "service", Usage: "rules of a service", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "traffic", ArgsUsage: "NAME on|off", Usage: "let a service take traffic or not", Flags: changeFlags(),
				Action: a.online(setTraffic),
			},
			{
				Name: "contract", ArgsUsage: "NAME", Usage: "set the contract of a service; unset flags keep the present value", Flags: contract,
				Action: a.online(setContract),
			},
		},
	}
}

func setTraffic(in *input) func(context.Context, *session) error {
	o := in.changeOptions()
	args := in.args("NAME", "on|off")
	if args[1] != "" && args[1] != "on" && args[1] != "off" {
		in.findings.Errorf(finding.Location{Object: "argument on|off"}, "%q: want on or off", args[1])
	}
	change := intent.Change{
		Kind:    intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: service.Name(args[0]), Enabled: args[1] == "on"},
	}
	return proposal(o, change)
}

// proposal returns the action of a change that needs nothing of the state but
// its revision.
func proposal(o changeOptions, change intent.Change) func(context.Context, *session) error {
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		return s.propose(ctx, o, nil, change)
	}
}

func (a *app) vmCommands() *cli.Command {
	return &cli.Command{
		Name: "vm", Usage: "rules of a VM", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "leave", ArgsUsage: "NAME", Usage: "give a VM no new work", Flags: changeFlags(),
				Action: a.online(func(in *input) func(context.Context, *session) error { return setLeaving(in, true) }),
			},
			{
				Name: "return", ArgsUsage: "NAME", Usage: "give a VM work again", Flags: changeFlags(),
				Action: a.online(func(in *input) func(context.Context, *session) error { return setLeaving(in, false) }),
			},
		},
	}
}

func setLeaving(in *input, leaving bool) func(context.Context, *session) error {
	o := in.changeOptions()
	name := in.args("NAME")[0]
	return proposal(o, intent.Change{Kind: intent.KindLeaving, Leaving: &intent.LeavingRule{VM: vm.ID(name), Leaving: leaving}})
}

// contractEdit holds the flags that were set.
type contractEdit struct {
	idempotent *bool
	shape      service.Shape
	deadline   *time.Duration
	priority   service.Priority
}

func (in *input) contractEdit() contractEdit {
	var e contractEdit
	if in.cmd.IsSet("idempotent") {
		value := in.cmd.Bool("idempotent")
		e.idempotent = &value
	}
	if in.cmd.IsSet("shape") {
		e.shape = service.Shape(in.choice("shape", string(service.ShortRequests), string(service.LongFlows)))
	}
	if in.cmd.IsSet("queue-deadline") {
		value := in.duration("queue-deadline", 0, service.MaxQueueDeadline)
		e.deadline = &value
	}
	if in.cmd.IsSet("priority") {
		e.priority = service.Priority(in.choice("priority", string(service.PreferSurvival), string(service.PreferBalance)))
	}
	if e == (contractEdit{}) {
		in.findings.Errorf(finding.Location{Object: "settings"}, "at least one of --idempotent, --shape, --queue-deadline and --priority is required")
	}
	return e
}

func (e contractEdit) apply(c service.Contract) service.Contract {
	if e.idempotent != nil {
		c.Idempotent = *e.idempotent
	}
	if e.shape != "" {
		c.Shape = e.shape
	}
	if e.deadline != nil {
		c.QueueDeadline = *e.deadline
	}
	if e.priority != "" {
		c.Priority = e.priority
	}
	return c
}

func setContract(in *input) func(context.Context, *session) error {
	o := in.changeOptions()
	name := service.Name(in.args("NAME")[0])
	edit := in.contractEdit()
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		state, err := s.currentState(ctx)
		if err != nil {
			return err
		}
		present, ok := state.FindService(name)
		if !ok {
			return &RejectedError{Reason: fmt.Sprintf("service %q: not in the inventory of revision %d", name, state.Revision)}
		}
		rule := &intent.ContractRule{Service: name, Contract: edit.apply(present.Contract)}
		return s.propose(ctx, o, state, intent.Change{Kind: intent.KindContract, Contract: rule})
	}
}
