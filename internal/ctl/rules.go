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
		&cli.BoolFlag{Name: "idempotent", Usage: "requests can be executed more than once; --idempotent=false revokes this"},
		&cli.StringFlag{Name: "shape", Usage: "short: a flow holds a slot; long: a flow counts against the connection limit"},
		&cli.StringFlag{Name: "queue-deadline", Usage: "longest wait of an opening for a free slot"},
		&cli.StringFlag{Name: "priority", Usage: "survival of flows, or balance"},
		&cli.StringFlag{Name: "warm-up", Usage: "how long an upstream is cold after its start"},
		&cli.StringFlag{Name: "warm-up-rate", Usage: "requests per second that a cold upstream bears; 0: not stated"},
	)
	return &cli.Command{
		Name: "service", Usage: "rules of a service", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "traffic", ArgsUsage: "NAME on|off", Usage: "allow or refuse traffic of a service", Flags: changeFlags(),
				Action: a.controlAction(setTraffic),
			},
			{
				Name: "contract", ArgsUsage: "NAME", Usage: "set the contract of a service; unset flags keep the current value", Flags: contract,
				Action: a.controlAction(setContract),
			},
		},
	}
}

func setTraffic(in *invocationInput) func(context.Context, *session) error {
	options := in.changeOptions()
	args := in.positionalArgs("NAME", "on|off")
	if args[1] != "" && args[1] != "on" && args[1] != "off" {
		in.findings.Errorf(finding.Location{Object: "argument on|off"}, "%q: want on or off", args[1])
	}
	change := intent.Change{
		Kind:    intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: service.Name(args[0]), Enabled: args[1] == "on"},
	}
	return proposeChange(options, change)
}

// proposeChange returns the action that proposes a change. The change needs only
// the revision of the current state.
func proposeChange(options changeOptions, change intent.Change) func(context.Context, *session) error {
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		return s.propose(ctx, options, nil, change)
	}
}

func (a *app) vmCommands() *cli.Command {
	return &cli.Command{
		Name: "vm", Usage: "rules of a VM", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "leave", ArgsUsage: "NAME", Usage: "assign no new flows to a VM", Flags: changeFlags(),
				Action: a.controlAction(func(in *invocationInput) func(context.Context, *session) error { return setLeaving(in, true) }),
			},
			{
				Name: "return", ArgsUsage: "NAME", Usage: "assign new flows to a VM again", Flags: changeFlags(),
				Action: a.controlAction(func(in *invocationInput) func(context.Context, *session) error { return setLeaving(in, false) }),
			},
		},
	}
}

func setLeaving(in *invocationInput, leaving bool) func(context.Context, *session) error {
	options := in.changeOptions()
	name := in.positionalArgs("NAME")[0]
	return proposeChange(options, intent.Change{Kind: intent.KindLeaving, Leaving: &intent.LeavingRule{VM: vm.ID(name), Leaving: leaving}})
}

// contractUpdate holds the fields of a contract whose flags were set.
type contractUpdate struct {
	idempotent    *bool
	shape         service.FlowShape
	queueDeadline *time.Duration
	priority      service.Priority
	warmUp        *time.Duration
	warmUpRate    *float64
}

func (in *invocationInput) contractUpdate() contractUpdate {
	var update contractUpdate
	if in.cmd.IsSet("idempotent") {
		value := in.cmd.Bool("idempotent")
		update.idempotent = &value
	}
	if in.cmd.IsSet("shape") {
		update.shape = service.FlowShape(in.choiceValue("shape", string(service.ShapeShortRequests), string(service.ShapeLongFlows)))
	}
	if in.cmd.IsSet("queue-deadline") {
		value := in.durationValue("queue-deadline", 0, service.MaxQueueDeadline)
		update.queueDeadline = &value
	}
	if in.cmd.IsSet("priority") {
		update.priority = service.Priority(in.choiceValue("priority", string(service.PrioritySurvival), string(service.PriorityBalance)))
	}
	if in.cmd.IsSet("warm-up") {
		value := in.durationValue("warm-up", 0, service.MaxWarmUp)
		update.warmUp = &value
	}
	if in.cmd.IsSet("warm-up-rate") {
		value := in.floatValue("warm-up-rate", 0, service.MaxWarmUpRate)
		update.warmUpRate = &value
	}
	if update == (contractUpdate{}) {
		in.findings.Errorf(finding.Location{Object: "settings"}, "at least one of --idempotent, --shape, --queue-deadline, --priority, --warm-up and --warm-up-rate is required")
	}
	return update
}

func (u contractUpdate) applyTo(contract service.Contract) service.Contract {
	if u.idempotent != nil {
		contract.Idempotent = *u.idempotent
	}
	if u.shape != "" {
		contract.Shape = u.shape
	}
	if u.queueDeadline != nil {
		contract.QueueDeadline = *u.queueDeadline
	}
	if u.priority != "" {
		contract.Priority = u.priority
	}
	if u.warmUp != nil {
		contract.WarmUp = *u.warmUp
	}
	if u.warmUpRate != nil {
		contract.WarmUpRate = *u.warmUpRate
	}
	return contract
}

func setContract(in *invocationInput) func(context.Context, *session) error {
	options := in.changeOptions()
	name := service.Name(in.positionalArgs("NAME")[0])
	update := in.contractUpdate()
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		state, err := s.linearizableState(ctx)
		if err != nil {
			return err
		}
		current, ok := state.FindService(name)
		if !ok {
			return &RejectedError{Reason: fmt.Sprintf("service %q: not in the inventory of revision %d", name, state.Revision)}
		}
		rule := &intent.ContractRule{Service: name, Contract: update.applyTo(current.Contract)}
		return s.propose(ctx, options, state, intent.Change{Kind: intent.KindContract, Contract: rule})
	}
}
