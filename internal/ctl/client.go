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
	// attemptTimeout bounds one attempt, so that a control VM that does not
	// respond leaves time for the others. It outlasts the 5 s for which
	// bramley-control waits for a majority, so that its error response arrives.
	attemptTimeout = 6 * time.Second
	// minAttemptTime is the least time left in which an attempt is worth
	// starting: about two round trips between zones plus a TLS handshake.
	minAttemptTime = 50 * time.Millisecond
	// initialRetryBudget bounds the retries of one command. A command makes few
	// requests, so retryBudgetRatio adds almost nothing to it.
	initialRetryBudget = 8
	retryBudgetRatio   = 0.1
	backoffBase        = 50 * time.Millisecond
	backoffMax         = 2 * time.Second
	// maxLeaderRedirects bounds how many "not the leader" responses are
	// followed without a backoff. Two replicas may each report the other as
	// the leader.
	maxLeaderRedirects = 3
)

// client sends requests to the control VMs. All requests are safe to repeat.
// Reads change nothing, and changes carry an operation ID.
type client struct {
	addresses     []string
	addressIndex  int
	leaderAddress string
	tlsConfig     *tls.Config
	retryPolicy   *retry.Policy
	random        *rand.Rand
	now           func() time.Time
	sleep         func(context.Context, time.Duration)
	connections   map[string]*rpc.Conn
}

func newClient(addresses []netip.AddrPort, tlsConfig *tls.Config, random *rand.Rand) *client {
	c := &client{
		tlsConfig: rpc.RequireRole(tlsConfig, rpc.RoleControl), random: random, now: time.Now, sleep: sleepContext, connections: map[string]*rpc.Conn{},
		retryPolicy: &retry.Policy{Backoff: retry.Backoff{Base: backoffBase, Max: backoffMax}, MinAttempt: minAttemptTime},
	}
	c.resetRetryBudget(initialRetryBudget)
	for _, a := range addresses {
		c.addresses = append(c.addresses, a.String())
	}
	return c
}

func (c *client) resetRetryBudget(retries float64) {
	c.retryPolicy.Budget = retry.NewBudget(retryBudgetRatio, retries)
}

func (c *client) close() {
	for _, conn := range c.connections {
		_ = conn.Close()
	}
}

// call sends a request until it succeeds or fails permanently. It retries until
// the budget or the deadline is exhausted. It follows redirects to the leader,
// and tries the next address after another failure.
func (c *client) call(ctx context.Context, method string, params, result any) error {
	c.retryPolicy.Budget.RecordRequest()
	unavailable := &UnavailableError{Method: method}
	for redirects := 0; ; {
		unavailable.Attempts++
		mayHaveExecuted, err := c.callOnce(ctx, method, params, result)
		if err == nil {
			return nil
		}
		if permanentErr := permanentError(method, err); permanentErr != nil {
			return permanentErr
		}
		unavailable.MayHaveExecuted = unavailable.MayHaveExecuted || mayHaveExecuted
		if unavailable.LastError == nil || ctx.Err() == nil {
			// An attempt that the deadline cancelled says less about the
			// cause than the one before.
			unavailable.LastError = err
		}
		var notLeader *notLeaderError
		if errors.As(err, &notLeader) {
			c.leaderAddress = notLeader.leaderAddress
			redirects++
			if c.leaderAddress != "" && redirects <= maxLeaderRedirects {
				continue
			}
		}
		c.leaderAddress = ""
		c.addressIndex++
		if !c.waitBeforeRetry(ctx, unavailable) {
			return unavailable
		}
	}
}

// waitBeforeRetry sleeps for the backoff and reports whether another attempt is
// allowed.
func (c *client) waitBeforeRetry(ctx context.Context, unavailable *UnavailableError) bool {
	deadline, _ := ctx.Deadline()
	decision := c.retryPolicy.Next(unavailable.Attempts-1, c.now(), deadline, c.random)
	if decision.Outcome != retry.Retry {
		unavailable.Reason = string(decision.Outcome)
		return false
	}
	c.sleep(ctx, decision.Delay)
	if err := ctx.Err(); err != nil {
		unavailable.Reason = err.Error()
		return false
	}
	return true
}

func (c *client) currentAddress() string {
	if c.leaderAddress != "" {
		return c.leaderAddress
	}
	return c.addresses[c.addressIndex%len(c.addresses)]
}

// callOnce sends one request to the current address. mayHaveExecuted is false if
// the request was certainly not sent.
func (c *client) callOnce(ctx context.Context, method string, params, result any) (mayHaveExecuted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	address := c.currentAddress()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return false, err
	}
	err = conn.Call(ctx, method, params, result)
	var errorResponse *jsonrpc2.Error
	if err != nil && !errors.As(err, &errorResponse) {
		// The request is still open on the connection, so the connection is
		// not reused.
		_ = conn.Close()
		delete(c.connections, address)
	}
	if errorResponse != nil && errorResponse.Code == controlapi.CodeNotLeader {
		// A leader that loses leadership while it commits may return this error
		// too, so the request may have been executed.
		return true, parseNotLeader(errorResponse, c.tlsConfig)
	}
	return true, err
}

func (c *client) connection(ctx context.Context, address string) (*rpc.Conn, error) {
	if conn, ok := c.connections[address]; ok {
		return conn, nil
	}
	conn, err := rpc.Dial(ctx, address, c.tlsConfig, rpc.Methods{}.Handler())
	if err != nil {
		return nil, err
	}
	c.connections[address] = conn
	return conn, nil
}

// notLeaderError reports that the replica is not the leader.
type notLeaderError struct {
	// leaderAddress is empty if the replica reported no usable address.
	leaderAddress string
}

func (e *notLeaderError) Error() string {
	if e.leaderAddress == "" {
		return "the replica is not the leader and reports no usable leader address"
	}
	return "the replica is not the leader; it reports the leader at " + e.leaderAddress
}

// parseNotLeader reads the leader's address from an error response. Without TLS
// it drops an address that is not on loopback, because plain TCP must not be
// used for it.
func parseNotLeader(errorResponse *jsonrpc2.Error, tlsConfig *tls.Config) error {
	var data controlapi.NotLeaderData
	decodeErrorData(errorResponse, &data)
	address, err := parseEndpoint(data.Address)
	if err != nil || tlsConfig == nil && !address.Addr().IsLoopback() {
		return &notLeaderError{}
	}
	return &notLeaderError{leaderAddress: address.String()}
}

func decodeErrorData(errorResponse *jsonrpc2.Error, value any) {
	if errorResponse.Data != nil {
		_ = json.Unmarshal(*errorResponse.Data, value)
	}
}

// permanentError converts an error response that a retry would not change. It
// returns nil if a retry can help.
func permanentError(method string, err error) error {
	var errorResponse *jsonrpc2.Error
	if !errors.As(err, &errorResponse) {
		return nil
	}
	switch errorResponse.Code {
	case controlapi.CodeUnavailable:
		return nil
	case controlapi.CodeInvalid:
		var findings finding.List
		decodeErrorData(errorResponse, &findings)
		reason := errorResponse.Message
		if err := findings.Err(); err != nil {
			// The message of bramley-control repeats the findings.
			reason = strings.TrimSuffix(reason, ": "+err.Error())
		}
		return &RejectedError{Reason: reason, Findings: findings}
	case controlapi.CodeNotAuthorized:
		return &NotAuthorizedError{Method: method, Reason: errorResponse.Message}
	}
	return err
}
