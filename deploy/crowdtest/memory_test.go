//go:build linux

package crowdtest

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// largeBody is a body of the largest size that the configuration allows.
var largeBody = strings.Repeat("x", limits.MaxBodyBytes)

// postHead returns the whole head of a POST with a body of that length.
func (m member) postHead(path string, length int) string {
	return m.head("POST", path, fmt.Sprintf("Content-Length: %d", length)) + "\r\n"
}

// Guards against heads of legal size whose many short fields take many times their size in
// memory, on requests that lack the last byte of their body.
func TestHeadsOfManyFieldsBeforeBodies(t *testing.T) {
	fields := shortFields(60 << 10)
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 230, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.head("POST", "/idem/x", "Content-Length: 2")+fields+"\r\n", "x")
	}})
}

// Guards against the same heads where they lack only the empty line at their end.
func TestHeadsOfManyFieldsWithoutEnd(t *testing.T) {
	fields := shortFields(60 << 10)
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 230, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.head("GET", "/idem/x")+fields)
	}})
}

// Guards against whole requests with such heads that wait for a slow target.
func TestWholeRequestsOfManyFields(t *testing.T) {
	fields := shortFields(15 << 10)
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 230, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.head("GET", "/slow/x")+fields+"\r\n")
	}})
}

// Guards against heads whose single field lists more parts of a prompt, or counts of
// pieces, than any request has.
func TestLongLists(t *testing.T) {
	parts := strings.TrimSuffix(strings.Repeat("a:1,", 15<<10), ",")
	counts := strings.TrimSuffix(strings.Repeat("0,", 30<<10), ",")
	e := startEdge(t)
	e.checkUnder(
		crowd{address: e.callers, members: 110, behave: func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("POST", "/talk/x", "Content-Length: 2", "Model: m", "Token-Counts: 10,10", "Prompt-Prefix: "+parts)+"\r\n", "x")
		}},
		crowd{address: e.callers, members: 110, behave: func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("POST", "/staged/x", "Content-Length: 2", "Model: m", "Token-Counts: 10,10", "Piece-Count: "+counts)+"\r\n", "x")
		}},
	)
}

// Guards against bodies of legal size that stop a byte before their end and stay.
func TestBodiesThatStopShort(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 16, largeBody[:16])
	for name, behave := range map[string]func(ctx context.Context, m member) error{
		"in one piece": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.postHead("/idem/x", len(largeBody)), largeBody[1:])
		},
		"without a route": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.postHead("/nowhere/x", len(largeBody)), largeBody[1:])
		},
		"in small pieces": func(ctx context.Context, m member) error {
			const piece = 16 << 10
			parts := []string{m.postHead("/idem/x", len(largeBody))}
			for at := 0; at < len(largeBody)-piece; at += piece {
				parts = append(parts, largeBody[at:at+piece])
			}
			return m.send(ctx, time.Millisecond, append(parts, largeBody[:piece-1])...)
		},
		"in chunks": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("POST", "/idem/x", "Transfer-Encoding: chunked")+"\r\n", strings.Repeat(chunk, len(largeBody)/16))
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEdge(t)
			e.checkUnder(crowd{address: e.callers, members: 230, behave: behave})
		})
	}
}

// Guards against bodies far beyond the limit.
func TestBodiesBeyondTheLimit(t *testing.T) {
	e := startEdge(t)
	e.checkUnder(crowd{address: e.callers, members: 100, behave: func(ctx context.Context, m member) error {
		parts := []string{m.postHead("/idem/x", 40*len(largeBody))}
		for range 40 {
			parts = append(parts, largeBody)
		}
		return m.send(ctx, 0, parts...)
	}})
}

// Guards against requests sent ahead on connections whose answers nobody reads.
func TestRequestsAheadWithoutReading(t *testing.T) {
	for name, path := range map[string]string{"to a route": "/idem/x", "without a route": "/nowhere/x", "to a slow service": "/slow/x", "with large answers": "/large/x"} {
		t.Run(name, func(t *testing.T) {
			e := startEdge(t)
			e.checkUnder(crowd{address: e.callers, members: 300, unread: true, behave: func(ctx context.Context, m member) error {
				return m.send(ctx, 0, strings.Repeat(m.head("GET", path)+"\r\n", 3000))
			}})
		})
	}
}

// Guards against a number in a head that makes an instance allocate: counts of pieces that
// no deployment can make.
func TestPieceCountsBeyondMeasure(t *testing.T) {
	for name, c := range map[string]struct {
		members int
		count   string
	}{
		"one request of two billion":   {1, "2000000000,2000000000"},
		"four requests of two billion": {4, "2000000000,2000000000"},
		"twenty of a million":          {20, "1000000,1000000"},
		"many of ten thousand":         {200, "10000,10000"},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEdge(t)
			requests := crowd{address: e.callers, members: c.members, behave: func(ctx context.Context, m member) error {
				return m.send(ctx, 0, m.head("POST", "/staged/x", "Model: m", "Token-Counts: 10,10", "Prompt-Prefix: aa:4,bb:6", "Piece-Key: 1a", "Piece-Count: "+c.count)+"\r\n")
			}}.start(t)
			time.Sleep(crowdTime)
			eventually(t, "a request with stages is answered beside the crowd", e.answersStaged)
			requests.stop()
			e.checkAnswers("after the crowd")
			eventually(t, "a request with stages is answered after the crowd", e.answersStaged)
			e.checkBounds()
			e.checkNotRun(requests.refused)
		})
	}
}
