package target

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleConnTimeout is the time after which a connection without calls is
	// closed. Each open connection is pinged every second, which takes about 114
	// bytes for the ping, its response and the headers of the lower layers: 600
	// idle connections would cost an instance 68 KB per second.
	idleConnTimeout = 10 * time.Second
	// pruneAbove is the number of addresses above which transports without calls
	// are dropped, so that former targets do not use memory.
	pruneAbove = 2048
)

// pool holds one transport per target address. A transport with a faulty
// connection is retired: it gets no new calls, and its connection is closed at the
// end of its last call.
type pool struct {
	opts       Options
	mu         sync.Mutex // guards transports and the mutable fields of each transport
	transports map[string]*transport
}

// transport is the HTTP transport for one address, with its calls.
type transport struct {
	pool           *pool
	address        string
	http           *http.Transport
	bytesRead      atomic.Int64 // bytes read from its connections
	calls          int          // number of calls in progress
	retired        bool
	checkScheduled bool               // a check for silence is scheduled
	retryable      map[*call]struct{} // the calls in progress that may be retried
}

func newPool(opts Options) *pool {
	return &pool{opts: opts, transports: make(map[string]*transport)}
}

// acquire returns the transport for the address. If newConnection is set, it
// retires the present one first, so that this call and later ones do not use a
// connection that may have gone silent.
func (p *pool) acquire(address string, newConnection bool) *transport {
	p.mu.Lock()
	var idle []*transport
	t := p.transports[address]
	if t != nil && newConnection {
		idle = p.retireLocked(address, t, idle)
		t = nil
	}
	if t == nil {
		idle = p.pruneLocked(idle)
		t = &transport{pool: p, address: address, retryable: make(map[*call]struct{})}
		t.http = newTransport(p.opts, t)
		p.transports[address] = t
	}
	t.calls++
	p.mu.Unlock()
	closeAll(idle)
	return t
}

// release releases a transport at the end of a call.
func (p *pool) release(t *transport, x *call) {
	p.mu.Lock()
	t.calls--
	delete(t.retryable, x)
	idle := t.retired && t.calls == 0
	p.mu.Unlock()
	if idle {
		t.http.CloseIdleConnections()
	}
}

// retire prevents new calls on the transport.
func (p *pool) retire(address string, t *transport) {
	p.mu.Lock()
	idle := p.retireLocked(address, t, nil)
	p.mu.Unlock()
	closeAll(idle)
}

// abandon retires the transport, cancels its calls that may be retried with the
// reason, and reports whether it still has calls that may not be retried.
func (t *transport) abandon(reason error) (inUse bool) {
	p := t.pool
	p.mu.Lock()
	idle := p.retireLocked(t.address, t, nil)
	calls := slices.Collect(maps.Keys(t.retryable))
	inUse = t.calls > len(t.retryable)
	p.mu.Unlock()
	closeAll(idle)
	for _, x := range calls {
		x.cancel(reason)
	}
	return inUse
}

// retireLocked retires the transport and appends it to idle if it has no calls.
// The caller must close the connections of idle after it has released the lock.
func (p *pool) retireLocked(address string, t *transport, idle []*transport) []*transport {
	t.retired = true
	if p.transports[address] == t {
		delete(p.transports, address)
	}
	if t.calls == 0 {
		idle = append(idle, t)
	}
	return idle
}

func (p *pool) pruneLocked(idle []*transport) []*transport {
	if len(p.transports) < pruneAbove {
		return idle
	}
	return p.retireIdleLocked(idle)
}

func (p *pool) retireIdleLocked(idle []*transport) []*transport {
	for address, t := range p.transports {
		if t.calls == 0 {
			idle = p.retireLocked(address, t, idle)
		}
	}
	return idle
}

// close retires all transports. Those in use are closed at the end of their last
// call.
func (p *pool) close() {
	p.mu.Lock()
	var idle []*transport
	for address, t := range p.transports {
		idle = p.retireLocked(address, t, idle)
	}
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(idle []*transport) {
	for _, t := range idle {
		t.http.CloseIdleConnections()
	}
}

// newTransport returns a transport that uses HTTP/2 without TLS and pings
// connections on which nothing is received. net/http retries a request by itself only if its body can be read
// again; newRequest makes bodies for which that is impossible.
func newTransport(opts Options, t *transport) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        t.monitoredDial(opts),
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    idleConnTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: opts.PingInterval,
			PingTimeout:     pingTimeoutOff,
		},
	}
}
