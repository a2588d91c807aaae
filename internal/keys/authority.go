package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"bramleyhold.example/bramleyhold/internal/durable"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// AuthorityLifetime is how long the CA can issue certificates.
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	// CertificateLifetime is how long an issued certificate is valid.
	CertificateLifetime = 365 * 24 * time.Hour
	// clockSkew is how far in the past the validity of a certificate begins, so that
	// VMs whose clocks are behind accept it.
	clockSkew = 5 * time.Minute

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// InitCluster creates the CA, the flow hash secret and the first frame key of a cluster in a
// folder. It fails if the folder already has one of the files.
func InitCluster(clusterFolder string, now time.Time) error {
	if err := os.MkdirAll(clusterFolder, folderMode); err != nil {
		return err
	}
	for _, name := range []string{caFile, caKeyFile, flowFile, frameFile} {
		path := filepath.Join(clusterFolder, name)
		if _, err := os.Lstat(path); err == nil {
			return &FileError{Path: path, Reason: "exists already; choose another folder or remove it"}
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		Subject:   pkix.Name{CommonName: "bramleyhold cluster CA"},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(AuthorityLifetime),
		KeyUsage: x509.KeyUsageCertSign, IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return err
	}
	keyText, err := encodeKey(key)
	if err != nil {
		return err
	}
	if err := durable.ReplaceFile(filepath.Join(clusterFolder, caKeyFile), keyText, privateMode); err != nil {
		return err
	}
	if err := durable.ReplaceFile(filepath.Join(clusterFolder, caFile), encodeCertificate(der), publicMode); err != nil {
		return err
	}
	if err := writeFlowSecret(filepath.Join(clusterFolder, flowFile)); err != nil {
		return err
	}
	return writeFrameKeys(filepath.Join(clusterFolder, frameFile), newFrameKeys())
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der})
}

// CertificateRequest describes a certificate.
type CertificateRequest struct {
	Role rpc.Role
	// VM is the name of the VM or of the operator.
	VM vm.ID
	// Addresses are the addresses at which other processes connect to the VM.
	// Operators need none.
	Addresses []netip.Addr
}

// RequestError reports an invalid certificate request.
type RequestError struct {
	Reason string
}

func (e *RequestError) Error() string { return "certificate request: " + e.Reason }

func (r *CertificateRequest) validate() error {
	if !r.Role.Valid() {
		return &RequestError{Reason: fmt.Sprintf("unknown role %q", r.Role)}
	}
	if !vm.ValidName(string(r.VM)) {
		return &RequestError{Reason: fmt.Sprintf("%q is not a VM name", r.VM)}
	}
	if r.Role != rpc.RoleOperator && len(r.Addresses) == 0 {
		return &RequestError{Reason: fmt.Sprintf("role %s needs an address", r.Role)}
	}
	for _, a := range r.Addresses {
		if !a.IsValid() || a.IsUnspecified() {
			return &RequestError{Reason: fmt.Sprintf("%q is not the address of a VM", a)}
		}
	}
	return nil
}

// Issued is the result of IssueCertificate.
type Issued struct {
	Folder   string
	NotAfter time.Time
}

// IssueCertificate creates the folder of a VM with the CA certificate and a
// certificate with its private key. The folder of a VM also gets the frame keys and
// the flow hash secret; the folder of an operator does not. An existing folder gets a
// new certificate.
func IssueCertificate(clusterFolder string, request CertificateRequest, now time.Time) (Issued, error) {
	if err := request.validate(); err != nil {
		return Issued{}, err
	}
	authority, caText, err := loadAuthority(clusterFolder)
	if err != nil {
		return Issued{}, err
	}
	content, notAfter, err := authority.issueCertificate(&request, now)
	if err != nil {
		return Issued{}, err
	}
	folder := filepath.Join(clusterFolder, vmFolder, string(request.VM))
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return Issued{}, err
	}
	if err := durable.ReplaceFile(filepath.Join(folder, caFile), caText, publicMode); err != nil {
		return Issued{}, err
	}
	if request.Role != rpc.RoleOperator {
		if err := copySecrets(clusterFolder, folder); err != nil {
			return Issued{}, err
		}
	}
	// The certificate is written last, so that a folder with a certificate is complete.
	if err := durable.ReplaceFile(filepath.Join(folder, tlsFile), content, privateMode); err != nil {
		return Issued{}, err
	}
	return Issued{Folder: folder, NotAfter: notAfter}, nil
}

type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func loadAuthority(clusterFolder string) (*certificateAuthority, []byte, error) {
	caText, err := os.ReadFile(filepath.Join(clusterFolder, caFile))
	if err != nil {
		return nil, nil, err
	}
	keyPath := filepath.Join(clusterFolder, caKeyFile)
	keyText, err := readPrivateFile(keyPath)
	if err != nil {
		return nil, nil, err
	}
	certificate, err := parseCertificate(filepath.Join(clusterFolder, caFile), caText)
	if err != nil {
		return nil, nil, err
	}
	block, _ := pem.Decode(keyText)
	if block == nil {
		return nil, nil, &FileError{Path: keyPath, Reason: "holds no PEM block"}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, &FileError{Path: keyPath, Reason: err.Error()}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, nil, &FileError{Path: keyPath, Reason: "does not belong to " + caFile}
	}
	return &certificateAuthority{certificate: certificate, key: key}, caText, nil
}

func parseCertificate(path string, text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, &FileError{Path: path, Reason: "holds no PEM block"}
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, &FileError{Path: path, Reason: err.Error()}
	}
	return certificate, nil
}

// issueCertificate returns a PEM text with the certificate followed by its private
// key, and the end of the certificate's validity.
func (a *certificateAuthority) issueCertificate(request *CertificateRequest, now time.Time) ([]byte, time.Time, error) {
	if now.After(a.certificate.NotAfter) {
		return nil, time.Time{}, &FileError{Path: caFile, Reason: "the CA certificate has expired"}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, time.Time{}, err
	}
	notAfter := now.Add(CertificateLifetime)
	if notAfter.After(a.certificate.NotAfter) {
		notAfter = a.certificate.NotAfter
	}
	template := &x509.Certificate{
		Subject:   pkix.Name{CommonName: string(request.VM), OrganizationalUnit: []string{string(request.Role)}},
		NotBefore: now.Add(-clockSkew), NotAfter: notAfter,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: extendedKeyUsages(request.Role),
		BasicConstraintsValid: true,
	}
	for _, address := range request.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.Unmap().AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, time.Time{}, err
	}
	keyText, err := encodeKey(key)
	if err != nil {
		return nil, time.Time{}, err
	}
	return append(encodeCertificate(der), keyText...), notAfter, nil
}

// extendedKeyUsages allows server authentication for all roles except operators.
func extendedKeyUsages(role rpc.Role) []x509.ExtKeyUsage {
	if role == rpc.RoleOperator {
		return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	}
	return []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
}
