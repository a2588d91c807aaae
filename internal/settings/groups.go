package settings

import (
	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Process holds the settings that every long-running program has.
type Process struct {
	VM          vm.ID   `flag:"vm" validate:"required"`
	Zone        zone.ID `flag:"zone" validate:"required"`
	DataFolder  string  `flag:"data-folder"`
	HTTPAddress string  `flag:"http-address" validate:"omitempty,listen"`
	LogLevel    string  `flag:"log-level" validate:"oneof=debug info warning error"`
}

// Register implements Group.
func (p *Process) Register(s *Set) {
	String(s, &p.VM, "vm", "", "name of this VM in the asset register")
	Text(s, &p.Zone, "zone", "", "region/zone of this VM")
	String(s, &p.DataFolder, "data-folder", "", "folder of all files that this program writes")
	String(s, &p.HTTPAddress, "http-address", "127.0.0.1:0", "address of /healthz and /metrics")
	String(s, &p.LogLevel, "log-level", "info", "debug, info, warning or error")
}

// TLS holds the certificate files of a process. All three are set, or none;
// without them connections are plain TCP, which is meant for loopback.
type TLS struct {
	CA          string `flag:"tls-ca" validate:"omitempty,file"`
	Certificate string `flag:"tls-certificate" validate:"omitempty,file"`
	Key         string `flag:"tls-key" validate:"omitempty,file"`
}

// Register implements Group.
func (t *TLS) Register(s *Set) {
	String(s, &t.CA, "tls-ca", "", "file with the certificate of the cluster CA")
	String(s, &t.Certificate, "tls-certificate", "", "file with the certificate of this process")
	String(s, &t.Key, "tls-key", "", "file with the key of this process")
	s.Check(func(l *finding.List) {
		set := map[string]string{"tls-ca": t.CA, "tls-certificate": t.Certificate, "tls-key": t.Key}
		for _, name := range []string{"tls-ca", "tls-certificate", "tls-key"} {
			if t.Enabled() && set[name] == "" {
				l.Errorf(Place(name), "is required when another TLS file is set")
			}
		}
	})
}

// Enabled reports whether any TLS file is set.
func (t *TLS) Enabled() bool { return t.CA != "" || t.Certificate != "" || t.Key != "" }
