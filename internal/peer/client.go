package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Options configure a Client.
type Options struct {
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	TLS  *tls.Config // nil: HTTP/2 in clear text
	Self string      // instance id
	// Address returns the peer address of an instance.
	Address func(instance string) (string, bool)
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Client calls other instances. It implements membership.Transport,
// profilesync.Puller, outcome.Remote and claim.Forwarder.
type Client struct {
	o      Options
	scheme string

	mu    sync.Mutex // guards links
	links map[string]*link
}

var _ outcome.Remote = (*Client)(nil)

// NewClient returns a Client without connections.
func NewClient(o Options) *Client {
	c := &Client{o: o, scheme: "http", links: make(map[string]*link)}
	if o.TLS != nil {
		c.scheme = "https"
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retireAll()
}

// noRetryTransport removes from requests what would allow the HTTP transport to retry
// them on another connection.
//
// Otherwise, when a connection breaks during a forwarded request, the HTTP transport would
// send it again by itself, and a booking that is not idempotent would run twice within one
// call, without being counted twice.
type noRetryTransport struct{ next http.RoundTripper }

func (t noRetryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.GetBody != nil {
		req = req.Clone(req.Context())
		req.GetBody = nil
	}
	return t.next.RoundTrip(req)
}

// addressOf returns the peer address of an instance.
func (c *Client) addressOf(instance string) (string, error) {
	if c.o.Address == nil {
		return "", fmt.Errorf("%w: no addresses are known", ErrNotSent)
	}
	address, ok := c.o.Address(instance)
	if !ok || address == "" {
		return "", fmt.Errorf("%w: the address of instance %s is not known", ErrNotSent, instance)
	}
	return address, nil
}

// linkTo returns the link to an instance.
func (c *Client) linkTo(instance string) (*link, error) {
	address, err := c.addressOf(instance)
	if err != nil {
		return nil, err
	}
	return c.link(address), nil
}

// call makes a call with metrics and adds ErrNotSent to its error if no byte was sent,
// which is certain if the call got no connection. If the call received nothing on a kept
// connection, the next call uses another one.
func (c *Client) call(ctx context.Context, method string, l *link, call func(ctx context.Context) error) error {
	observed, observation := observe(ctx)
	err := call(observed)
	result := "ok"
	if err != nil {
		result = "failed"
		c.recordUnanswered(observation, method, l, cmp.Or(context.Cause(ctx), err))
		err = fromConnect(err)
		if !observation.connected.Load() && !errors.Is(err, ErrNotSent) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	c.o.Metrics.Labelled(metricCalls).Add(method+"_"+result, 1)
	return err
}

// Exchange implements membership.Transport.
func (c *Client) Exchange(ctx context.Context, peerAddr string, d gossip.Digest) (gossip.Digest, error) {
	reply, end, err := hedge(ctx, c, peerAddr, func(ctx context.Context, l *link) (reply gossip.Digest, err error) {
		err = c.call(ctx, "exchange", l, func(ctx context.Context) error {
			out, err := l.client.Exchange(ctx, toProto(d))
			if err != nil {
				return err
			}
			reply = fromProto(out)
			return nil
		})
		return reply, err
	})
	defer end()
	bytes := c.o.Metrics.Counter(metricBytes)
	bytes.Add(int64(Size(d)))
	if err == nil {
		bytes.Add(int64(Size(reply)))
	}
	return reply, err
}

// Probe implements membership.Transport.
func (c *Client) Probe(ctx context.Context, viaPeerAddr, targetPeerAddr string) error {
	_, end, err := hedge(ctx, c, viaPeerAddr, func(ctx context.Context, l *link) (struct{}, error) {
		return struct{}{}, c.call(ctx, "probe", l, func(ctx context.Context) error {
			_, err := l.client.Probe(ctx, &peerpb.ProbeRequest{Target: targetPeerAddr})
			return err
		})
	})
	defer end()
	return err
}

// Pull implements profilesync.Puller.
func (c *Client) Pull(ctx context.Context, instance, prefix string, after uint64) (objects []store.Object, mark uint64, more bool, err error) {
	address, err := c.addressOf(instance)
	if err != nil {
		return nil, 0, false, err
	}
	out, end, err := hedge(ctx, c, address, func(ctx context.Context, l *link) (out *peerpb.ProfilesReply, err error) {
		err = c.call(ctx, "profiles", l, func(ctx context.Context) error {
			out, err = l.client.Profiles(ctx, &peerpb.ProfilesRequest{Prefix: prefix, After: after, From: c.o.Self})
			return err
		})
		return out, err
	})
	defer end()
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return nil, 0, false, fmt.Errorf("%w: %w", store.ErrThrottled, err)
	}
	if err != nil {
		return nil, 0, false, err
	}
	for _, obj := range out.GetObjects() {
		objects = append(objects, store.Object{Key: obj.GetKey(), Version: obj.GetVersion(), Value: obj.GetValue(), Deleted: obj.GetDeleted()})
	}
	return objects, out.GetMark(), out.GetMore(), nil
}

// Outcome implements outcome.Remote.
func (c *Client) Outcome(ctx context.Context, instance string, key outcome.Key) (record outcome.Record, found bool, err error) {
	l, err := c.linkTo(instance)
	if err != nil {
		return outcome.Record{}, false, err
	}
	err = c.call(ctx, "outcome", l, func(ctx context.Context) error {
		out, err := l.client.Outcome(ctx, &peerpb.OutcomeRequest{Organisation: key.Organisation, Key: key.Key})
		if err != nil || !out.GetFound() {
			return err
		}
		found = true
		return json.Unmarshal(out.GetRecord(), &record)
	})
	return record, found && err == nil, err
}

// Burn returns an instance's own report on its service-level objectives.
func (c *Client) Burn(ctx context.Context, instance string, window time.Duration) (report lynxapi.BurnReport, err error) {
	l, err := c.linkTo(instance)
	if err != nil {
		return report, err
	}
	err = c.call(ctx, "burn", l, func(ctx context.Context) error {
		out, err := l.client.Burn(ctx, &peerpb.BurnRequest{WindowMs: window.Milliseconds()})
		if err != nil {
			return err
		}
		return json.Unmarshal(out.GetReport(), &report)
	})
	return report, err
}

// Handover sends outcome records to an instance, in calls of limited size.
func (c *Client) Handover(ctx context.Context, instance string, records []outcome.Exported) error {
	l, err := c.linkTo(instance)
	if err != nil {
		return err
	}
	for len(records) > 0 {
		batch, rest, err := handoverBatch(records)
		if err != nil {
			return err
		}
		records = rest
		err = c.call(ctx, "handover", l, func(ctx context.Context) error {
			_, err := l.client.Handover(ctx, &peerpb.HandoverRequest{From: c.o.Self, Records: batch})
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func handoverBatch(records []outcome.Exported) (batch []*peerpb.OutcomeRecord, rest []outcome.Exported, err error) {
	size := 0
	for i, r := range records {
		text, err := json.Marshal(r)
		if err != nil {
			return nil, nil, err
		}
		size += len(text)
		if size > maxHandoverBytes && len(batch) > 0 {
			return batch, records[i:], nil
		}
		batch = append(batch, &peerpb.OutcomeRecord{Organisation: r.Key.Organisation, Key: r.Key.Key, Record: text})
	}
	return batch, nil, nil
}
