package ctl

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"bramleyhold.example/bramleyhold/internal/logsearch"
)

// explainLogs shows the decisions about one request from log files.
func explainLogs(in *input) func(*printer) error {
	in.args()
	folder := in.text("logs")
	if folder == "" {
		in.fail("logs", "is required")
	}
	q := logsearch.Query{Request: in.text("request"), Caller: in.text("caller")}
	if (q.Request == "") == (q.Caller == "") {
		in.fail("request", "want either --request or --caller")
	}
	var err error
	if q.Window, err = time.ParseDuration(in.text("window")); err != nil {
		in.fail("window", "%v", err)
	}
	if at := in.text("at"); at != "" {
		if q.At, err = time.Parse(time.RFC3339Nano, at); err != nil {
			in.fail("at", "%v", err)
		}
	}
	return func(p *printer) error {
		result, err := logsearch.Search(folder, q)
		if err != nil {
			return err
		}
		return p.show(result, func(w io.Writer) { showLogs(w, &result) })
	}
}

func showLogs(w io.Writer, result *logsearch.Result) {
	rows := [][]string{{"TIME", "VM", "PROGRAM", "EVENT", "REASON", "PEER", "DETAIL"}}
	for i := range result.Entries {
		e := &result.Entries[i]
		rows = append(rows, []string{e.Time.Format("15:04:05.000"), e.VM, e.Program, e.Event, e.Reason, e.Peer, logDetail(e)})
	}
	line(w, "flow %s", result.Flow)
	table(w, rows)
	line(w, "cause: %s", result.Cause)
}

// logDetail shows what a decision was based on.
func logDetail(e *logsearch.Entry) string {
	detail := ""
	if e.Request != "" {
		detail += "request " + e.Request + " "
	}
	if e.Slots > 0 {
		detail += fmt.Sprintf("load %d of %d, %d ms old ", e.Load, e.Slots, e.AgeMS)
	}
	if e.Try > 1 {
		detail += "try " + strconv.Itoa(e.Try) + " "
	}
	if e.Version > 0 {
		detail += "version " + strconv.FormatUint(e.Version, 10)
	}
	return detail
}
