package ctl

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

func (a *app) zoneCommands() *cli.Command {
	return &cli.Command{
		Name: "zone", Usage: "availability zones in and out of service", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "drain", ArgsUsage: "REGION/ZONE", Usage: "assign no new flows to the upstreams of a zone", Flags: changeFlags(),
				Action: a.controlAction(func(in *invocationInput) func(context.Context, *session) error { return orderZone(in, true) }),
			},
			{
				Name: "return", ArgsUsage: "REGION/ZONE", Usage: "assign new flows to the upstreams of a zone again", Flags: changeFlags(),
				Action: a.controlAction(func(in *invocationInput) func(context.Context, *session) error { return orderZone(in, false) }),
			},
			{Name: "status", Usage: "show the zones, their upstreams and whether they are in service", Action: a.controlAction(showZones)},
		},
	}
}

func orderZone(in *invocationInput, out bool) func(context.Context, *session) error {
	options := in.changeOptions()
	const argument = "REGION/ZONE"
	text := in.positionalArgs(argument)[0]
	id, err := zone.Parse(text)
	if err != nil && text != "" {
		in.findings.Errorf(finding.Location{Object: "argument " + argument}, "%v", err)
	}
	return proposeChange(options, intent.Change{Kind: intent.KindZone, Zone: &intent.ZoneOrder{Region: id.Region, Name: id.Name, Out: out}})
}

// zoneStatus is a zone in the output of zone status.
type zoneStatus struct {
	Zone zone.ID `json:"zone"`
	Out  bool    `json:"out"`
	// Upstreams counts the upstreams in the inventory, retired ones included.
	Upstreams int `json:"upstreams"`
	// Orders counts the accepted orders about the zone.
	Orders uint64 `json:"orders"`
}

// zonesOutput is the output of zone status.
type zonesOutput struct {
	Revision uint64       `json:"revision"`
	Zones    []zoneStatus `json:"zones"`
}

// showZones shows the zones of the inventory and those that have had orders. A majority
// confirms the state, so that an operator can rely on it before taking VMs away.
func showZones(in *invocationInput) func(context.Context, *session) error {
	in.positionalArgs()
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		state, err := s.linearizableState(ctx)
		if err != nil {
			return err
		}
		output := newZonesOutput(state)
		return s.out.print(output, output.writeText)
	}
}

func newZonesOutput(state *intent.State) *zonesOutput {
	upstreams := map[zone.ID]int{}
	for i := range state.Zones {
		upstreams[state.Zones[i].Zone()] = 0
	}
	for i := range state.VMs {
		count := upstreams[state.VMs[i].Zone]
		if state.VMs[i].Role == vm.RoleUpstream {
			count++
		}
		upstreams[state.VMs[i].Zone] = count
	}
	output := &zonesOutput{Revision: state.Revision, Zones: []zoneStatus{}}
	for id, count := range upstreams {
		current := state.ZoneState(id)
		output.Zones = append(output.Zones, zoneStatus{Zone: id, Out: current.Out, Upstreams: count, Orders: current.Orders})
	}
	slices.SortFunc(output.Zones, func(a, b zoneStatus) int {
		return cmp.Or(cmp.Compare(a.Zone.Region, b.Zone.Region), cmp.Compare(a.Zone.Name, b.Zone.Name))
	})
	return output
}

func (o *zonesOutput) writeText(w io.Writer) {
	printLine(w, "revision %d", o.Revision)
	printLine(w, "")
	rows := [][]string{{"ZONE", "SERVICE", "UPSTREAMS", "ORDERS"}}
	for _, z := range o.Zones {
		rows = append(rows, []string{z.Zone.String(), inOrOut(z.Out), strconv.Itoa(z.Upstreams), strconv.FormatUint(z.Orders, 10)})
	}
	printTable(w, rows)
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
