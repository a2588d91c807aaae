package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// LoadTLS returns the configurations for accepting and for opening connections
// from the PEM files of the cluster CA and of this process. Both sides verify
// each other.
func LoadTLS(ca, certificate, key string) (server, client *tls.Config, err error) {
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, nil, fmt.Errorf("read the certificate of the CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("%s holds no certificate", ca)
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, nil, fmt.Errorf("read the certificate of this process: %w", err)
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool}
	return server, client, nil
}
