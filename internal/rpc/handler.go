package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// HandlerFunc serves one method. The result is marshalled to JSON.
type HandlerFunc func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Methods maps method names to their handlers.
type Methods map[string]HandlerFunc

// ResultWithCallback is a result with a function that is called after the
// response has been written, for example to start notifications.
type ResultWithCallback struct {
	Result     any
	AfterWrite func()
}

// Handler returns the jsonrpc2 handler of the methods. Requests of one
// connection run concurrently.
func (m Methods) Handler() Handler { return &methodHandler{methods: m} }

// SerialHandler returns a handler that serves one request at a time, in the
// order of arrival. Subscribers need this order for notifications. A method
// must not call the other side on the same connection, because the response
// could not be read.
func (m Methods) SerialHandler() Handler { return &methodHandler{methods: m, serial: true} }

type methodHandler struct {
	methods Methods
	serial  bool
}

// Handle implements jsonrpc2.Handler.
func (h *methodHandler) Handle(ctx context.Context, conn *Conn, request *jsonrpc2.Request) {
	counter, counted := ctx.Value(requestCounterKey{}).(*requestCounter)
	counted = counted && !request.Notif
	// Handle is called in the order in which requests are read, so that a
	// request is marked by whether it was read before or after Drain. The
	// handlers run in any order.
	if counted && counter.begin() {
		ctx = context.WithValue(ctx, drainKey{}, true)
	}
	handle := func() {
		h.respond(ctx, conn, request)
		if counted {
			counter.end()
		}
	}
	if h.serial {
		handle()
		return
	}
	go handle()
}

// respond runs the handler of a request and writes the response.
func (h *methodHandler) respond(ctx context.Context, conn *Conn, request *jsonrpc2.Request) {
	result, err := h.methods.dispatch(ctx, conn, request)
	callback, hasCallback := result.(ResultWithCallback)
	if hasCallback {
		result = callback.Result
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
	// After a failed write the connection is closed, which the client notices.
	if conn.SendResponse(ctx, response) != nil {
		_ = conn.Close()
		return
	}
	if hasCallback && err == nil {
		callback.AfterWrite()
	}
}

func responseError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
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

type drainKey struct{}

// ReceivedDuringDrain reports whether a request was read after Server.Drain
// was called. The handler may refuse such a request. Earlier requests must be
// completed.
func ReceivedDuringDrain(ctx context.Context) bool {
	duringDrain, _ := ctx.Value(drainKey{}).(bool)
	return duringDrain
}

type requestCounterKey struct{}

// requestCounter counts the requests in progress on all connections of a
// server.
type requestCounter struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{}
}

// begin counts a request and reports whether the server is draining.
func (c *requestCounter) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.draining
}

func (c *requestCounter) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

func (c *requestCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// waitIdle waits until no request is in progress or the context ends.
func (c *requestCounter) waitIdle(ctx context.Context) error {
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

func (c *requestCounter) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
