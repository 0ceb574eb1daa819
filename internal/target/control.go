package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Load implements stagecall.Caller.
func (c *Client) Load(ctx context.Context, target stagecall.Target) (targetapi.LoadReport, error) {
	var report targetapi.LoadReport
	err := c.exchange(ctx, target, http.MethodGet, targetapi.PathLoad, nil, &report)
	if err == nil {
		c.recordLoad(target.Address, &report)
	}
	return report, err
}

// Order implements stagecall.Caller.
func (c *Client) Order(ctx context.Context, target stagecall.Target, order targetapi.Order) error {
	return c.exchange(ctx, target, http.MethodPost, targetapi.PathOrders, order, nil)
}

// State implements stagecall.Caller.
func (c *Client) State(ctx context.Context, target stagecall.Target) (targetapi.LoadReport, error) {
	var report targetapi.LoadReport
	err := c.exchange(ctx, target, http.MethodGet, targetapi.PathState, nil, &report)
	return report, err
}

// CacheEvents implements stagecall.Caller.
func (c *Client) CacheEvents(ctx context.Context, target stagecall.Target, after uint64) ([]targetapi.CacheEvent, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	var events []targetapi.CacheEvent
	err := c.exchange(ctx, target, http.MethodGet, targetapi.PathCacheEvents+"?"+query.Encode(), nil, &events)
	return events, err
}

// exchange makes a JSON call and decodes the reply into into, which may be nil.
func (c *Client) exchange(ctx context.Context, target stagecall.Target, method, path string, body, into any) error {
	x := c.begin(ctx, target, stagecall.Options{})
	defer x.end()
	resp, err := x.send(method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return x.refusal(resp, targetapi.RunRequest{})
	}
	data, err := x.readAll(resp.Body)
	if err != nil || into == nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return x.protocol("malformed reply: %v", err)
	}
	return nil
}

// cancelLater asks the target in the background to stop an attempt. It is not
// needed for correctness; it only saves the target work.
func (c *Client) cancelLater(target stagecall.Target, attempt string) {
	select {
	case c.cancels <- struct{}{}:
	default:
		c.opts.Metrics.Counter(metricCancelsDropped).Add(1)
		return
	}
	go func() {
		defer func() { <-c.cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.exchange(ctx, target, http.MethodPost, targetapi.PathCancel, targetapi.CancelRequest{AttemptID: attempt}, nil)
	}()
}
