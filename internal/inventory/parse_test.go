package inventory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/ranking"
)

func renderResult(t *testing.T, inv *intent.Inventory, findings finding.List) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, f := range findings.Findings {
		fmt.Fprintln(&b, f)
	}
	if inv != nil {
		text, err := json.MarshalIndent(inv, "", " ")
		require.NoError(t, err)
		fmt.Fprintln(&b, string(text))
	}
	return b.Bytes()
}

// Guards against findings that are lost, repeated or reported at the wrong
// location, and against an unsorted inventory.
func TestParseGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.csv")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".csv")
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile(file)
			require.NoError(t, err)
			inv, findings := Parse(name+".csv", content)
			require.Equal(t, findings.HasErrors(), inv == nil)
			goldie.New(t).Assert(t, name, renderResult(t, inv, findings))
		})
	}
}

const csvHeader = "kind,name,address,zone,role,service,port,protocol,slots,connections\n"

func exampleExport(upstreams int) []byte {
	var b strings.Builder
	b.WriteString(csvHeader + "service,web,203.0.113.1,,,,443,tcp,,\n")
	b.WriteString("vm,bal-1,198.51.100.1,west/a,balancer,,,,,\nvm,ctl-1,198.51.100.2,west/a,control,,,,,\n")
	for i := range upstreams {
		fmt.Fprintf(&b, "vm,web-%d,192.0.2.%d,west/a,upstream,web,,,4,500\n", i, i)
	}
	return []byte(b.String())
}

// Guards against limits that are off by one.
func TestFileAndMemberLimits(t *testing.T) {
	withRows := func(n int) []byte { return []byte(string(exampleExport(1)) + strings.Repeat(",,,,,,,,,\n", n-4)) }
	withBytes := func(n int) []byte {
		return append(exampleExport(1), bytes.Repeat([]byte("\n"), n-len(exampleExport(1)))...)
	}
	for name, test := range map[string]struct {
		content []byte
		reason  string
	}{
		"members at the limit":    {exampleExport(ranking.MaxMembers), ""},
		"members above the limit": {exampleExport(ranking.MaxMembers + 1), "service has 65 upstream VMs: at most 64 are allowed"},
		"rows at the limit":       {withRows(MaxRows), ""},
		"rows above the limit":    {withRows(MaxRows + 1), "file has more than 20000 rows"},
		"size at the limit":       {withBytes(MaxBytes), ""},
		"size above the limit":    {withBytes(MaxBytes + 1), "file is larger than 4194304 bytes"},
		"text is not UTF-8":       {append(exampleExport(1), 0xff), "text is not UTF-8"},
		"byte order mark":         {append([]byte("\ufeff"), exampleExport(1)...), ""},
	} {
		t.Run(name, func(t *testing.T) {
			inv, findings := Parse("f.csv", test.content)
			if test.reason == "" {
				require.Empty(t, findings.Findings)
				require.NotNil(t, inv)
				return
			}
			require.Nil(t, inv)
			require.Len(t, findings.Findings, 1)
			require.Equal(t, test.reason, findings.Findings[0].Reason)
		})
	}
}

// Guards against an example inventory that operators cannot import.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"scipalka-lesnina", "typotheque-armorique"} {
		content, err := os.ReadFile(filepath.Join("../../examples", name, "inventory.csv"))
		require.NoError(t, err)
		inv, findings := Parse(name, content)
		require.Empty(t, findings.Findings)
		require.Len(t, inv.VMs, 16)
		require.Len(t, inv.Services, 2)
	}
}

// Guards against panics and findings without a location. Also guards against a
// file that is rejected without an error finding.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.csv")
	for _, file := range files {
		content, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		inv, findings := Parse("f.csv", content)
		require.Equal(t, findings.HasErrors(), inv == nil)
		for _, item := range findings.Findings {
			require.Equal(t, "f.csv", item.Location.File)
			require.NotEmpty(t, item.Reason)
		}
		if inv == nil {
			return
		}
		for i := range inv.VMs {
			require.True(t, inv.VMs[i].Address.IsValid())
			require.True(t, i == 0 || inv.VMs[i-1].ID < inv.VMs[i].ID)
		}
	})
}
