package keys

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

var loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}

func newClusterFolder(t *testing.T) string {
	t.Helper()
	clusterFolder := filepath.Join(t.TempDir(), "cluster")
	require.NoError(t, InitCluster(clusterFolder, time.Now()))
	return clusterFolder
}

func issueTLS(t *testing.T, clusterFolder string, role rpc.Role, name vm.ID, addresses []netip.Addr, now time.Time) (server, client *tls.Config) {
	t.Helper()
	issued, err := IssueCertificate(clusterFolder, CertificateRequest{Role: role, VM: name, Addresses: addresses}, now)
	require.NoError(t, err)
	server, client, err = LoadTLS(issued.Folder)
	require.NoError(t, err)
	return server, client
}

// servePeerName serves one method, which returns the role and the name of the peer in
// the handler's context.
func servePeerName(t *testing.T, config *tls.Config) string {
	t.Helper()
	methods := rpc.Methods{"who": func(ctx context.Context, _ *rpc.Conn, _ json.RawMessage) (any, error) {
		p, ok := rpc.PeerFromContext(ctx)
		if !ok {
			return "nobody", nil
		}
		return string(p.Role) + " " + string(p.VM), nil
	}}
	server, err := rpc.Listen("127.0.0.1:0", config, methods.Handler(), nil)
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(context.Background()) }()
	t.Cleanup(func() {
		_ = server.Close()
		require.NoError(t, <-stopped)
	})
	return server.Address().String()
}

func requestPeerName(t *testing.T, address string, config *tls.Config) (peerName string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := rpc.Dial(ctx, address, config, rpc.Methods{}.Handler())
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	err = conn.Call(ctx, "who", nil, &peerName)
	return peerName, err
}

// Guards against handlers that get an unverified peer, and against connections that
// pass although one side has a missing, wrong or expired certificate.
func TestMutualTLS(t *testing.T) {
	clusterFolder, otherCluster := newClusterFolder(t), newClusterFolder(t)
	now := time.Now()
	expiredAt := now.Add(-2 * CertificateLifetime)
	server, _ := issueTLS(t, clusterFolder, rpc.RoleControl, "control-1", loopback, now)
	_, agent := issueTLS(t, clusterFolder, rpc.RoleAgent, "orders-1", loopback, now)
	operatorServer, operator := issueTLS(t, clusterFolder, rpc.RoleOperator, "iva", nil, now)
	otherServer, otherAgent := issueTLS(t, otherCluster, rpc.RoleAgent, "orders-1", loopback, now)
	expiredServer, expired := issueTLS(t, clusterFolder, rpc.RoleAgent, "orders-2", loopback, expiredAt)
	otherAddress, _ := issueTLS(t, clusterFolder, rpc.RoleControl, "control-2", []netip.Addr{netip.MustParseAddr("192.0.2.9")}, now)
	anonymous := agent.Clone()
	anonymous.Certificates = nil
	for name, c := range map[string]struct {
		server, client *tls.Config
		wantPeer       string
	}{
		"agent":                     {server, agent, "agent orders-1"},
		"operator":                  {server, operator, "operator iva"},
		"role required and met":     {rpc.RequireRole(server, rpc.RoleOperator), rpc.RequireRole(operator, rpc.RoleControl), "operator iva"},
		"wrong role of the client":  {rpc.RequireRole(server, rpc.RoleOperator), agent, ""},
		"wrong role of the server":  {server, rpc.RequireRole(agent, rpc.RoleBalancer), ""},
		"unknown CA of the client":  {server, otherAgent, ""},
		"unknown CA of the server":  {otherServer, agent, ""},
		"expired client":            {server, expired, ""},
		"expired server":            {expiredServer, agent, ""},
		"operator as server":        {operatorServer, agent, ""},
		"certificate of another VM": {otherAddress, agent, ""},
		"client without one":        {server, anonymous, ""},
		"plain client":              {server, nil, ""},
		"plain server":              {nil, agent, ""},
		"plain on both sides":       {nil, nil, "nobody"},
	} {
		t.Run(name, func(t *testing.T) {
			peerName, err := requestPeerName(t, servePeerName(t, c.server), c.client)
			require.Equal(t, c.wantPeer, peerName)
			require.Equal(t, c.wantPeer == "", err != nil)
		})
	}
}

// Guards against private keys that other users can read, and against temporary files
// that are not removed.
func TestFileModes(t *testing.T) {
	clusterFolder := newClusterFolder(t)
	issueTLS(t, clusterFolder, rpc.RoleBalancer, "balancer-1", loopback, time.Now())
	issueTLS(t, clusterFolder, rpc.RoleOperator, "iva", nil, time.Now())
	modes := map[string]os.FileMode{}
	require.NoError(t, filepath.WalkDir(clusterFolder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			info, _ := entry.Info()
			name, _ := filepath.Rel(clusterFolder, path)
			modes[name] = info.Mode().Perm()
		}
		return err
	}))
	require.Equal(t, map[string]os.FileMode{
		"ca.pem": 0o644, "ca.key": 0o600, "frame.json": 0o600, "flow.json": 0o600,
		"vm/balancer-1/ca.pem": 0o644, "vm/balancer-1/tls.pem": 0o600, "vm/balancer-1/frame.json": 0o600, "vm/balancer-1/flow.json": 0o600,
		"vm/iva/ca.pem": 0o644, "vm/iva/tls.pem": 0o600,
	}, modes)
	require.NoError(t, os.Chmod(filepath.Join(clusterFolder, "vm/iva/tls.pem"), 0o640))
	_, _, err := LoadTLS(filepath.Join(clusterFolder, "vm/iva"))
	require.ErrorContains(t, err, "others can read the private key")
}

