package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// maxEventLimit is the highest number of events that bramley-control returns in
// one response.
const maxEventLimit = 1000

func (a *app) explainCommands() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the decisions of processes and their reasons", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "flow", Usage: "show where each process sends the packets of a flow, and why",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "caller", Usage: "ADDRESS:PORT of the caller"},
					&cli.StringFlag{Name: "service", Usage: "name of the service"},
				},
				Action: a.controlAction(explainFlow),
			},
			{
				Name: "events", Usage: "show the merged events of all processes, oldest first",
				Flags: []cli.Flag{
					stringFlag("limit", "100", "number of events of each process"),
					&cli.StringFlag{Name: "object", Usage: "show events about one object only"},
				},
				Action: a.controlAction(explainEvents),
			},
			{
				Name: "placement", Usage: "show where a balancer would send an opening now, and why, without sending it",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "balancer", Usage: "ADDRESS:PORT of the metrics of a balancer"},
					&cli.StringFlag{Name: "virtual", Usage: "virtual ADDRESS:PORT of the route"},
					&cli.StringFlag{Name: "caller", Usage: "ADDRESS:PORT of the caller, for a route with several services"},
				},
				Action: a.localAction(explainPlacement),
			},
			{
				Name: "logs", Usage: "find the decisions about one request in log files, and the likely cause of its failure",
				Flags: []cli.Flag{
					stringFlag("logs", "", "folder with the log files of all processes"),
					&cli.StringFlag{Name: "request", Usage: "id of the request"},
					&cli.StringFlag{Name: "caller", Usage: "ADDRESS:PORT of the caller, if the id is not known"},
					&cli.StringFlag{Name: "at", Usage: "time of the failure (RFC 3339), with --caller"},
					stringFlag("window", "10s", "time before and after the failure for which log lines are shown"),
				},
				Action: a.localAction(explainLogs),
			},
		},
	}
}

// flowOutput is the output of explain flow.
type flowOutput struct {
	Caller       string                   `json:"caller"`
	Service      service.Name             `json:"service"`
	Endpoint     service.Endpoint         `json:"endpoint"`
	Explanations []controlapi.Explanation `json:"explanations"`
	Unanswered   []unansweredCall         `json:"unanswered"`
}

func explainFlow(in *invocationInput) func(context.Context, *session) error {
	in.positionalArgs()
	caller, err := parseEndpoint(in.stringValue("caller"))
	if err != nil {
		in.addError("caller", "%v", err)
	}
	name := service.Name(in.stringValue("service"))
	if name == "" {
		in.addError("service", "is required")
	}
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		var state intent.State
		if err := s.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{}, &state); err != nil {
			return err
		}
		found, ok := state.FindService(name)
		if !ok {
			return &RejectedError{Reason: fmt.Sprintf("service %q: not in the inventory of revision %d", name, state.Revision)}
		}
		processes, err := s.listProcesses(ctx)
		if err != nil {
			return err
		}
		output := flowOutput{Caller: caller.String(), Service: name, Endpoint: found.Endpoint}
		request := controlapi.ExplainRequest{Caller: caller, Endpoint: found.Endpoint}
		// Control replicas do not process flows.
		targets := processes.forService(string(name)).withoutRole(vm.RoleControl)
		output.Explanations, output.Unanswered = callAll[controlapi.Explanation](ctx, s, targets, controlapi.ExplainFlow, request)
		return s.out.print(output, output.writeText)
	}
}

func (o *flowOutput) writeText(w io.Writer) {
	printLine(w, "flow from %s to %s (%s)", o.Caller, o.Service, o.Endpoint)
	if len(o.Explanations)+len(o.Unanswered) == 0 {
		printLine(w, "no balancer and no upstream of the service is a member")
	}
	for i := range o.Explanations {
		explanation := &o.Explanations[i]
		printLine(w, "%s: holder %s, home %s, placer %s", explanation.Node, orDash(string(explanation.Holder)), orDash(string(explanation.Home)), orDash(string(explanation.Placer)))
		if len(explanation.Ranking) > 0 {
			printLine(w, "  ranking %s", joinIDs(explanation.Ranking))
		}
		for _, reason := range explanation.Reasons {
			printLine(w, "  %s", reason)
		}
		for _, item := range explanation.Events {
			printLine(w, "  %s %s %s: %s", formatTime(item.At), item.Kind, item.Object, item.Reason)
		}
	}
	for _, call := range o.Unanswered {
		printLine(w, "%s", call)
	}
}

func joinIDs(ids []vm.ID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}

func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02T15:04:05.000Z") }

// eventsOutput is the output of explain events.
type eventsOutput struct {
	Events     []event.Event    `json:"events"`
	Unanswered []unansweredCall `json:"unanswered"`
}

func explainEvents(in *invocationInput) func(context.Context, *session) error {
	in.positionalArgs()
	limit := in.uintValue("limit", 1, maxEventLimit)
	request := controlapi.EventsRequest{Limit: int(limit), Object: in.stringValue("object")}
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		processes, err := s.listProcesses(ctx)
		if err != nil {
			return err
		}
		lists, unanswered := callAll[[]event.Event](ctx, s, processes, controlapi.EventsList, request)
		output := eventsOutput{Events: mergeEvents(lists), Unanswered: unanswered}
		return s.out.print(output, output.writeText)
	}
}

// mergeEvents sorts the events of all processes by time. The clocks of VMs
// differ, so events of two processes within some milliseconds of each other may
// be in the wrong order.
func mergeEvents(lists [][]event.Event) []event.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b event.Event) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Node, b.Node))
	})
	if merged == nil {
		merged = []event.Event{}
	}
	return merged
}

func (o *eventsOutput) writeText(w io.Writer) {
	rows := [][]string{{"TIME", "PROCESS", "EVENT", "OBJECT", "REVISION", "REASON"}}
	for _, e := range o.Events {
		rows = append(rows, []string{formatTime(e.At), e.Node, string(e.Kind), e.Object, strconv.FormatUint(e.Revision, 10), e.Reason})
	}
	printTable(w, rows)
	for _, call := range o.Unanswered {
		printLine(w, "%s", call)
	}
}
