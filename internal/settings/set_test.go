package settings_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/settings"
)

type timingSettings struct {
	Interval time.Duration `flag:"interval" validate:"gt=0"`
	Peers    []string      `flag:"peers" validate:"dive,hostname_port"`
	Count    int           `flag:"count"`
}

func (t *timingSettings) Register(s *settings.FlagSet) {
	settings.Duration(s, &t.Interval, "interval", "1s", "interval")
	settings.Strings(s, &t.Peers, "peers", "", "peers")
	settings.Int(s, &t.Count, "count", "1", "count")
}

// Guards against an error that reports only the first invalid setting, and against
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
			set := settings.NewFlagSet(&settings.Process{}, &tlsSettings{}, &timingSettings{})
			actionRan := false
			code := settings.Run(context.Background(), append([]string{"program"}, c.args...), &out,
				&cli.Command{Name: "program", Writer: &out}, set,
				func(context.Context) error { actionRan = true; return nil })
			require.Equal(t, c.code, code, out.String())
			require.Equal(t, c.code == settings.ExitOK, actionRan)
			for _, want := range c.want {
				require.Equal(t, 1, bytes.Count(out.Bytes(), []byte(want)), "%q in\n%s", want, out.String())
			}
		})
	}
}

// tlsSettings holds the certificate files of a process. Either all three are set or
// none. Without them, connections are plain TCP, which is meant for loopback.
type tlsSettings struct {
	CA          string `flag:"tls-ca" validate:"omitempty,file"`
	Certificate string `flag:"tls-certificate" validate:"omitempty,file"`
	Key         string `flag:"tls-key" validate:"omitempty,file"`
}

// Register implements Group.
func (t *tlsSettings) Register(s *settings.FlagSet) {
	settings.String(s, &t.CA, "tls-ca", "", "file with the certificate of the cluster CA")
	settings.String(s, &t.Certificate, "tls-certificate", "", "file with the certificate of this process")
	settings.String(s, &t.Key, "tls-key", "", "file with the key of this process")
	s.Check(func(l *finding.List) {
		files := map[string]string{"tls-ca": t.CA, "tls-certificate": t.Certificate, "tls-key": t.Key}
		for _, name := range []string{"tls-ca", "tls-certificate", "tls-key"} {
			if t.AnySet() && files[name] == "" {
				l.Errorf(settings.Location(name), "is required when another TLS file is set")
			}
		}
	})
}

// AnySet reports whether any TLS file is set.
func (t *tlsSettings) AnySet() bool { return t.CA != "" || t.Certificate != "" || t.Key != "" }
