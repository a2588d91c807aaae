package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"

	"bramleyhold.example/bramleyhold/internal/rpc"
)

// LoadTLS returns the TLS configurations from the folder of a VM. Both verify the
// certificate of the other side against the cluster CA. A client also verifies the
// address of the server, which rpc.Dial sets. Roles are checked by rpc.RequireRole or
// by the handlers.
func LoadTLS(folder string) (server, client *tls.Config, err error) {
	path := filepath.Join(folder, caFile)
	caText, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificates: %w", err)
	}
	ca, err := parseCertificate(path, caText)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificates: %w", err)
	}
	path = filepath.Join(folder, tlsFile)
	text, err := readPrivateFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificates: %w", err)
	}
	pair, err := tls.X509KeyPair(text, text)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificates: %s: %w", path, err)
	}
	if _, ok := rpc.PeerOfCertificate(pair.Leaf); !ok {
		return nil, nil, &FileError{Path: path, Reason: "certificate names no VM or no known role"}
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool,
	}
	return server, client, nil
}
