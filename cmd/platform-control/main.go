// Command platform-control runs a control process on the users' platform. It
// serves the operator's API and keeps the desired state and the directory.
package main

import (
	"context"

	"bramleyhold.example/bramleyhold/internal/fabric"
	"bramleyhold.example/bramleyhold/platform"
)

func main() {
	platform.Main("platform-control", "keeps the desired state and the directory of processes", newService)
}

func newService(ctx context.Context, p platform.Process) (platform.Service, error) {
	control, err := fabric.NewControl(p.Config, p.Dependencies)
	if err != nil {
		return nil, err
	}
	platform.ServeInBackground(ctx, p, p.Config.ControlAddress, platform.OperatorHandler(control, p.Config.ControlAddress.Port(), p.Dependencies.Log))
	return control, nil
}
