package forwarding

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagework"
)

// wholeAnswer is a complete response, valid for a plain service and for an engine.
const wholeAnswer = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 11\r\n\r\nid: 1\nyes\n\n"

// memoryTarget is a target in memory, for use with virtual time.
type memoryTarget struct {
	handle func(m *memoryTarget, conn net.Conn, body string) // handles a request

	mu          sync.Mutex
	dead        bool
	unreachable bool // dials to it time out
	dialTime    time.Duration
	mutedConns  int // number of connections, the oldest ones, on which requests are no longer handled
	conns       []net.Conn
	received    []string // bodies of the requests that were received completely
	closedConns int      // number of connections that the forwarder closed
}

func (m *memoryTarget) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			m.mu.Lock()
			m.closedConns++
			m.mu.Unlock()
			return
		}
		body, _ := io.ReadAll(r.Body)
		m.mu.Lock()
		m.received = append(m.received, string(body))
		muted := slices.Contains(m.conns[:m.mutedConns], conn)
		m.mu.Unlock()
		if !muted {
			m.handle(m, conn, string(body))
		}
	}
}

// die closes all connections and refuses new ones.
func (m *memoryTarget) die() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead = true
	for _, conn := range m.conns {
		_ = conn.Close()
	}
}

// rig is a forwarder with targets m0, m1 and so on of one service.
type rig struct {
	*Forwarder
	targets    map[string]*memoryTarget // by address, which is the same as the id
	guard      *crashguard.Guard
	dispatcher *stagework.Dispatcher
	view       atomic.Pointer[fleet.View]
	unacked    atomic.Int64 // unacknowledged bytes, reported for every connection
	slots      *slotClient  // nil = the slot queue is not enabled
}

func newRig(t *testing.T, count int, handle func(m *memoryTarget, conn net.Conn, body string)) *rig {
	r := &rig{targets: make(map[string]*memoryTarget)}
	t.Cleanup(func() { time.Sleep(time.Minute) }) // runs last, so that sleeping goroutines end
	for n := range count {
		m := &memoryTarget{handle: handle}
		r.targets[fmt.Sprint("m", n)] = m
		t.Cleanup(m.die)
	}
	clock := quartz.NewReal()
	r.dispatcher = stagework.New(stagework.Options{Clock: clock})
	t.Cleanup(r.dispatcher.Close)
	r.list(0, count)
	r.guard = crashguard.New(crashguard.Options{Limit: 3, Clock: clock, Alive: func(_ context.Context, target stagecall.Target) bool {
		time.Sleep(time.Millisecond)
		conn, err := r.dial(t.Context(), "", target.Address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}})
	r.Forwarder = New(Options{
		Codec: fakeCodec{}, Exchange: exchange.New(exchange.Options{
			Dial: r.dial, Unacked: func(net.Conn) int { return int(r.unacked.Load()) },
			TakesWork: func(request exchange.Request) bool { return r.view.Load().Usable(request.Target) },
		}), Targets: r.view.Load,
		Scheduler: stagework.NewFinder(stagework.FinderOptions{Local: r.dispatcher, Members: func() []string { return nil }, Clock: clock}),
		Budget:    NewRetryBudget(RetryBudgetOptions{Ratio: 100, Window: time.Minute, Instances: func() int { return 1 }, Clock: clock}),
		Loads:     NewLoads(clock, "", rand.New(rand.NewPCG(1, 2))), CrashGuard: r.guard, Clock: clock, Rand: rand.New(rand.NewPCG(3, 4)),
	})
	return r
}

// list sets the target list to the targets with the numbers from (inclusive) to to (exclusive).
func (r *rig) list(from, to int) {
	var targets []fleet.Target
	for n := from; n < to; n++ {
		id := fmt.Sprint("m", n)
		targets = append(targets, fleet.Target{ID: id, Service: "s", Address: id, Slots: 8})
	}
	r.view.Store(fleet.NewView(1, targets))
	r.dispatcher.SetTargets(inbound(route.Streaming, true, true).Table, r.view.Load())
	if r.slots != nil {
		r.slots.coordinator.TargetsChanged()
	}
}

func (r *rig) dial(ctx context.Context, _, address string) (net.Conn, error) {
	m := r.targets[address]
	if m.unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(m.dialTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	m.conns = append(m.conns, far)
	go m.serve(far)
	return near, nil
}

// arrived returns how often targets received the request with the body.
func (r *rig) arrived(body string) (n int) {
	for _, m := range r.targets {
		m.mu.Lock()
		for _, b := range m.received {
			if b == body {
				n++
			}
		}
		m.mu.Unlock()
	}
	return n
}

// call forwards a request with the body and returns its response; cut reports that the connection was closed instead.
func (r *rig) call(ctx context.Context, in Inbound, body string, wait time.Duration) (w *httptest.ResponseRecorder, cut bool) {
	return r.callAt(ctx, in, body, wait, time.Now())
}

func (r *rig) callAt(ctx context.Context, in Inbound, body string, wait time.Duration, arrived time.Time) (w *httptest.ResponseRecorder, cut bool) {
	request := *in.Request
	request.Body, request.Timeout = []byte(body), wait
	in.Request, in.Arrived = &request, arrived
	w = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if cut = p == http.ErrAbortHandler; !cut {
				panic(p)
			}
		}
	}()
	r.Serve(ctx, w, in)
	return w, false
}
