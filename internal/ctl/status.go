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
		Action: a.online(showStatus),
	}
}

// statusAnswer is what status shows.
type statusAnswer struct {
	Revision   uint64              `json:"revision"`
	Services   []intent.Service    `json:"services"`
	VMs        []intent.VM         `json:"vms"`
	Processes  []controlapi.Status `json:"processes"`
	Unanswered []unanswered        `json:"unanswered"`
}

func showStatus(in *input) func(context.Context, *session) error {
	only := in.text("service")
	in.args()
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		answer, err := s.status(ctx, only)
		if err != nil {
			return err
		}
		return s.out.show(answer, answer.text)
	}
}

// status reads the state of any replica, so that it also works without a
// majority.
func (s *session) status(ctx context.Context, only string) (*statusAnswer, error) {
	var state intent.State
	if err := s.client.call(ctx, controlapi.IntentGet, controlapi.GetRequest{}, &state); err != nil {
		return nil, err
	}
	processes, err := s.processes(ctx)
	if err != nil {
		return nil, err
	}
	answer := &statusAnswer{Revision: state.Revision}
	for _, v := range state.Services {
		if only == "" || string(v.Name) == only {
			answer.Services = append(answer.Services, v)
		}
	}
	for _, v := range state.VMs {
		if only == "" || string(v.Service) == only {
			answer.VMs = append(answer.VMs, v)
		}
	}
	if only != "" && len(answer.Services) == 0 {
		return nil, &RejectedError{Reason: fmt.Sprintf("service %q: not in the inventory of revision %d", only, state.Revision)}
	}
	asked := processes.of(only)
	answer.Processes, answer.Unanswered = ask[controlapi.Status](ctx, s, asked, controlapi.StatusGet, nil)
	return answer, nil
}

func (a *statusAnswer) text(w io.Writer) {
	line(w, "revision %d", a.Revision)
	rows := [][]string{{"SERVICE", "ENDPOINT", "TRAFFIC", "IDEMPOTENT", "SHAPE", "QUEUE DEADLINE", "PRIORITY"}}
	for _, s := range a.Services {
		rows = append(rows, []string{
			string(s.Name), s.Endpoint.String(), traffic(s), strconv.FormatBool(s.Contract.Idempotent),
			string(s.Contract.Shape), s.Contract.QueueDeadline.String(), string(s.Contract.Priority),
		})
	}
	line(w, "")
	table(w, rows)
	rows = [][]string{{"VM", "ROLE", "ZONE", "ADDRESS", "SERVICE", "RULE"}}
	for _, v := range a.VMs {
		rows = append(rows, []string{string(v.ID), string(v.Role), v.Zone.String(), v.Address.String(), string(v.Service), string(v.Status)})
	}
	line(w, "")
	table(w, rows)
	line(w, "")
	a.processText(w)
	for _, u := range a.Unanswered {
		line(w, "%s", u)
	}
}

func traffic(s intent.Service) string {
	if s.Retired {
		return "retired"
	}
	return onOff(s.Traffic)
}

func (a *statusAnswer) processText(w io.Writer) {
	rows := [][]string{{"PROCESS", "ROLE", "REVISION", "STATE"}}
	for i := range a.Processes {
		p := &a.Processes[i]
		rows = append(rows, []string{string(p.VM), string(p.Role), strconv.FormatUint(p.Revision, 10), processState(p)})
	}
	table(w, rows)
}

func processState(p *controlapi.Status) string {
	text := ""
	if r := p.Replica; r != nil {
		text = fmt.Sprintf("leader %s, term %d, commit %d, applied %d", orDash(string(r.Leader)), r.Term, r.Commit, r.Applied)
	}
	if u := p.Upstream; u != nil {
		text = fmt.Sprintf("%s %s, slots %d of %d busy, %d queued, flows %d of %d", u.Service, u.Status, u.Busy, u.Slots, u.Queued, u.Flows, u.Connections)
	}
	if p.WaitingFor != "" {
		text += ", waiting for " + p.WaitingFor
	}
	return text
}
