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
	// idleConnTimeout closes connections that carry no call. Each open one is
	// pinged every second, about 114 bytes a ping with its answer and the
	// headers below: 600 idle ones would cost an instance 68 KB a second.
	idleConnTimeout = 10 * time.Second
	// pruneAbove is the number of addresses above which entries that carry no
	// call are dropped, so that targets long gone take no memory.
	pruneAbove = 2048
)

// pool keeps one line a target. A line that has gone bad is retired: it takes
// no new call, and its connection is closed when its last call has ended.
type pool struct {
	opts  Options
	mu    sync.Mutex // guards lines and the fields of each line
	lines map[string]*line
}

// line is a transport that serves one address, with the calls on it.
type line struct {
	pool      *pool
	address   string
	transport *http.Transport
	heard     atomic.Int64 // bytes read from its connections
	calls     int
	retired   bool
	watched   bool // a look at its silence is due
	live      map[*call]struct{}
}

func newPool(opts Options) *pool {
	return &pool{opts: opts, lines: make(map[string]*line)}
}

// take returns the line of the address. fresh retires the present one first,
// so that this call and later ones use a new connection: after a connection
// went silent its other calls would meet the same silence.
func (p *pool) take(address string, fresh bool) *line {
	p.mu.Lock()
	var idle []*line
	l := p.lines[address]
	if l != nil && fresh {
		idle = p.retireLocked(address, l, idle)
		l = nil
	}
	if l == nil {
		idle = p.pruneLocked(idle)
		l = &line{pool: p, address: address, live: make(map[*call]struct{})}
		l.transport = newTransport(p.opts, l)
		p.lines[address] = l
	}
	l.calls++
	p.mu.Unlock()
	closeAll(idle)
	return l
}

// put gives a line back after a call.
func (p *pool) put(l *line, x *call) {
	p.mu.Lock()
	l.calls--
	delete(l.live, x)
	idle := l.retired && l.calls == 0
	p.mu.Unlock()
	if idle {
		l.transport.CloseIdleConnections()
	}
}

// retire lets no further call onto the line.
func (p *pool) retire(address string, l *line) {
	p.mu.Lock()
	idle := p.retireLocked(address, l, nil)
	p.mu.Unlock()
	closeAll(idle)
}

// giveUp keeps further calls off the line, ends its calls that may be repeated with
// the reason, and reports whether others remain.
func (l *line) giveUp(reason error) (held bool) {
	p := l.pool
	p.mu.Lock()
	idle := p.retireLocked(l.address, l, nil)
	calls := slices.Collect(maps.Keys(l.live))
	held = l.calls > len(l.live)
	p.mu.Unlock()
	closeAll(idle)
	for _, x := range calls {
		x.cancel(reason)
	}
	return held
}

// retireLocked adds the line to idle if its connection can be closed now, which
// is left to the time after the lock.
func (p *pool) retireLocked(address string, l *line, idle []*line) []*line {
	l.retired = true
	if p.lines[address] == l {
		delete(p.lines, address)
	}
	if l.calls == 0 {
		idle = append(idle, l)
	}
	return idle
}

func (p *pool) pruneLocked(idle []*line) []*line {
	if len(p.lines) < pruneAbove {
		return idle
	}
	return p.retireIdleLocked(idle)
}

func (p *pool) retireIdleLocked(idle []*line) []*line {
	for address, l := range p.lines {
		if l.calls == 0 {
			idle = p.retireLocked(address, l, idle)
		}
	}
	return idle
}

// close retires every line: those in use are closed with their last call.
func (p *pool) close() {
	p.mu.Lock()
	var idle []*line
	for address, l := range p.lines {
		idle = p.retireLocked(address, l, idle)
	}
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(idle []*line) {
	for _, l := range idle {
		l.transport.CloseIdleConnections()
	}
}

// newTransport speaks HTTP/2 without TLS and pings silent connections. The
// retries that net/http makes on its own need a body that can be read again;
// newRequest gives it none.
func newTransport(opts Options, l *line) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        l.hearing(opts),
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    idleConnTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: opts.PingInterval,
			PingTimeout:     pingTimeoutOff,
		},
	}
}