// Guards against processes of one cluster that rank the members for a flow
// differently.
func TestFlowHasher(t *testing.T) {
	clusterFolder, otherCluster := newClusterFolder(t), newClusterFolder(t)
	issueTLS(t, clusterFolder, rpc.RoleBalancer, "balancer-1", loopback, time.Now())
	issueTLS(t, clusterFolder, rpc.RoleAgent, "orders-1", loopback, time.Now())
	balancerHasher, err := LoadFlowHasher(filepath.Join(clusterFolder, "vm/balancer-1"))
	require.NoError(t, err)
	agentHasher, err := LoadFlowHasher(filepath.Join(clusterFolder, "vm/orders-1"))
	require.NoError(t, err)
	require.Equal(t, balancerHasher, agentHasher)
	otherHasher, err := LoadFlowHasher(otherCluster)
	require.NoError(t, err)
	require.NotEqual(t, balancerHasher, otherHasher)
	require.NoError(t, os.WriteFile(filepath.Join(clusterFolder, flowFile), []byte(`{"secret":"AAAA"}`), 0o600))
	_, err = LoadFlowHasher(clusterFolder)
	require.ErrorContains(t, err, "want 16")
}

// Guards against a CA that is overwritten, and against certificates for invalid
// requests or beyond the validity of the CA.
func TestInvalidRequestsAreRejected(t *testing.T) {
	clusterFolder := newClusterFolder(t)
	require.ErrorContains(t, InitCluster(clusterFolder, time.Now()), "exists already")
	for name, r := range map[string]CertificateRequest{
		"unknown role":        {Role: "root", VM: "a", Addresses: loopback},
		"path as name":        {Role: rpc.RoleAgent, VM: "../a", Addresses: loopback},
		"no address":          {Role: rpc.RoleAgent, VM: "a"},
		"unspecified address": {Role: rpc.RoleAgent, VM: "a", Addresses: []netip.Addr{netip.IPv6Unspecified()}},
	} {
		_, err := IssueCertificate(clusterFolder, r, time.Now())
		var rejected *RequestError
		require.ErrorAs(t, err, &rejected, name)
	}
	_, err := IssueCertificate(clusterFolder, CertificateRequest{Role: rpc.RoleAgent, VM: "a", Addresses: loopback}, time.Now().Add(2*AuthorityLifetime))
	require.ErrorContains(t, err, "has expired")
}

// Guards against a rotation step during which two VMs drop each other's frames
// because only one of them has the new keys.
func TestFrameKeyRotation(t *testing.T) {
	clusterFolder := newClusterFolder(t)
	issueTLS(t, clusterFolder, rpc.RoleBalancer, "balancer-1", loopback, time.Now())
	folder := filepath.Join(clusterFolder, "vm/balancer-1")
	load := func() *frame.Keys {
		k, err := LoadFrameKeys(folder)
		require.NoError(t, err)
		return k
	}
	requireExchange := func(a, b *frame.Keys) {
		for _, side := range [][2]*frame.Keys{{a, b}, {b, a}} {
			for _, kind := range []frame.Kind{frame.KindPacket, frame.KindPeer} {
				sealed, err := side[0].Seal(nil, &frame.Header{Kind: kind}, []byte("body"))
				require.NoError(t, err)
				body, err := side[1].Open(sealed, &frame.Header{})
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
			}
		}
	}
	_, err := ActivateFrameKey(clusterFolder)
	require.ErrorContains(t, err, "no key is staged")
	// The key after id 255 has id 0.
	require.NoError(t, writeFrameKeys(filepath.Join(clusterFolder, frameFile), frameKeys{Current: 254, Keys: []frameKey{newFrameKey(254), newFrameKey(253)}}))
	_, err = updateVMFolders(clusterFolder)
	require.NoError(t, err)
	previousKeys := load()
	for range 5 {
		rotation, err := StageFrameKey(clusterFolder)
		require.NoError(t, err)
		require.Equal(t, []string{folder}, rotation.Folders)
		stagedKeys := load()
		requireExchange(previousKeys, stagedKeys)
		_, err = StageFrameKey(clusterFolder)
		require.ErrorContains(t, err, "staged already")
		_, err = ActivateFrameKey(clusterFolder)
		require.NoError(t, err)
		activeKeys := load()
		requireExchange(stagedKeys, activeKeys)
		require.NotEqual(t, stagedKeys.Current, activeKeys.Current)
		previousKeys = activeKeys
	}
}

// Guards against a rotation step that starts while VM folders still have the keys
// from before the previous step.
func TestInterruptedRotationIsFinishedFirst(t *testing.T) {
	clusterFolder := newClusterFolder(t)
	issueTLS(t, clusterFolder, rpc.RoleAgent, "orders-1", loopback, time.Now())
	vmKeyFile := filepath.Join(clusterFolder, "vm/orders-1/frame.json")
	oldKeys, err := os.ReadFile(vmKeyFile)
	require.NoError(t, err)
	_, err = StageFrameKey(clusterFolder)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(vmKeyFile, oldKeys, 0o600))
	_, err = ActivateFrameKey(clusterFolder)
	require.ErrorContains(t, err, "interrupted step was finished")
	rotation, err := ActivateFrameKey(clusterFolder)
	require.NoError(t, err)
	require.Equal(t, Rotation{Current: 2, Other: 1, Folders: []string{filepath.Dir(vmKeyFile)}}, rotation)
	for name, text := range map[string]string{
		"not JSON": "{", "no key": `{"current":1,"keys":[]}`, "short": `{"current":1,"keys":[{"id":1,"secret":"AAAA"}]}`,
	} {
		require.NoError(t, os.WriteFile(vmKeyFile, []byte(text), 0o600))
		_, err := LoadFrameKeys(filepath.Dir(vmKeyFile))
		require.Error(t, err, name)
	}
}
