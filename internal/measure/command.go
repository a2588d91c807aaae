package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"bramleyhold.example/bramleyhold/internal/service"
)

// Command returns the command "measure".
func Command() *cli.Command {
	d := DefaultOptions()
	return &cli.Command{
		Name:  "measure",
		Usage: "run the decision code on virtual time and report broken invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: d.Scenario, Usage: "what happens during the run"},
			&cli.StringFlag{Name: "policy", Value: string(d.Policy), Usage: "bramley, bramley-home, hash, conntrack or oracle"},
			&cli.StringFlag{Name: "deployment", Usage: "kamnik or rennes; sets links, services and slots"},
			&cli.Uint64Flag{Name: "seed", Value: d.Seed, Usage: "seed of all random numbers"},
			&cli.IntFlag{Name: "upstreams", Value: d.Upstreams, Usage: "upstreams of the main service"},
			&cli.IntFlag{Name: "slots", Value: d.Slots, Usage: "slots of each upstream"},
			&cli.Float64Flag{Name: "load", Value: d.Load, Usage: "share of the slots in use on average"},
			&cli.IntFlag{Name: "balancers", Value: d.Balancers, Usage: "number of balancers"},
			&cli.IntFlag{Name: "flows", Value: d.Flows, Usage: "openings of the main service"},
			&cli.StringFlag{Name: "priority", Usage: "survival or balance; replaces the priority of the main service"},
			&cli.DurationFlag{Name: "view-lag", Usage: "greatest extra delay of an update to a node"},
			&cli.Float64Flag{Name: "loss", Usage: "share of packets lost on each link"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object per run"},
			&cli.BoolFlag{Name: "all", Usage: "run every scenario and policy for both deployments"},
		},
		Action: runCommand,
	}
}

func runCommand(_ context.Context, c *cli.Command) error {
	opts := Options{
		Scenario: c.String("scenario"), Policy: Policy(c.String("policy")), Seed: c.Uint64("seed"),
		Upstreams: c.Int("upstreams"), Slots: c.Int("slots"), Load: c.Float64("load"), Balancers: c.Int("balancers"),
		Flows: c.Int("flows"), ViewLag: c.Duration("view-lag"), Loss: c.Float64("loss"), Deployment: benchDeployment(),
	}
	if name := c.String("deployment"); name != "" {
		d, err := deploymentByName(name)
		if err != nil {
			return err
		}
		opts.Deployment = d
	}
	if priority := service.Priority(c.String("priority")); priority != "" {
		if priority != service.PrioritySurvival && priority != service.PriorityBalance {
			return &OptionError{Option: "priority", Reason: fmt.Sprintf("%q is not known", priority)}
		}
		opts.Deployment.Services[0].Contract.Priority = priority
	}
	runs := []Options{opts}
	if c.Bool("all") {
		runs = deploymentTableRuns(opts)
	}
	return writeResults(c.Root().Writer, runs, c.Bool("json"))
}

func deploymentByName(name string) (Deployment, error) {
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, &OptionError{Option: "deployment", Reason: fmt.Sprintf("%q is not known", name)}
}

const (
	// tableRunDuration is the virtual duration of each run of the flag --all.
	tableRunDuration = 30 * time.Second
	// maxParallelRuns limits the simulations that run at the same time.
	maxParallelRuns = 4
)

func deploymentTableRuns(base Options) []Options {
	var runs []Options
	base.Duration = tableRunDuration
	for _, deployment := range Deployments() {
		for _, scenario := range Scenarios() {
			for _, policy := range Policies() {
				base.Deployment, base.Scenario, base.Policy = deployment, scenario, policy
				if base.validate() == nil {
					runs = append(runs, base)
				}
			}
		}
	}
	return runs
}

// runInParallel runs all simulations and returns the results in the order of runs.
func runInParallel(runs []Options) ([]Result, error) {
	results := make([]Result, len(runs))
	var group errgroup.Group
	group.SetLimit(maxParallelRuns)
	for i := range runs {
		group.Go(func() (err error) {
			results[i], err = Run(runs[i])
			return err
		})
	}
	return results, group.Wait()
}

func writeResults(out io.Writer, runs []Options, asJSON bool) error {
	results, err := runInParallel(runs)
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(out)
		for i := range results {
			if err := encoder.Encode(&results[i]); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 8, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "deployment\tscenario\tpolicy\testab\tbroken\tlost\twrongsvc\twrongans\ttwice\trefran\tleave\timbal\topen\trefused\twaitfree\thops\tp99\tB/s\tforce\trevert\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d\t%.2f\t%d\t%.0f\t%d\t%d\t\n",
			r.Deployment, r.Scenario, r.Policy, r.EstablishedFlows, r.BrokenFlows, r.LostInUpstreamCrash, r.PacketsForWrongService,
			r.WrongResponses, r.ExecutedTwice, r.RefusedButExecuted, r.FlowsAfterLeave, r.Imbalance, r.Openings, r.OpeningsRefused,
			r.OpeningsWaitedWhileFree, r.HopsMean, r.HopsP99, r.ControlBytesPerNodeS, r.MaxPropagationMs, r.RevisionsReverted)
	}
	return table.Flush()
}
