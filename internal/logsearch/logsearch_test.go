package logsearch_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/logsearch"
)

const timestampPrefix = "2026-03-24T08:25:"

func logLine(seconds, vm, event, reason, callerPort, extraFields string) string {
	return fmt.Sprintf(`  1.5 %s {"event":%q,"flow":"100.64.0.7:%s>198.18.0.1:443",%s"msg":"decision","program":"p","reason":%q,"time":"%s%sZ","vm":%q}`+"\n",
		vm, event, callerPort, extraFields, reason, timestampPrefix, seconds, vm)
}

func writeLogs(t *testing.T, files map[string]string) string {
	folder := t.TempDir()
	for name, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	return folder
}

// Guards against results that contain lines of other flows, or of another flow that
// used the same port at another time.
func TestSearchReturnsLinesOfOneRequest(t *testing.T) {
	folder := writeLogs(t, map[string]string{
		"balancer.log": logLine("10.100", "edge-1", "forward", "placed", "40001", `"try":1,`) +
			logLine("10.200", "edge-1", "forward", "placed", "40002", "") + "not JSON at all\n" +
			logLine("50.000", "edge-1", "forward", "placed", "40001", ""),
		"agent.log": logLine("10.150", "side-1", "request", "known", "40001", `"request":"cd90ed95",`) +
			logLine("11.000", "side-1", "reset", "upstream_lost", "40001", ""),
	})
	result, err := logsearch.Search(folder, logsearch.Query{RequestID: "cd90ed95", Window: 10 * time.Second})
	require.NoError(t, err)
	require.Equal(t, "100.64.0.7:40001>198.18.0.1:443", result.Flow)
	events := []string{}
	for _, e := range result.Entries {
		events = append(events, e.VM+" "+e.Event)
	}
	require.Equal(t, []string{"edge-1 forward", "side-1 request", "side-1 reset"}, events)
	require.Contains(t, result.Cause, "started again")
}

// Guards against an explanation that does not match the events in the log, for
// each kind of failure that callers report.
func TestCausePerFailure(t *testing.T) {
	for name, testCase := range map[string]struct{ lines, wantPrefix string }{
		"cold":    {logLine("01.0", "b", "forward", "placed", "1", "") + logLine("01.1", "b", "reset", "all_warming_up", "1", ""), "refused: the upstreams that could take it are cold"},
		"refused": {logLine("01.0", "b", "forward", "placed", "1", "") + logLine("01.1", "b", "reset", "overloaded", "1", ""), "refused: every upstream"},
		"reset":   {logLine("01.0", "b", "not_found", "", "1", "") + logLine("01.1", "b", "reset", "nobody_holds", "1", ""), "ended: the upstream that held"},
		"late":    {logLine("01.0", "a", "rejected", "silent", "1", "") + logLine("01.1", "b", "forward", "placed_again", "1", ""), "late: an upstream did not respond"},
		"nothing": {logLine("01.0", "b", "forward", "placed", "1", ""), "no decision"},
	} {
		t.Run(name, func(t *testing.T) {
			result, err := logsearch.Search(writeLogs(t, map[string]string{"x": testCase.lines}), logsearch.Query{Caller: "100.64.0.7:1"})
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(result.Cause, testCase.wantPrefix), result.Cause)
		})
	}
	_, err := logsearch.Search(t.TempDir(), logsearch.Query{Caller: "100.64.0.7:1"})
	var notFound *logsearch.NotFoundError
	require.ErrorAs(t, err, &notFound)
}

func BenchmarkSearch(b *testing.B) {
	folder := b.TempDir()
	text := strings.Repeat(logLine("01.0", "b", "forward", "placed", "40001", ""), 50_000)
	require.NoError(b, os.WriteFile(filepath.Join(folder, "x"), []byte(text), 0o600))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, err := logsearch.Search(folder, logsearch.Query{Caller: "100.64.0.9:1"})
		var notFound *logsearch.NotFoundError
		require.ErrorAs(b, err, &notFound)
	}
}
