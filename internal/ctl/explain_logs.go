package ctl

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"bramleyhold.example/bramleyhold/internal/logsearch"
)

// explainLogs searches log files for the decisions about one request.
func explainLogs(in *invocationInput) func(*printer) error {
	in.positionalArgs()
	folder := in.stringValue("logs")
	if folder == "" {
		in.addError("logs", "is required")
	}
	query := logsearch.Query{RequestID: in.stringValue("request"), Caller: in.stringValue("caller")}
	if (query.RequestID == "") == (query.Caller == "") {
		in.addError("request", "want either --request or --caller")
	}
	var err error
	if query.Window, err = time.ParseDuration(in.stringValue("window")); err != nil {
		in.addError("window", "%v", err)
	}
	if at := in.stringValue("at"); at != "" {
		if query.At, err = time.Parse(time.RFC3339Nano, at); err != nil {
			in.addError("at", "%v", err)
		}
	}
	return func(out *printer) error {
		result, err := logsearch.Search(folder, query)
		if err != nil {
			return err
		}
		return out.print(result, func(w io.Writer) { writeLogEntries(w, &result) })
	}
}

func writeLogEntries(w io.Writer, result *logsearch.Result) {
	rows := [][]string{{"TIME", "VM", "PROGRAM", "EVENT", "REASON", "PEER", "DETAIL"}}
	for i := range result.Entries {
		entry := &result.Entries[i]
		rows = append(rows, []string{entry.Time.Format("15:04:05.000"), entry.VM, entry.Program, entry.Event, entry.Reason, entry.Peer, decisionDetail(entry)})
	}
	printLine(w, "flow %s", result.Flow)
	printTable(w, rows)
	printLine(w, "cause: %s", result.Cause)
}

// decisionDetail returns the values on which a decision was based.
func decisionDetail(entry *logsearch.Entry) string {
	detail := ""
	if entry.RequestID != "" {
		detail += "request " + entry.RequestID + " "
	}
	if entry.Slots > 0 {
		detail += fmt.Sprintf("load %d of %d, %d ms old ", entry.Load, entry.Slots, entry.LoadAgeMillis)
	}
	if entry.HealthPermille > 0 {
		detail += fmt.Sprintf("answer %d ms, health %d, %d ms old ", entry.AnswerMillis, entry.HealthPermille, entry.AnswerAgeMillis)
	}
	if entry.Attempt > 1 {
		detail += "try " + strconv.Itoa(entry.Attempt) + " "
	}
	if entry.Version > 0 {
		detail += "version " + strconv.FormatUint(entry.Version, 10)
	}
	return detail
}
