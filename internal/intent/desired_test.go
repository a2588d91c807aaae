package intent_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
)

func desiredState(version uint64, document string) intent.DesiredState {
	return intent.DesiredState{
		Version: version, Document: []byte(document), Services: []intent.DesiredService{{Name: "orders"}},
		Routes: []intent.Route{{
			Name: "r", Virtual: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Second,
			Backends: []intent.WeightedService{{Service: "orders", Weight: 1}},
		}},
	}
}

// Guards against a desired state whose version decreases or whose content
// changes under the same version. Also guards against refusing an operator who
// repeats the current version.
func TestHighestVersionIsApplied(t *testing.T) {
	s := &intent.State{}
	for _, c := range []struct {
		version  uint64
		document string
		outcome  intent.Outcome
		applied  uint64
	}{
		{5, "a", intent.Accepted, 5},
		{5, "a", intent.Accepted, 5},
		{5, "b", intent.Conflict, 5},
		{3, "c", intent.Superseded, 5},
		{9, "d", intent.Accepted, 9},
		{5, "a", intent.Superseded, 9},
	} {
		d := desiredState(c.version, c.document)
		var result intent.Result
		s, result = intent.Apply(s, intent.Change{Kind: intent.KindDesired, Desired: &d})
		require.Equal(t, c.outcome, result.Outcome, "version %d with content %s", c.version, c.document)
		require.Equal(t, c.applied, s.Desired.Version)
	}
	require.EqualValues(t, 2, s.Revision, "only an accepted new version makes a revision")
	require.Equal(t, "d", string(s.Desired.Document))
}

// Guards against accepting desired states that cannot be served.
func TestInvalidDesiredStates(t *testing.T) {
	for name, modify := range map[string]func(d *intent.DesiredState){
		"no version":            func(d *intent.DesiredState) { d.Version = 0 },
		"unknown service":       func(d *intent.DesiredState) { d.Routes[0].Backends[0].Service = "other" },
		"no timeout":            func(d *intent.DesiredState) { d.Routes[0].Timeout = 0 },
		"no weight":             func(d *intent.DesiredState) { d.Routes[0].Backends[0].Weight = 0 },
		"no virtual address":    func(d *intent.DesiredState) { d.Routes[0].Virtual = netip.AddrPort{} },
		"virtual address twice": func(d *intent.DesiredState) { d.Routes = append(d.Routes, d.Routes[0]) },
		"service twice":         func(d *intent.DesiredState) { d.Services = append(d.Services, d.Services[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			d := desiredState(1, "a")
			validResult := d.Validate()
			require.NoError(t, validResult.Err())
			modify(&d)
			invalidResult := d.Validate()
			require.Len(t, invalidResult.Findings, 1)
		})
	}
}
