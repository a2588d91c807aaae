// Command platform-control runs a control process of the users' platform.
package main

import (
	"context"

	"bramleyhold.example/bramleyhold/internal/fabric"
	"bramleyhold.example/bramleyhold/platform"
)

func main() {
	platform.Main("platform-control", "keeps the desired state and the directory of processes", start)
}

func start(ctx context.Context, p platform.Process) (platform.Service, error) {
	control, err := fabric.NewControl(p.Config, p.Environment)
	if err != nil {
		return nil, err
	}
	platform.ServeInBackground(ctx, p, p.Config.Control, platform.OperatorHandler(control, p.Config.Control.Port()))
	return control, nil
}
