package settings_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/settings"
)

type timing struct {
	Interval time.Duration `flag:"interval" validate:"gt=0"`
	Peers    []string      `flag:"peers" validate:"dive,hostname_port"`
	Count    int           `flag:"count"`
}

func (t *timing) Register(s *settings.Set) {
	settings.Duration(s, &t.Interval, "interval", "1s", "interval")
	settings.Strings(s, &t.Peers, "peers", "", "peers")
	settings.Int(s, &t.Count, "count", "1", "count")
}

// Guards against a report that stops at the first invalid setting, and against
// an invalid setting that is reported twice.
func TestRunReportsEveryInvalidSetting(t *testing.T) {
	cases := map[string]struct {
		args []string
		env  map[string]string
		code int
		want []string
	}{
		"valid": {args: []string{"--vm", "c1", "--zone", "local/a", "--peers", "a:1,b:2"}, code: settings.ExitOK},
		"valid from the environment": {
			args: nil, env: map[string]string{"BRAMLEY_VM": "c1", "BRAMLEY_ZONE": "local/a"}, code: settings.ExitOK,
		},
		"all invalid at once": {
			args: []string{"--interval", "fast", "--count", "x", "--zone", "nowhere", "--peers", "a,b"},
			env:  map[string]string{"BRAMLEY_LOG_LEVEL": "loud"},
			code: settings.ExitSettings,
			want: []string{
				"--interval", "BRAMLEY_INTERVAL", "--count", "--zone", "--peers", "--log-level",
				"--vm field BRAMLEY_VM: error: is required",
			},
		},
		"no zone": {
			args: []string{"--vm", "c1"}, code: settings.ExitSettings,
			want: []string{"--zone field BRAMLEY_ZONE: error: is required"},
		},
		"unknown flag":        {args: []string{"--nothing"}, code: settings.ExitSettings, want: []string{"nothing"}},
		"unexpected argument": {args: []string{"--vm", "c1", "--zone", "local/a", "extra"}, code: settings.ExitSettings, want: []string{"extra"}},
		"TLS incomplete": {
			args: []string{"--vm", "c1", "--tls-ca", "set_test.go"}, code: settings.ExitSettings,
			want: []string{"--tls-certificate", "--tls-key"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for key, value := range c.env {
				t.Setenv(key, value)
			}
			var out bytes.Buffer
			set := settings.NewSet(&settings.Process{}, &settings.TLS{}, &timing{})
			ran := false
			code := settings.Run(context.Background(), append([]string{"program"}, c.args...), &out,
				&cli.Command{Name: "program", Writer: &out}, set,
				func(context.Context) error { ran = true; return nil })
			require.Equal(t, c.code, code, out.String())
			require.Equal(t, c.code == settings.ExitOK, ran)
			for _, want := range c.want {
				require.Equal(t, 1, bytes.Count(out.Bytes(), []byte(want)), "%q in\n%s", want, out.String())
			}
		})
	}
}
