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

func render(t *testing.T, inv *intent.Inventory, l finding.List) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, f := range l.Findings {
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
// place, and against an unsorted inventory.
func TestParseGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.csv")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".csv")
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile(file)
			require.NoError(t, err)
			inv, l := Parse(name+".csv", content)
			require.Equal(t, l.HasErrors(), inv == nil)
			goldie.New(t).Assert(t, name, render(t, inv, l))
		})
	}
}

const head = "kind,name,address,zone,role,service,port,protocol,slots,connections\n"

func export(upstreams int) []byte {
	var b strings.Builder
	b.WriteString(head + "service,web,203.0.113.1,,,,443,tcp,,\n")
	b.WriteString("vm,bal-1,198.51.100.1,west/a,balancer,,,,,\nvm,ctl-1,198.51.100.2,west/a,control,,,,,\n")
	for i := range upstreams {
		fmt.Fprintf(&b, "vm,web-%d,192.0.2.%d,west/a,upstream,web,,,4,500\n", i, i)
	}
	return []byte(b.String())
}

// Guards against bounds that reject one too few or one too many.
func TestBounds(t *testing.T) {
	rows := func(n int) []byte { return []byte(string(export(1)) + strings.Repeat(",,,,,,,,,\n", n-4)) }
	padded := func(n int) []byte { return append(export(1), bytes.Repeat([]byte("\n"), n-len(export(1)))...) }
	for name, c := range map[string]struct {
		content []byte
		reason  string
	}{
		"members at the bound":    {export(ranking.MaxMembers), ""},
		"members above the bound": {export(ranking.MaxMembers + 1), "service has 65 upstream VMs: at most 64 are allowed"},
		"rows at the bound":       {rows(MaxRows), ""},
		"rows above the bound":    {rows(MaxRows + 1), "file has more than 20000 rows"},
		"size at the bound":       {padded(MaxBytes), ""},
		"size above the bound":    {padded(MaxBytes + 1), "file is larger than 4194304 bytes"},
		"text is not UTF-8":       {append(export(1), 0xff), "text is not UTF-8"},
		"byte order mark":         {append([]byte("\ufeff"), export(1)...), ""},
	} {
		t.Run(name, func(t *testing.T) {
			inv, l := Parse("f.csv", c.content)
			if c.reason == "" {
				require.Empty(t, l.Findings)
				require.NotNil(t, inv)
				return
			}
			require.Nil(t, inv)
			require.Len(t, l.Findings, 1)
			require.Equal(t, c.reason, l.Findings[0].Reason)
		})
	}
}

// Guards against an example that operators cannot import.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"scipalka-lesnina", "typotheque-armorique"} {
		content, err := os.ReadFile(filepath.Join("../../examples", name, "inventory.csv"))
		require.NoError(t, err)
		inv, l := Parse(name, content)
		require.Empty(t, l.Findings)
		require.Len(t, inv.Machines, 16)
		require.Len(t, inv.Services, 2)
	}
}

// Guards against panics, findings without a place, and a file that is neither
// accepted nor explained.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.csv")
	for _, file := range files {
		content, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		inv, l := Parse("f.csv", content)
		require.Equal(t, l.HasErrors(), inv == nil)
		for _, item := range l.Findings {
			require.Equal(t, "f.csv", item.Location.File)
			require.NotEmpty(t, item.Reason)
		}
		if inv == nil {
			return
		}
		for i := range inv.Machines {
			require.True(t, inv.Machines[i].Address.IsValid())
			require.True(t, i == 0 || inv.Machines[i-1].ID < inv.Machines[i].ID)
		}
	})
}
