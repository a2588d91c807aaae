package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// HandlerFunc answers one method. The result is marshalled to JSON.
type HandlerFunc func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Methods maps method names to their handlers.
type Methods map[string]HandlerFunc

// ResultWithCallback is a result with a function that is called after the response
// has been written, for example to start notifications.
type ResultWithCallback struct {
	Result     any
	AfterWrite func()
}

// Handler returns the jsonrpc2 handler of the methods. Requests of one
// connection run concurrently.
func (m Methods) Handler() Handler { return &methodHandler{methods: m} }

// SerialHandler returns a handler that answers one request at a time in the
// order of arrival, as a subscriber needs it. A method must not call the other
// side on the same connection.
func (m Methods) SerialHandler() Handler { return &methodHandler{methods: m, serial: true} }

type methodHandler struct {
	methods Methods
	serial  bool
}

// Handle implements jsonrpc2.Handler.
func (h *methodHandler) Handle(ctx context.Context, conn *Conn, request *jsonrpc2.Request) {
	calls, counted := ctx.Value(callsKey{}).(*calls)
	counted = counted && !request.Notif
	// This runs in the order in which requests were read, unlike the answers.
	if counted && calls.begin() {
		ctx = context.WithValue(ctx, lateKey{}, true)
	}
	answer := func() {
		h.answer(ctx, conn, request)
		if counted {
			calls.end()
		}
	}
	if h.serial {
		answer()
		return
	}
	go answer()
}

func (h *methodHandler) answer(ctx context.Context, conn *Conn, request *jsonrpc2.Request) {
	result, err := h.methods.dispatch(ctx, conn, request)
	follow, ok := result.(ResultWithCallback)
	if ok {
		result = follow.Result
	}
	if request.Notif {
		return
	}
	response := &jsonrpc2.Response{ID: request.ID}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Error = responseError(err)
	}
	// A failed write closes the connection; the caller sees that.
	if conn.SendResponse(ctx, response) != nil {
		_ = conn.Close()
		return
	}
	if ok && err == nil {
		follow.AfterWrite()
	}
}

func responseError(err error) *jsonrpc2.Error {
	var known *jsonrpc2.Error
	if errors.As(err, &known) {
		return known
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func (m Methods) dispatch(ctx context.Context, conn *Conn, req *jsonrpc2.Request) (any, error) {
	handle, ok := m[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return handle(ctx, conn, params)
}

// Decode unmarshals parameters into a request value.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return value, nil
}

type lateKey struct{}

// ReceivedDuringDrain reports whether a request was read after Server.Drain was called.
// Its handler can refuse it; earlier requests have to be finished.
func ReceivedDuringDrain(ctx context.Context) bool {
	late, _ := ctx.Value(lateKey{}).(bool)
	return late
}

type callsKey struct{}

// calls counts the requests in progress of a server.
type calls struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{}
}

// begin reports whether the server is draining.
func (c *calls) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.draining
}

func (c *calls) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

func (c *calls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// wait returns when no request is in progress or the context ends.
func (c *calls) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.count == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *calls) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
