// Command platform-balancer runs a balancer on an entry VM of the users' platform.
// It forwards the packets of callers to agents.
package main

import (
	"context"

	"bramleyhold.example/bramleyhold/internal/fabric"
	"bramleyhold.example/bramleyhold/platform"
)

func main() {
	platform.Main("platform-balancer", "sends the packets of callers to agents", newService)
}

func newService(ctx context.Context, p platform.Process) (platform.Service, error) {
	balancer, err := fabric.NewBalancer(p.Config, p.Dependencies)
	if err != nil {
		return nil, err
	}
	platform.ServeInBackground(ctx, p, p.Config.ReadinessAddress, platform.ReadinessHandler(balancer.Ready))
	return balancer, nil
}
