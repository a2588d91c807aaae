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

// RenewBefore is how long before its expiry a certificate is reported as due for
// renewal. Thirty days leave time to restart every process once.
const RenewBefore = 30 * 24 * time.Hour

// certificateExpiryMetric is the expiry of the certificate as Unix time in seconds.
const certificateExpiryMetric = "certificate.not_after_seconds"

// IdentityError reports a keys folder that was issued for another process.
type IdentityError struct {
	Folder          string
	CertificatePeer rpc.Peer
	ExpectedPeer    rpc.Peer
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("keys folder %s: the certificate is that of %s %q, want %s %q; copy the folder of this VM",
		e.Folder, e.CertificatePeer.Role, e.CertificatePeer.VM, e.ExpectedPeer.Role, e.ExpectedPeer.VM)
}

// LoadSecretsForProcess reads the keys folder and checks that it was issued for this
// process.
func LoadSecretsForProcess(folder string, id vm.ID, role rpc.Role) (*Secrets, error) {
	secrets, err := LoadSecrets(folder)
	if err != nil {
		return nil, err
	}
	expected := rpc.Peer{VM: id, Role: role}
	if actual, _ := rpc.PeerOfCertificate(secrets.Server.Certificates[0].Leaf); actual != expected {
		return nil, &IdentityError{Folder: folder, CertificatePeer: actual, ExpectedPeer: expected}
	}
	return secrets, nil
}

// ReportCertificateExpiry logs when the certificate of this process expires and sets its
// metric. After the expiry, connections with other processes fail.
func ReportCertificateExpiry(log *logrus.Entry, registry metrics.Registry, cfg *tls.Config, now time.Time) {
	if cfg == nil || len(cfg.Certificates) == 0 || cfg.Certificates[0].Leaf == nil {
		return
	}
	notAfter := cfg.Certificates[0].Leaf.NotAfter
	metrics.GetOrRegisterGauge(certificateExpiryMetric, registry).Update(notAfter.Unix())
	entry := log.WithField("not_after", notAfter.UTC().Format(time.RFC3339))
	switch {
	case now.After(notAfter):
		entry.Error("the certificate has expired: issue it again and restart this process")
	case notAfter.Sub(now) < RenewBefore:
		entry.Warn("the certificate expires soon: issue it again and restart this process")
	default:
		entry.Info("certificate loaded")
	}
}
