package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
)

// Policy names how openings and packets are distributed.
type Policy string

// The policies.
const (
	Bramley     Policy = "bramley"
	BramleyHome Policy = "bramley-home"
	Hash        Policy = "hash"
	Conntrack   Policy = "conntrack"
	Oracle      Policy = "oracle"
)

// Policies returns all policies in the order of the table.
func Policies() []Policy { return []Policy{Bramley, BramleyHome, Hash, Conntrack, Oracle} }

// Deployment describes the links and the two services of a run.
type Deployment struct {
	Name        string
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Slots       int
	Services    [2]ServiceLoad
}

// ServiceLoad describes one service and its callers.
type ServiceLoad struct {
	Name      service.Name
	Upstreams int
	Contract  service.Contract
}

// Options says what to run.
type Options struct {
	Scenario  string
	Policy    Policy
	Seed      uint64
	Upstreams int
	Slots     int
	Load      float64
	Balancers int
	Flows     int
	// Duration, if set, replaces Flows as the length of the run.
	Duration   time.Duration
	ViewLag    time.Duration
	Loss       float64
	Deployment Deployment
}

// Deployments returns the two deployments of the design page.
func Deployments() []Deployment {
	kamnik := Deployment{
		Name: "kamnik", ZoneDelay: 3 * time.Millisecond, CallerDelay: 3 * time.Millisecond, Slots: 7,
		Services: [2]ServiceLoad{
			{Name: "orders", Upstreams: 7, Contract: contract(service.LongFlows, false, service.PreferSurvival)},
			{Name: "kilnlog", Upstreams: 3, Contract: contract(service.ShortRequests, true, service.PreferSurvival)},
		},
	}
	rennes := Deployment{
		Name: "rennes", ZoneDelay: 5 * time.Millisecond, CallerDelay: time.Millisecond, Slots: 2,
		Services: [2]ServiceLoad{
			{Name: "licence-desk", Upstreams: 7, Contract: contract(service.LongFlows, false, service.PreferBalance)},
			{Name: "font-depot", Upstreams: 3, Contract: contract(service.ShortRequests, true, service.PreferBalance)},
		},
	}
	return []Deployment{kamnik, rennes}
}

// bench is used unless a deployment is named: the main service takes short
// requests, so that slots are held from opening to end.
func bench() Deployment {
	return Deployment{
		Name: "bench", ZoneDelay: 3 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Services: [2]ServiceLoad{
			{Name: "main", Contract: contract(service.ShortRequests, false, service.PreferSurvival)},
			{Name: "other", Upstreams: 3, Contract: contract(service.LongFlows, true, service.PreferSurvival)},
		},
	}
}

func contract(shape service.Shape, idempotent bool, p service.Priority) service.Contract {
	c := service.DefaultContract()
	c.Shape, c.Idempotent, c.Priority = shape, idempotent, p
	return c
}

// DefaultOptions returns the options of the targets in the design page.
func DefaultOptions() Options {
	return Options{
		Scenario: "steady", Policy: Bramley, Seed: 1, Upstreams: 7, Slots: 7, Load: 0.7,
		Balancers: 3, Flows: 2000, Deployment: bench(),
	}
}

// OptionError reports options that cannot be run.
type OptionError struct {
	Option string
	Reason string
}

func (e *OptionError) Error() string { return fmt.Sprintf("%s: %s", e.Option, e.Reason) }

// validate checks options and says which scenarios can be run.
func (o *Options) validate() error {
	if !slices.Contains(Policies(), o.Policy) {
		return &OptionError{Option: "policy", Reason: fmt.Sprintf("%q is not known", o.Policy)}
	}
	_, control := controlScenarios[o.Scenario]
	if control && o.Policy != Bramley {
		return &OptionError{Option: "policy", Reason: "scenario " + o.Scenario + " concerns control only and runs with bramley"}
	}
	if _, ok := scenarios[o.Scenario]; !ok && !control {
		return &OptionError{Option: "scenario", Reason: fmt.Sprintf("%q is not built; built: %s", o.Scenario, strings.Join(Scenarios(), ", "))}
	}
	if o.Upstreams < 2 || o.Upstreams > 64 || o.Slots < 1 || o.Balancers < 1 || o.Balancers > 200 || o.Flows < 1 {
		return &OptionError{Option: "upstreams, slots, balancers, flows", Reason: "want 2 to 64 upstreams, 1 to 200 balancers, and at least 1 slot and flow"}
	}
	if o.Load <= 0 || o.Load > 2 || o.Loss < 0 || o.Loss >= 1 || o.ViewLag < 0 {
		return &OptionError{Option: "load, loss, view-lag", Reason: "want load in (0, 2], loss in [0, 1) and a lag of at least 0"}
	}
	return nil
}
