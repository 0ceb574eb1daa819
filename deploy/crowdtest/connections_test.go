//go:build linux

package crowdtest

import (
	"context"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/platform"
)

// slowly sends a text byte by byte, for as long as the connection lasts.
func (m member) slowly(ctx context.Context, pause time.Duration) error {
	for ctx.Err() == nil {
		if err := m.send(ctx, 0, "x"); err != nil {
			return err
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// readSlowly reads a few bytes at a time, for as long as the connection lasts.
func (m member) readSlowly(ctx context.Context) error {
	for few := make([]byte, 64); ; sleep(ctx, 200*time.Millisecond) {
		if _, err := m.Read(few); err != nil {
			return err
		}
	}
}

// Guards against slow bodies that occupy all connections: no request of others is read
// while they last.
func TestSlowBodies(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, behave: func(ctx context.Context, m member) error {
		if err := m.send(ctx, 0, m.postHead("/idem/x", 10_000)); err != nil {
			return err
		}
		return m.slowly(ctx, 200*time.Millisecond)
	}})
}

// Guards against the same with bodies that stop half-way.
func TestBodiesThatStopHalfWay(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.postHead("/idem/x", 100), largeBody[:50])
	}})
}

// Guards against the same with heads that stop half-way.
func TestHeadsThatStopHalfWay(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.head("GET", "/idem/x"))
	}})
}

// Guards against the same with heads that come byte by byte.
func TestSlowHeads(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, behave: func(ctx context.Context, m member) error {
		if err := m.send(ctx, 0, m.head("GET", "/idem/x")+"Slow: "); err != nil {
			return err
		}
		return m.slowly(ctx, 200*time.Millisecond)
	}})
}

// Guards against the same with connections on which nothing is sent.
func TestSilentConnections(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, behave: func(context.Context, member) error { return nil }})
}

// Guards against callers that read no answer, or one very slowly, and so occupy all
// connections.
func TestAnswersThatAreNotRead(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, unread: true, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.head("GET", "/large/x")+"\r\n")
	}})
}

// Guards against the same with callers that read a few bytes at a time: their connections are
// never quite silent.
func TestAnswersThatAreReadSlowly(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, unread: true, behave: func(ctx context.Context, m member) error {
		if err := m.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		if err := m.send(ctx, 0, m.head("GET", "/large/x")+"\r\n"); err != nil {
			return err
		}
		return m.readSlowly(ctx)
	}})
}

// Guards against streams that nobody reads.
func TestStreamsThatAreNotRead(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 300, unread: true, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, strings.Repeat(m.head("POST", "/talk/x", "Model: m", "Token-Counts: 10,2000", "Prompt-Prefix: aa:4,bb:6")+"\r\n", 20))
	}})
}

// Guards against requests with bodies that stop, on any path of the readiness and the
// address listener: the answer is sent, and the connection waits for the body's rest.
func TestBodiesAtTheQueryListeners(t *testing.T) {
	for name, path := range map[string]string{"readiness": platform.ReadinessPath, "addresses": platform.AddressPath + "?zone=z1", "another path": "/elsewhere"} {
		t.Run(name, func(t *testing.T) {
			e := startEdge(t)
			behave := func(ctx context.Context, m member) error {
				return m.send(ctx, 0, m.postHead(path, 100), largeBody[:50])
			}
			e.checkUnder(crowd{address: e.readiness, members: 60, behave: behave}, crowd{address: e.resolver, members: 60, behave: behave})
		})
	}
}

// Guards against heads of many short fields at these listeners, and answers of theirs that
// nobody reads.
func TestHeadsAtTheQueryListeners(t *testing.T) {
	e := startEdge(t)
	fields := shortFields(60 << 10)
	heads := func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.head("GET", platform.AddressPath)+fields)
	}
	ahead := func(ctx context.Context, m member) error {
		return m.send(ctx, 0, strings.Repeat(m.head("GET", platform.AddressPath+"?zone=z1")+"\r\n", 3000))
	}
	e.checkUnder(
		crowd{address: e.readiness, members: 60, behave: heads}, crowd{address: e.resolver, members: 60, behave: heads},
		crowd{address: e.readiness, members: 60, unread: true, behave: ahead}, crowd{address: e.resolver, members: 60, unread: true, behave: ahead},
	)
}

// Guards against clients that send nothing, little, or too much at these listeners, and against
// answers that are read a few bytes at a time.
func TestSlowAndLargeAtTheQueryListeners(t *testing.T) {
	chunk := "10\r\n" + largeBody[:16] + "\r\n"
	for name, behave := range map[string]func(ctx context.Context, m member) error{
		"nothing": func(context.Context, member) error { return nil },
		"half of a head": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("GET", platform.ReadinessPath))
		},
		"a slow body": func(ctx context.Context, m member) error {
			if err := m.send(ctx, 0, m.postHead(platform.ReadinessPath, 10_000)); err != nil {
				return err
			}
			return m.slowly(ctx, 200*time.Millisecond)
		},
		"a large body without its end": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.postHead(platform.AddressPath+"?zone=z1", len(largeBody)), largeBody[1:])
		},
		"chunks without an end": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("POST", "/elsewhere", "Transfer-Encoding: chunked")+"\r\n", strings.Repeat(chunk, len(largeBody)/16))
		},
		"a body far over the limit": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, append([]string{m.postHead("/elsewhere", 40*len(largeBody))}, slices.Repeat([]string{largeBody}, 40)...)...)
		},
		"slow reading of requests ahead": func(ctx context.Context, m member) error {
			if err := m.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				return err
			}
			go func() {
				_ = m.send(ctx, 0, strings.Repeat(m.head("GET", platform.AddressPath+"?zone=z1")+"\r\n", 3000))
			}()
			return m.readSlowly(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEdge(t)
			unread := strings.HasPrefix(name, "slow reading")
			e.checkUnder(
				crowd{address: e.readiness, members: 60, unread: unread, behave: behave},
				crowd{address: e.resolver, members: 60, unread: unread, behave: behave},
			)
		})
	}
}
