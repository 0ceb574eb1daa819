// Package storeclient implements store.Store over the platform's HTTP API. It keeps
// this instance's calls within its budget, copes with outages, and reports exactly
// whether a failed call can have taken effect.
package storeclient

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// Time limits of one call.
const (
	callTimeout = 5 * time.Second
	watchWait   = 25 * time.Second
	// watchGrace is added to a watch's wait to give its timeout, after which its
	// connection counts as silent.
	watchGrace = 5 * time.Second
)

var (
	metricCalls     = metrics.Define("platform_calls_total", "calls", "Calls sent to the platform, by kind.")
	metricShed      = metrics.Define("platform_shed_total", "calls", "Calls that the instance's own budget refused, by priority.")
	metricThrottled = metrics.Define("platform_throttled_total", "calls", "Calls that the platform refused by its rate limit.")
	metricFailed    = metrics.Define("platform_failed_total", "calls", "Calls that did not get through or got no answer.")
	metricUnknown   = metrics.Define("platform_unknown_total", "writes", "Writes whose reply was lost.")
	metricUp        = metrics.Define("platform_up", "0 or 1", "1 while the platform answers.")
)

// Options configures a Client.
type Options struct {
	Endpoints []string // HOST:PORT, or a URL without a path; tried in turn
	// Dial opens connections; nil is net.Dialer.
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	TLS     *tls.Config // nil: plain HTTP, unless the endpoint says https
	Token   string      // bearer token, never logged
	Clock   clock.Clock
	Seed    uint64 // of the jitter; must differ between instances
	Budget  Budget
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Client is a client of the platform.
type Client struct {
	clock     clock.Clock
	logger    *event.Logger
	token     string
	endpoints []string
	http      *http.Client
	preferred atomic.Uint64 // index of the endpoint that answered last
	calls     atomic.Uint64

	limiterMu sync.Mutex // guards limiter
	limiter   *limiter

	callsByKind *expvar.Map
	shed        *expvar.Map
	throttled   *expvar.Int
	failed      *expvar.Int
	unknown     *expvar.Int
	up          *expvar.Int
}

// New returns a client. It makes no calls yet.
func New(opts Options) *Client {
	if opts.Clock == nil {
		opts.Clock = quartz.NewReal()
	}
	c := &Client{
		clock:       opts.Clock,
		logger:      opts.Logger,
		token:       opts.Token,
		endpoints:   baseURLs(opts.Endpoints, opts.TLS != nil),
		http:        &http.Client{Transport: newTransport(opts), CheckRedirect: noRedirect},
		limiter:     newLimiter(opts.Budget, opts.Seed),
		callsByKind: opts.Metrics.Labelled(metricCalls),
		shed:        opts.Metrics.Labelled(metricShed),
		throttled:   opts.Metrics.Counter(metricThrottled),
		failed:      opts.Metrics.Counter(metricFailed),
		unknown:     opts.Metrics.Counter(metricUnknown),
		up:          opts.Metrics.Counter(metricUp),
	}
	c.up.Set(1)
	return c
}

// Up reports whether the platform is considered available. It is true until several
// consecutive calls have failed.
func (c *Client) Up() bool {
	c.limiterMu.Lock()
	defer c.limiterMu.Unlock()
	return !c.limiter.down
}

// Calls returns how many calls were sent, counted as the platform does.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get implements store.Reader.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	var obj store.Object
	err := c.call(ctx, call{kind: callRead, method: http.MethodGet, path: objectPath(key)}, &obj)
	return obj, err
}

// List implements store.Reader.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	var list platformapi.ObjectList
	query := url.Values{"prefix": {prefix}}
	err := c.call(ctx, call{kind: callRead, method: http.MethodGet, path: platformapi.PathObjects, query: query}, &list)
	return list.Objects, list.Version, err
}

// Put implements store.Writer.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	if value == nil {
		value = []byte{}
	}
	var obj store.Object
	err := c.call(ctx, call{kind: callWrite, method: http.MethodPut, path: objectPath(key), query: versionQuery(ifVersion), body: value}, &obj)
	if err == nil {
		obj.Value = value
	}
	return obj, err
}

// Delete implements store.Writer.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return c.call(ctx, call{kind: callWrite, method: http.MethodDelete, path: objectPath(key), query: versionQuery(ifVersion)}, nil)
}

// Watch implements store.Watcher.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	var list platformapi.ObjectList
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(store.WatchWait(ctx, watchWait).Milliseconds(), 10)},
	}
	err := c.call(ctx, call{kind: callWatch, method: http.MethodGet, path: platformapi.PathWatch, query: query}, &list)
	if err != nil {
		return nil, after, false, err
	}
	return list.Objects, list.Version, list.Compacted, nil
}

// Instances implements store.InstanceLister.
func (c *Client) Instances(ctx context.Context) ([]store.Instance, error) {
	var list platformapi.InstanceList
	err := c.call(ctx, call{kind: callRead, method: http.MethodGet, path: platformapi.PathInstances}, &list)
	return list.Instances, err
}

// Register implements store.InstanceLister.
func (c *Client) Register(ctx context.Context, self store.Instance) error {
	body, err := json.Marshal(self)
	if err != nil {
		return err
	}
	return c.call(ctx, call{kind: callWrite, method: http.MethodPost, path: platformapi.PathInstances, body: body}, nil)
}

// objectPath escapes each segment of the key; the slashes between them stay.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return platformapi.PathObjects + strings.Join(parts, "/")
}

func versionQuery(version uint64) url.Values {
	return url.Values{platformapi.ParamIfVersion: {strconv.FormatUint(version, 10)}}
}

var _ store.Store = (*Client)(nil)
