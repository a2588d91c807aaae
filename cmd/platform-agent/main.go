// Command platform-agent runs the agent on the VM of an upstream of the users'
// platform.
package main

import (
	"context"

	"bramleyhold.example/bramleyhold/internal/fabric"
	"bramleyhold.example/bramleyhold/platform"
)

func main() {
	platform.Main("platform-agent", "passes the packets of one upstream on", newService, platform.LearnedCapacityFlag())
}

func newService(ctx context.Context, p platform.Process) (platform.Service, error) {
	agent, err := fabric.NewAgent(p.Config, p.Dependencies)
	if err != nil {
		return nil, err
	}
	checkIns := platform.CheckInHandler(agent, p.Config.UpstreamAddress, p.Config.Service)
	platform.ServeInBackground(ctx, p, p.Config.ControlAddress, checkIns)
	platform.ServeInBackground(ctx, p, p.Config.ReadinessAddress, platform.ReadinessHandler(agent.Ready))
	return agent, nil
}
