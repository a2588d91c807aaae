package ctl

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
)

// maxHistoryRows is the most that bramley-control returns.
const maxHistoryRows = 1000

func (a *app) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "show the latest accepted changes",
		Flags:  []cli.Flag{textFlag("limit", "20", "number of changes")},
		Action: a.online(showHistory),
	}
}

func showHistory(in *input) func(context.Context, *session) error {
	limit := in.number("limit", 1, maxHistoryRows)
	in.args()
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		rows := []intent.HistoryEntry{}
		if err := s.client.call(ctx, controlapi.IntentHistory, controlapi.HistoryRequest{Limit: int(limit)}, &rows); err != nil {
			return err
		}
		return s.out.show(rows, func(w io.Writer) {
			lines := [][]string{{"REVISION", "OPERATOR", "OPERATION", "CHANGE"}}
			for _, r := range rows {
				lines = append(lines, []string{strconv.FormatUint(r.Revision, 10), r.Operator, r.OperationID, r.Summary})
			}
			table(w, lines)
		})
	}
}
