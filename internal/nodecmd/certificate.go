package nodecmd

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// RenewBefore is how long before its end a certificate is reported as due.
// Thirty days leave time for one round of planned restarts.
const RenewBefore = 30 * 24 * time.Hour

// certificateMetric is the end of the certificate as Unix time in seconds.
const certificateMetric = "certificate.not_after_seconds"

// IdentityError reports a keys folder that was issued for another process.
type IdentityError struct {
	Folder string
	Has    rpc.Peer
	Want   rpc.Peer
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("keys folder %s: the certificate is that of %s %q, want %s %q; copy the folder of this VM",
		e.Folder, e.Has.Role, e.Has.VM, e.Want.Role, e.Want.VM)
}

// LoadSecretsOf reads the keys folder and checks that it was issued for this
// process.
func LoadSecretsOf(folder string, id vm.ID, role rpc.Role) (*Secrets, error) {
	secrets, err := LoadSecrets(folder)
	if err != nil {
		return nil, err
	}
	want := rpc.Peer{VM: id, Role: role}
	if has, _ := rpc.PeerOfCertificate(secrets.Server.Certificates[0].Leaf); has != want {
		return nil, &IdentityError{Folder: folder, Has: has, Want: want}
	}
	return secrets, nil
}

// ReportCertificate logs when the certificate of this process ends and sets
// the metric of it. Connections of other processes fail after that.
func ReportCertificate(log *logrus.Entry, registry metrics.Registry, cfg *tls.Config, now time.Time) {
	if cfg == nil || len(cfg.Certificates) == 0 || cfg.Certificates[0].Leaf == nil {
		return
	}
	end := cfg.Certificates[0].Leaf.NotAfter
	metrics.GetOrRegisterGauge(certificateMetric, registry).Update(end.Unix())
	entry := log.WithField("not_after", end.UTC().Format(time.RFC3339))
	switch {
	case now.After(end):
		entry.Error("the certificate has expired: issue it again and restart this process")
	case end.Sub(now) < RenewBefore:
		entry.Warn("the certificate expires soon: issue it again and restart this process")
	default:
		entry.Info("certificate loaded")
	}
}
