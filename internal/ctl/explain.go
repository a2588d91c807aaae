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

// maxEvents is the most that bramley-control returns.
const maxEvents = 1000

func (a *app) explainCommands() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show what processes do and why", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "flow", Usage: "show where each process sends the packets of a flow, and why",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "caller", Usage: "ADDRESS:PORT of the caller"},
					&cli.StringFlag{Name: "service", Usage: "name of the service"},
				},
				Action: a.online(explainFlow),
			},
			{
				Name: "events", Usage: "show the joined events of all processes, oldest first",
				Flags: []cli.Flag{
					textFlag("limit", "100", "number of events of each process"),
					&cli.StringFlag{Name: "object", Usage: "show events about one object only"},
				},
				Action: a.online(explainEvents),
			},
			{
				Name: "logs", Usage: "find the decisions about one request in log files, and the likely cause of its failure",
				Flags: []cli.Flag{
					textFlag("logs", "", "folder with the log files of all processes"),
					&cli.StringFlag{Name: "request", Usage: "id of the request"},
					&cli.StringFlag{Name: "caller", Usage: "ADDRESS:PORT of the caller, where the id is not known"},
					&cli.StringFlag{Name: "at", Usage: "time of the failure (RFC 3339), with --caller"},
					textFlag("window", "10s", "how long before and after the failure lines are shown"),
				},
				Action: a.offline(explainLogs),
			},
		},
	}
}

// flowAnswer is what explain flow shows.
type flowAnswer struct {
	Caller       string                   `json:"caller"`
	Service      service.Name             `json:"service"`
	Endpoint     service.Endpoint         `json:"endpoint"`
	Explanations []controlapi.Explanation `json:"explanations"`
	Unanswered   []unanswered             `json:"unanswered"`
}

func explainFlow(in *input) func(context.Context, *session) error {
	in.args()
	caller, err := parseEndpoint(in.text("caller"))
	if err != nil {
		in.fail("caller", "%v", err)
	}
	name := service.Name(in.text("service"))
	if name == "" {
		in.fail("service", "is required")
	}
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		var state intent.State
		if err := s.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{}, &state); err != nil {
			return err
		}
		target, ok := state.FindService(name)
		if !ok {
			return &RejectedError{Reason: fmt.Sprintf("service %q: not in the inventory of revision %d", name, state.Revision)}
		}
		processes, err := s.processes(ctx)
		if err != nil {
			return err
		}
		answer := flowAnswer{Caller: caller.String(), Service: name, Endpoint: target.Endpoint}
		request := controlapi.ExplainRequest{Caller: caller, Endpoint: target.Endpoint}
		// Control replicas see no flows.
		asked := processes.of(string(name)).without(vm.RoleControl)
		answer.Explanations, answer.Unanswered = ask[controlapi.Explanation](ctx, s, asked, controlapi.ExplainFlow, request)
		return s.out.show(answer, answer.text)
	}
}

func (a *flowAnswer) text(w io.Writer) {
	line(w, "flow from %s to %s (%s)", a.Caller, a.Service, a.Endpoint)
	if len(a.Explanations)+len(a.Unanswered) == 0 {
		line(w, "no balancer and no upstream of the service is a member")
	}
	for i := range a.Explanations {
		e := &a.Explanations[i]
		line(w, "%s: holder %s, home %s, placer %s", e.Node, orDash(string(e.Holder)), orDash(string(e.Home)), orDash(string(e.Placer)))
		if len(e.Ranking) > 0 {
			line(w, "  ranking %s", joinIDs(e.Ranking))
		}
		for _, reason := range e.Reasons {
			line(w, "  %s", reason)
		}
		for _, item := range e.Events {
			line(w, "  %s %s %s: %s", stamp(item.At), item.Kind, item.Object, item.Reason)
		}
	}
	for _, u := range a.Unanswered {
		line(w, "%s", u)
	}
}

func joinIDs(ids []vm.ID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}

func stamp(at time.Time) string { return at.UTC().Format("2006-01-02T15:04:05.000Z") }

// eventsAnswer is what explain events shows.
type eventsAnswer struct {
	Events     []event.Event `json:"events"`
	Unanswered []unanswered  `json:"unanswered"`
}

func explainEvents(in *input) func(context.Context, *session) error {
	in.args()
	limit := in.number("limit", 1, maxEvents)
	request := controlapi.EventsRequest{Limit: int(limit), Object: in.text("object")}
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		processes, err := s.processes(ctx)
		if err != nil {
			return err
		}
		lists, missing := ask[[]event.Event](ctx, s, processes, controlapi.EventsList, request)
		answer := eventsAnswer{Events: joinEvents(lists), Unanswered: missing}
		return s.out.show(answer, answer.text)
	}
}

// joinEvents orders events by time; clocks of VMs differ, so that events of
// two processes within some milliseconds may be in the wrong order.
func joinEvents(lists [][]event.Event) []event.Event {
	joined := slices.Concat(lists...)
	slices.SortStableFunc(joined, func(a, b event.Event) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Node, b.Node))
	})
	if joined == nil {
		joined = []event.Event{}
	}
	return joined
}

func (a *eventsAnswer) text(w io.Writer) {
	rows := [][]string{{"TIME", "PROCESS", "EVENT", "OBJECT", "REVISION", "REASON"}}
	for _, e := range a.Events {
		rows = append(rows, []string{stamp(e.At), e.Node, string(e.Kind), e.Object, strconv.FormatUint(e.Revision, 10), e.Reason})
	}
	table(w, rows)
	for _, u := range a.Unanswered {
		line(w, "%s", u)
	}
}
