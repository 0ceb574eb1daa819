package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// maxReply is the largest reply that is read, in bytes: it allows a list of many
// objects of up to a megabyte each.
const maxReply = 64 << 20

// call is one call of the platform's API.
type call struct {
	kind   callKind
	method string
	path   string // escaped
	query  url.Values
	body   []byte // nil: none
}

func (k callKind) String() string {
	return [...]string{callRead: "read", callWrite: "write", callWatch: "watch"}[k]
}

// errNotSent marks a failure that occurred before the first byte of the call was sent.
type errNotSent struct{ cause error }

func (e errNotSent) Error() string { return e.cause.Error() }
func (e errNotSent) Unwrap() error { return e.cause }

// call makes one call within the budget and decodes its reply into out.
func (c *Client) call(ctx context.Context, op call, out any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	priority := store.PriorityOf(ctx)
	probe, err := c.admit(op.kind, priority)
	if err != nil {
		return err
	}
	err = c.tryEndpoints(ctx, op, out)
	c.done(op.kind, probe, resultOf(ctx, err))
	return err
}

func (c *Client) admit(kind callKind, priority store.Priority) (probe bool, err error) {
	c.limiterMu.Lock()
	probe, err = c.limiter.admit(c.clock.Now(), kind, priority)
	c.limiterMu.Unlock()
	if errors.Is(err, store.ErrThrottled) {
		c.shed.Add(strconv.Itoa(int(priority)), 1)
	}
	return probe, err
}

func (c *Client) done(kind callKind, probe bool, result callResult) {
	c.limiterMu.Lock()
	before := c.limiter.down
	c.limiter.done(c.clock.Now(), kind, probe, result)
	after := c.limiter.down
	c.limiterMu.Unlock()
	switch {
	case !before && after:
		c.up.Set(0)
		c.logger.Log(event.PlatformDown)
	case before && !after:
		c.up.Set(1)
		c.logger.Log(event.PlatformUp)
	}
}

// resultOf derives the callResult from err. A caller that cancelled its wait says
// nothing about the platform; one whose deadline expired says that the platform was
// slow.
func resultOf(ctx context.Context, err error) callResult {
	switch {
	case errors.Is(err, store.ErrThrottled):
		return resultThrottled
	case err != nil && errors.Is(ctx.Err(), context.Canceled) && !answered(err):
		return resultNone
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown):
		return resultFailed
	default:
		return resultOK
	}
}

// answered reports whether err is an answer of the platform.
func answered(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrTooLarge)
}

// tryEndpoints tries the endpoints in turn. It continues with the next one only if no
// byte of the call was sent: a call that may have been sent is never sent again.
func (c *Client) tryEndpoints(ctx context.Context, op call, out any) error {
	if len(c.endpoints) == 0 {
		return fmt.Errorf("%w: no endpoint in the settings", store.ErrUnavailable)
	}
	first := c.preferred.Load()
	var err error
	for i := range uint64(len(c.endpoints)) {
		index := (first + i) % uint64(len(c.endpoints))
		err = c.attempt(ctx, c.endpoints[index], op, out)
		if !errors.As(err, new(errNotSent)) || ctx.Err() != nil {
			c.preferred.Store(index)
			return err
		}
		c.logger.Log(event.PlatformEndpoint, "endpoint", c.endpoints[index])
	}
	return err
}

// attempt sends the call once and classifies the result.
func (c *Client) attempt(ctx context.Context, base string, op call, out any) error {
	timeout := callTimeout
	if op.kind == callWatch {
		timeout = store.WatchWait(ctx, watchWait) + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, base, op)
	if err != nil {
		return errNotSent{fmt.Errorf("%w: %w", store.ErrUnavailable, err)}
	}
	c.calls.Add(1)
	c.callsByKind.Add(op.kind.String(), 1)
	resp, err := c.http.Do(req)
	if err != nil {
		return c.classifyLost(op, connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return c.classifyLost(op, true, err)
	}
	return c.decode(op, resp.StatusCode, body, out)
}

func (c *Client) request(ctx context.Context, base string, op call) (*http.Request, error) {
	target := base + op.path
	if len(op.query) > 0 {
		target += "?" + op.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, op.method, target, nil)
	if err != nil {
		return nil, err
	}
	if op.body != nil {
		// The body is not passed as a *bytes.Reader, so that net/http sets no
		// GetBody and its transport cannot send the body a second time.
		req.Body = io.NopCloser(onlyReader{bytes.NewReader(op.body)})
		req.ContentLength = int64(len(op.body))
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// onlyReader hides the concrete type of a reader.
type onlyReader struct{ io.Reader }

// classifyLost returns the error for a call that got no complete reply.
func (c *Client) classifyLost(op call, connected bool, cause error) error {
	c.failed.Add(1)
	if !connected {
		return errNotSent{fmt.Errorf("%w: %w", store.ErrUnavailable, cause)}
	}
	if op.kind != callWrite {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, cause)
	}
	c.unknown.Add(1)
	return fmt.Errorf("%w: %w", store.ErrUnknown, cause)
}

// decode turns a complete reply into out or an error.
func (c *Client) decode(op call, status int, body []byte, out any) error {
	if status/100 == 2 {
		return c.decodeOK(op, body, out)
	}
	var answer platformapi.Error
	if err := json.Unmarshal(body, &answer); err != nil || answer.Code == "" {
		return c.unexpectedReply(op, status)
	}
	switch answer.Code {
	case platformapi.CodeConflict:
		if obj, ok := out.(*store.Object); ok && answer.Current != nil {
			*obj = *answer.Current
		}
		return store.ErrConflict
	case platformapi.CodeNotFound:
		return store.ErrNotFound
	case platformapi.CodeThrottled:
		c.throttled.Add(1)
		return store.ErrThrottled
	case platformapi.CodeUnavailable:
		c.failed.Add(1)
		return fmt.Errorf("%w: %s", store.ErrUnavailable, answer.Message)
	case platformapi.CodeTooLarge:
		return store.ErrTooLarge
	}
	return c.unexpectedReply(op, status)
}

func (c *Client) decodeOK(op call, body []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return c.classifyLost(op, true, err)
	}
	return nil
}

// unexpectedReply handles a reply outside the platform's protocol, for example from an
// intermediary such as a proxy: a write may have taken effect behind it.
func (c *Client) unexpectedReply(op call, status int) error {
	return c.classifyLost(op, true, fmt.Errorf("unexpected answer with status %d", status))
}
