package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
)

// Policy names an algorithm that distributes openings and packets.
type Policy string

// The policies. Bramley and BramleyHome run the real balancer and agent code.
// BramleyHome lets the home of a flow place it. Hash uses stateless rendezvous
// hashing. Conntrack adds a connection table to each balancer. Oracle selects the
// least loaded upstream with complete and current information.
const (
	Bramley     Policy = "bramley"
	BramleyHome Policy = "bramley-home"
	Hash        Policy = "hash"
	Conntrack   Policy = "conntrack"
	Oracle      Policy = "oracle"
)

// Policies returns all policies in the order in which the table lists them.
func Policies() []Policy { return []Policy{Bramley, BramleyHome, Hash, Conntrack, Oracle} }

// Deployment describes the link delays and the two services of a run.
type Deployment struct {
	Name        string
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Slots       int
	Services    [2]ServiceLoad
}

// ServiceLoad describes one service and the number of its upstreams.
type ServiceLoad struct {
	Name      service.Name
	Upstreams int
	Contract  service.Contract
}

// Options configures a simulation.
type Options struct {
	Scenario  string
	Policy    Policy
	Seed      uint64
	Upstreams int
	Slots     int
	Load      float64
	Balancers int
	Flows     int
	// Duration is the time for which openings arrive. If it is 0, Flows
	// determines that time.
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
			{Name: "orders", Upstreams: 7, Contract: serviceContract(service.ShapeLongFlows, false, service.PrioritySurvival)},
			{Name: "kilnlog", Upstreams: 3, Contract: serviceContract(service.ShapeShortRequests, true, service.PrioritySurvival)},
		},
	}
	rennes := Deployment{
		Name: "rennes", ZoneDelay: 5 * time.Millisecond, CallerDelay: time.Millisecond, Slots: 2,
		Services: [2]ServiceLoad{
			{Name: "licence-desk", Upstreams: 7, Contract: serviceContract(service.ShapeLongFlows, false, service.PriorityBalance)},
			{Name: "font-depot", Upstreams: 3, Contract: serviceContract(service.ShapeShortRequests, true, service.PriorityBalance)},
		},
	}
	return []Deployment{kamnik, rennes}
}

// benchDeployment is the default if no deployment is named. Its main service takes
// short requests, so that a connection occupies a slot from its opening to its end.
func benchDeployment() Deployment {
	return Deployment{
		Name: "bench", ZoneDelay: 3 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Services: [2]ServiceLoad{
			{Name: "main", Contract: serviceContract(service.ShapeShortRequests, false, service.PrioritySurvival)},
			{Name: "other", Upstreams: 3, Contract: serviceContract(service.ShapeLongFlows, true, service.PrioritySurvival)},
		},
	}
}

func serviceContract(shape service.FlowShape, idempotent bool, priority service.Priority) service.Contract {
	newContract := service.DefaultContract()
	newContract.Shape, newContract.Idempotent, newContract.Priority = shape, idempotent, priority
	return newContract
}

// DefaultOptions returns the options for which the design page states its targets.
func DefaultOptions() Options {
	return Options{
		Scenario: "steady", Policy: Bramley, Seed: 1, Upstreams: 7, Slots: 7, Load: 0.7,
		Balancers: 3, Flows: 2000, Deployment: benchDeployment(),
	}
}

// OptionError reports an invalid option or an unsupported combination of options.
type OptionError struct {
	Option string
	Reason string
}

func (e *OptionError) Error() string { return fmt.Sprintf("%s: %s", e.Option, e.Reason) }

// validate checks the options. The error for an unknown scenario lists the known
// ones.
func (o *Options) validate() error {
	if !slices.Contains(Policies(), o.Policy) {
		return &OptionError{Option: "policy", Reason: fmt.Sprintf("%q is not known", o.Policy)}
	}
	_, isControlScenario := controlScenarios[o.Scenario]
	if isControlScenario && o.Policy != Bramley {
		return &OptionError{Option: "policy", Reason: "scenario " + o.Scenario + " simulates only the control replicas and requires the policy bramley"}
	}
	if _, ok := scenarios[o.Scenario]; !ok && !isControlScenario {
		return &OptionError{Option: "scenario", Reason: fmt.Sprintf("%q is not known; known scenarios: %s", o.Scenario, strings.Join(Scenarios(), ", "))}
	}
	if o.Upstreams < 2 || o.Upstreams > 64 || o.Slots < 1 || o.Balancers < 1 || o.Balancers > 200 || o.Flows < 1 {
		return &OptionError{Option: "upstreams, slots, balancers, flows", Reason: "must be 2 to 64 upstreams, 1 to 200 balancers, and at least 1 slot and 1 flow"}
	}
	if o.Load <= 0 || o.Load > 2 || o.Loss < 0 || o.Loss >= 1 || o.ViewLag < 0 {
		return &OptionError{Option: "load, loss, view-lag", Reason: "load must be in (0, 2], loss in [0, 1) and view-lag at least 0"}
	}
	return nil
}
