package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
)

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show services, VMs and every process",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "service", Usage: "show the upstreams of one service only"}},
		Action: a.controlAction(showStatus),
	}
}

// statusOutput is the output of status.
type statusOutput struct {
	Revision   uint64              `json:"revision"`
	Services   []intent.Service    `json:"services"`
	VMs        []intent.VM         `json:"vms"`
	Processes  []controlapi.Status `json:"processes"`
	Unanswered []unansweredCall    `json:"unanswered"`
}

func showStatus(in *invocationInput) func(context.Context, *session) error {
	serviceFilter := in.stringValue("service")
	in.positionalArgs()
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		output, err := s.collectStatus(ctx, serviceFilter)
		if err != nil {
			return err
		}
		return s.out.print(output, output.writeText)
	}
}

// collectStatus reads the state of any one replica, so that it also works
// without a majority.
func (s *session) collectStatus(ctx context.Context, serviceFilter string) (*statusOutput, error) {
	var state intent.State
	if err := s.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{}, &state); err != nil {
		return nil, err
	}
	processes, err := s.listProcesses(ctx)
	if err != nil {
		return nil, err
	}
	output := &statusOutput{Revision: state.Revision}
	for _, entry := range state.Services {
		if serviceFilter == "" || string(entry.Name) == serviceFilter {
			output.Services = append(output.Services, entry)
		}
	}
	for _, entry := range state.VMs {
		if serviceFilter == "" || string(entry.Service) == serviceFilter {
			output.VMs = append(output.VMs, entry)
		}
	}
	if serviceFilter != "" && len(output.Services) == 0 {
		return nil, &RejectedError{Reason: fmt.Sprintf("service %q: not in the inventory of revision %d", serviceFilter, state.Revision)}
	}
	targets := processes.forService(serviceFilter)
	output.Processes, output.Unanswered = callAll[controlapi.Status](ctx, s, targets, controlapi.StatusGet, nil)
	return output, nil
}

func (o *statusOutput) writeText(w io.Writer) {
	printLine(w, "revision %d", o.Revision)
	rows := [][]string{{"SERVICE", "ENDPOINT", "TRAFFIC", "IDEMPOTENT", "SHAPE", "QUEUE DEADLINE", "PRIORITY"}}
	for _, s := range o.Services {
		rows = append(rows, []string{
			string(s.Name), s.Endpoint.String(), trafficState(s), strconv.FormatBool(s.Contract.Idempotent),
			string(s.Contract.Shape), s.Contract.QueueDeadline.String(), string(s.Contract.Priority),
		})
	}
	printLine(w, "")
	printTable(w, rows)
	rows = [][]string{{"VM", "ROLE", "ZONE", "ADDRESS", "SERVICE", "RULE"}}
	for _, v := range o.VMs {
		rows = append(rows, []string{string(v.ID), string(v.Role), v.Zone.String(), v.Address.String(), string(v.Service), string(v.Status)})
	}
	printLine(w, "")
	printTable(w, rows)
	printLine(w, "")
	o.writeProcesses(w)
	for _, call := range o.Unanswered {
		printLine(w, "%s", call)
	}
}

func trafficState(s intent.Service) string {
	if s.Retired {
		return "retired"
	}
	return onOff(s.Traffic)
}

func (o *statusOutput) writeProcesses(w io.Writer) {
	rows := [][]string{{"PROCESS", "ROLE", "REVISION", "STATE"}}
	for i := range o.Processes {
		p := &o.Processes[i]
		rows = append(rows, []string{string(p.VM), string(p.Role), strconv.FormatUint(p.Revision, 10), describeProcess(p)})
	}
	printTable(w, rows)
}

func describeProcess(status *controlapi.Status) string {
	text := ""
	if replica := status.Replica; replica != nil {
		text = fmt.Sprintf("leader %s, term %d, commit %d, applied %d", orDash(string(replica.Leader)), replica.Term, replica.Commit, replica.Applied)
	}
	if upstream := status.Upstream; upstream != nil {
		text = fmt.Sprintf("%s %s, slots %d of %d busy, %d queued, flows %d of %d", upstream.Service, upstream.Status, upstream.Busy, upstream.Slots, upstream.Queued, upstream.Flows, upstream.Connections)
	}
	if status.PendingOnStop != "" {
		text += ", waiting for " + status.PendingOnStop
	}
	return text
}
