package main

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/settings"
)

// Guards against reporting only one invalid setting at a time. Also guards
// against an initial configuration whose size does not survive the loss of a
// minority.
func TestInvalidSettings(t *testing.T) {
	cases := map[string]struct {
		args []string
		want []string
	}{
		"nothing set": {want: []string{"--vm", "--peers", "--data-folder"}},
		"all invalid": {
			args: []string{"--vm", "c9", "--peers", "c1=127.0.0.1:1,c2=127.0.0.1:2", "--heartbeat", "fast", "--listen", "nowhere"},
			want: []string{"want 1, 3, 5 or 7 control VMs", "BRAMLEY_HEARTBEAT", "BRAMLEY_LISTEN", "BRAMLEY_DATA_FOLDER"},
		},
		"invalid together": {
			args: []string{"--vm", "c9", "--peers", "c1=127.0.0.1:1", "--data-folder", "x", "--heartbeat", "500ms"},
			want: []string{`this VM "c9" is missing`, "must be at most a third of the election timeout"},
		},
		"a VM twice": {args: []string{"--peers", "c1=127.0.0.1:1,c1=127.0.0.1:2"}, want: []string{`"c1" appears twice`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errors bytes.Buffer
			code := run(context.Background(), append([]string{program}, c.args...), &out, &errors)
			require.Equal(t, settings.ExitSettings, code)
			for _, want := range c.want {
				require.Contains(t, errors.String(), want)
			}
		})
	}
}
