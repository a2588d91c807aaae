package ctl

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/retry"
	"bramleyhold.example/bramleyhold/internal/rpc"
)

const (
	// attemptTimeout bounds one attempt, so that a silent control VM leaves
	// time for the others. It is longer than the 5 s for which bramley-control
	// waits for a majority, so that its answer arrives.
	attemptTimeout = 6 * time.Second
	// minAttempt is about two exchanges between zones plus a TLS handshake.
	minAttempt = 50 * time.Millisecond
	// maxRetries is the initial retry budget. One command makes few requests,
	// so that the ratio earns next to nothing.
	maxRetries  = 8
	retryRatio  = 0.1
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// maxRedirects bounds following of "not the leader" without a wait, in
	// case two replicas name each other.
	maxRedirects = 3
)

// client sends requests to the control VMs. All methods of the API can be
// repeated: reads change nothing and changes carry an operation id.
type client struct {
	addresses []string
	target    int
	leader    string
	config    *tls.Config
	policy    *retry.Policy
	rng       *rand.Rand
	now       func() time.Time
	pause     func(context.Context, time.Duration)
	conns     map[string]*rpc.Conn
}

func newClient(addresses []netip.AddrPort, config *tls.Config, rng *rand.Rand) *client {
	c := &client{
		config: rpc.RequireRole(config, rpc.RoleControl), rng: rng, now: time.Now, pause: pause, conns: map[string]*rpc.Conn{},
		policy: &retry.Policy{Backoff: retry.Backoff{Base: backoffBase, Max: backoffMax}, MinAttempt: minAttempt},
	}
	c.setBudget(maxRetries)
	for _, a := range addresses {
		c.addresses = append(c.addresses, a.String())
	}
	return c
}

func (c *client) setBudget(retries float64) { c.policy.Budget = retry.NewBudget(retryRatio, retries) }

func (c *client) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// call sends a request until there is an answer that another attempt cannot
// change. It follows the leader and changes to another address on a failure.
func (c *client) call(ctx context.Context, method string, params, result any) error {
	c.policy.Budget.Request()
	failed := &UnavailableError{Method: method}
	for redirects := 0; ; {
		failed.Attempts++
		sent, err := c.attempt(ctx, method, params, result)
		if err == nil {
			return nil
		}
		if final := definitive(method, err); final != nil {
			return final
		}
		failed.Sent = failed.Sent || sent
		if failed.Last == nil || ctx.Err() == nil {
			// An attempt cut off by the deadline says less than the one before.
			failed.Last = err
		}
		var moved *leaderMovedError
		if errors.As(err, &moved) {
			c.leader = moved.address
			redirects++
			if c.leader != "" && redirects <= maxRedirects {
				continue
			}
		}
		c.leader = ""
		c.target++
		if !c.wait(ctx, failed) {
			return failed
		}
	}
}

// wait sleeps until the next attempt and reports whether there is one.
func (c *client) wait(ctx context.Context, failed *UnavailableError) bool {
	deadline, _ := ctx.Deadline()
	decision := c.policy.Next(failed.Attempts-1, c.now(), deadline, c.rng)
	if decision.Verdict != retry.Retry {
		failed.Reason = string(decision.Verdict)
		return false
	}
	c.pause(ctx, decision.Wait)
	if err := ctx.Err(); err != nil {
		failed.Reason = err.Error()
		return false
	}
	return true
}

func (c *client) address() string {
	if c.leader != "" {
		return c.leader
	}
	return c.addresses[c.target%len(c.addresses)]
}

// attempt sends one request. It reports whether the request may have reached
// the server.
func (c *client) attempt(ctx context.Context, method string, params, result any) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	address := c.address()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return false, err
	}
	err = conn.Call(ctx, method, params, result)
	var answer *jsonrpc2.Error
	if err != nil && !errors.As(err, &answer) {
		// A connection with an open request is not used again.
		_ = conn.Close()
		delete(c.conns, address)
	}
	if answer != nil && answer.Code == controlapi.CodeNotLeader {
		// A leader that is deposed while it commits may answer like this, too.
		return true, movedTo(answer, c.config)
	}
	return true, err
}

func (c *client) dial(ctx context.Context, address string) (*rpc.Conn, error) {
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := rpc.Dial(ctx, address, c.config, rpc.Methods{}.Handler())
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// leaderMovedError reports that the request belongs to another replica.
type leaderMovedError struct {
	address string
}

func (e *leaderMovedError) Error() string {
	if e.address == "" {
		return "the replica is not the leader and knows none"
	}
	return "the replica is not the leader and names " + e.address
}

// movedTo ignores an address that plain TCP must not be used for.
func movedTo(answer *jsonrpc2.Error, config *tls.Config) error {
	var data controlapi.NotLeaderData
	decodeData(answer, &data)
	address, err := parseEndpoint(data.Address)
	if err != nil || config == nil && !address.Addr().IsLoopback() {
		return &leaderMovedError{}
	}
	return &leaderMovedError{address: address.String()}
}

func decodeData(answer *jsonrpc2.Error, value any) {
	if answer.Data != nil {
		_ = json.Unmarshal(*answer.Data, value)
	}
}

// definitive returns the error of an answer that a retry would not change, or
// nil if a retry can help.
func definitive(method string, err error) error {
	var answer *jsonrpc2.Error
	if !errors.As(err, &answer) {
		return nil
	}
	switch answer.Code {
	case controlapi.CodeUnavailable:
		return nil
	case controlapi.CodeInvalid:
		var list finding.List
		decodeData(answer, &list)
		reason := answer.Message
		if err := list.Err(); err != nil {
			// The message of bramley-control repeats the findings.
			reason = strings.TrimSuffix(reason, ": "+err.Error())
		}
		return &RejectedError{Reason: reason, List: list}
	case controlapi.CodeNotAuthorized:
		return &NotAuthorizedError{Method: method, Reason: answer.Message}
	}
	return err
}
