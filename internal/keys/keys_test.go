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

func newCluster(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "cluster")
	require.NoError(t, Init(dir, time.Now()))
	return dir
}

func issue(t *testing.T, dir string, role rpc.Role, name vm.ID, addresses []netip.Addr, now time.Time) (server, client *tls.Config) {
	t.Helper()
	issued, err := Issue(dir, Request{Role: role, VM: name, Addresses: addresses}, now)
	require.NoError(t, err)
	server, client, err = LoadTLS(issued.Folder)
	require.NoError(t, err)
	return server, client
}

// whoAmI serves one method that returns the peer that the handler sees.
func whoAmI(t *testing.T, config *tls.Config) string {
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

func who(t *testing.T, address string, config *tls.Config) (answer string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := rpc.Dial(ctx, address, config, rpc.Methods{}.Handler())
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	err = conn.Call(ctx, "who", nil, &answer)
	return answer, err
}

// Guards against handlers that see an unverified peer, and against every way
// past the verification of either side.
func TestMutualTLS(t *testing.T) {
	dir, other := newCluster(t), newCluster(t)
	now := time.Now()
	long := now.Add(-2 * CertificateLifetime)
	server, _ := issue(t, dir, rpc.RoleControl, "control-1", loopback, now)
	_, agent := issue(t, dir, rpc.RoleAgent, "orders-1", loopback, now)
	operatorServer, operator := issue(t, dir, rpc.RoleOperator, "iva", nil, now)
	otherServer, otherAgent := issue(t, other, rpc.RoleAgent, "orders-1", loopback, now)
	expiredServer, expired := issue(t, dir, rpc.RoleAgent, "orders-2", loopback, long)
	elsewhere, _ := issue(t, dir, rpc.RoleControl, "control-2", []netip.Addr{netip.MustParseAddr("192.0.2.9")}, now)
	anonymous := agent.Clone()
	anonymous.Certificates = nil
	for name, c := range map[string]struct {
		server, client *tls.Config
		answer         string
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
		"certificate of another VM": {elsewhere, agent, ""},
		"client without one":        {server, anonymous, ""},
		"plain client":              {server, nil, ""},
		"plain server":              {nil, agent, ""},
		"plain on both sides":       {nil, nil, "nobody"},
	} {
		t.Run(name, func(t *testing.T) {
			answer, err := who(t, whoAmI(t, c.server), c.client)
			require.Equal(t, c.answer, answer)
			require.Equal(t, c.answer == "", err != nil)
		})
	}
}

// Guards against private keys that others can read, and temporary files that
// stay behind.
func TestFileModes(t *testing.T) {
	dir := newCluster(t)
	issue(t, dir, rpc.RoleBalancer, "balancer-1", loopback, time.Now())
	issue(t, dir, rpc.RoleOperator, "iva", nil, time.Now())
	modes := map[string]os.FileMode{}
	require.NoError(t, filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			info, _ := entry.Info()
			name, _ := filepath.Rel(dir, path)
			modes[name] = info.Mode().Perm()
		}
		return err
	}))
	require.Equal(t, map[string]os.FileMode{
		"ca.pem": 0o644, "ca.key": 0o600, "frame.json": 0o600, "flow.json": 0o600,
		"vm/balancer-1/ca.pem": 0o644, "vm/balancer-1/tls.pem": 0o600, "vm/balancer-1/frame.json": 0o600, "vm/balancer-1/flow.json": 0o600,
		"vm/iva/ca.pem": 0o644, "vm/iva/tls.pem": 0o600,
	}, modes)
	require.NoError(t, os.Chmod(filepath.Join(dir, "vm/iva/tls.pem"), 0o640))
	_, _, err := LoadTLS(filepath.Join(dir, "vm/iva"))
	require.ErrorContains(t, err, "others can read the private key")
}

