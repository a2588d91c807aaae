package ctl

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
)

// maxHistoryEntries is the highest number of entries that bramley-control
// returns in one response.
const maxHistoryEntries = 1000

func (a *app) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "show the latest accepted changes",
		Flags:  []cli.Flag{stringFlag("limit", "20", "number of changes")},
		Action: a.controlAction(showHistory),
	}
}

func showHistory(in *invocationInput) func(context.Context, *session) error {
	limit := in.uintValue("limit", 1, maxHistoryEntries)
	in.positionalArgs()
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		entries := []intent.HistoryEntry{}
		if err := s.client.call(ctx, controlapi.IntentHistory, controlapi.HistoryRequest{Limit: int(limit)}, &entries); err != nil {
			return err
		}
		return s.out.print(entries, func(w io.Writer) {
			table := [][]string{{"REVISION", "OPERATOR", "OPERATION", "CHANGE"}}
			for _, entry := range entries {
				table = append(table, []string{strconv.FormatUint(entry.Revision, 10), entry.Operator, entry.OperationID, entry.Summary})
			}
			printTable(w, table)
		})
	}
}
