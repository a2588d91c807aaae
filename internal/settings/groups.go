package settings

import (
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Process holds the settings of every long-running program.
type Process struct {
	VM          vm.ID   `flag:"vm" validate:"required"`
	Zone        zone.ID `flag:"zone" validate:"required"`
	DataFolder  string  `flag:"data-folder"`
	HTTPAddress string  `flag:"http-address" validate:"omitempty,listen"`
	LogLevel    string  `flag:"log-level" validate:"oneof=debug info warning error"`
}

// Register implements Group.
func (p *Process) Register(s *FlagSet) {
	String(s, &p.VM, "vm", "", "name of this VM in the asset register")
	Text(s, &p.Zone, "zone", "", "region/zone of this VM")
	String(s, &p.DataFolder, "data-folder", "", "folder of all files that this program writes")
	String(s, &p.HTTPAddress, "http-address", "127.0.0.1:0", "address of /healthz and /metrics")
	String(s, &p.LogLevel, "log-level", "info", "debug, info, warning or error")
}