// Guards against processes of one cluster that rank the members of a flow
// differently.
func TestFlowHasher(t *testing.T) {
	dir, other := newCluster(t), newCluster(t)
	issue(t, dir, rpc.RoleBalancer, "balancer-1", loopback, time.Now())
	issue(t, dir, rpc.RoleAgent, "orders-1", loopback, time.Now())
	a, err := LoadFlowHasher(filepath.Join(dir, "vm/balancer-1"))
	require.NoError(t, err)
	b, err := LoadFlowHasher(filepath.Join(dir, "vm/orders-1"))
	require.NoError(t, err)
	require.Equal(t, a, b)
	c, err := LoadFlowHasher(other)
	require.NoError(t, err)
	require.NotEqual(t, a, c)
	require.NoError(t, os.WriteFile(filepath.Join(dir, flowFile), []byte(`{"secret":"AAAA"}`), 0o600))
	_, err = LoadFlowHasher(dir)
	require.ErrorContains(t, err, "want 16")
}

// Guards against an overwritten CA and certificates outside the rules.
func TestRefusals(t *testing.T) {
	dir := newCluster(t)
	require.ErrorContains(t, Init(dir, time.Now()), "exists already")
	for name, r := range map[string]Request{
		"unknown role":        {Role: "root", VM: "a", Addresses: loopback},
		"path as name":        {Role: rpc.RoleAgent, VM: "../a", Addresses: loopback},
		"no address":          {Role: rpc.RoleAgent, VM: "a"},
		"unspecified address": {Role: rpc.RoleAgent, VM: "a", Addresses: []netip.Addr{netip.IPv6Unspecified()}},
	} {
		_, err := Issue(dir, r, time.Now())
		var refused *RequestError
		require.ErrorAs(t, err, &refused, name)
	}
	_, err := Issue(dir, Request{Role: rpc.RoleAgent, VM: "a", Addresses: loopback}, time.Now().Add(2*AuthorityLifetime))
	require.ErrorContains(t, err, "has expired")
}

// Guards against a step of a rotation after which two VMs, of which one has
// made the step and the other has not, drop each other's frames.
func TestFrameKeyRotation(t *testing.T) {
	dir := newCluster(t)
	issue(t, dir, rpc.RoleBalancer, "balancer-1", loopback, time.Now())
	folder := filepath.Join(dir, "vm/balancer-1")
	load := func() *frame.Keys {
		k, err := LoadFrameKeys(folder)
		require.NoError(t, err)
		return k
	}
	exchange := func(a, b *frame.Keys) {
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
	_, err := ActivateFrameKey(dir)
	require.ErrorContains(t, err, "no key is staged")
	// Key ids start over after 255.
	require.NoError(t, writeFrameKeys(filepath.Join(dir, frameFile), frameKeys{Current: 254, Keys: []frameKey{newFrameKey(254), newFrameKey(253)}}))
	_, err = distribute(dir)
	require.NoError(t, err)
	before := load()
	for range 5 {
		r, err := StageFrameKey(dir)
		require.NoError(t, err)
		require.Equal(t, []string{folder}, r.Folders)
		staged := load()
		exchange(before, staged)
		_, err = StageFrameKey(dir)
		require.ErrorContains(t, err, "staged already")
		_, err = ActivateFrameKey(dir)
		require.NoError(t, err)
		active := load()
		exchange(staged, active)
		require.NotEqual(t, staged.Current, active.Current)
		before = active
	}
}

// Guards against the next step of a rotation while VM folders still have the
// keys of the last one.
func TestInterruptedRotation(t *testing.T) {
	dir := newCluster(t)
	issue(t, dir, rpc.RoleAgent, "orders-1", loopback, time.Now())
	copied := filepath.Join(dir, "vm/orders-1/frame.json")
	old, err := os.ReadFile(copied)
	require.NoError(t, err)
	_, err = StageFrameKey(dir)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(copied, old, 0o600))
	_, err = ActivateFrameKey(dir)
	require.ErrorContains(t, err, "interrupted step was finished")
	r, err := ActivateFrameKey(dir)
	require.NoError(t, err)
	require.Equal(t, Rotation{Current: 2, Other: 1, Folders: []string{filepath.Dir(copied)}}, r)
	for name, text := range map[string]string{
		"not JSON": "{", "no key": `{"current":1,"keys":[]}`, "short": `{"current":1,"keys":[{"id":1,"secret":"AAAA"}]}`,
	} {
		require.NoError(t, os.WriteFile(copied, []byte(text), 0o600))
		_, err := LoadFrameKeys(filepath.Dir(copied))
		require.Error(t, err, name)
	}
}
