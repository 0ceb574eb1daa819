//go:build linux

package crowdtest

import (
	"context"
	"fmt"
	"strings"
	"testing"
)

// again sends whole requests one after the other on a connection, and reads their answers.
func (m member) again(ctx context.Context, request func(n int64) string) error {
	for ctx.Err() == nil {
		if err := m.send(ctx, 0, request(lastID.Add(1))); err != nil {
			return err
		}
		if err := m.readAnswer(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Guards against state that is kept for each name that a caller makes up, in maps that
// nobody bounds: ids, hosts, paths, API keys, piece keys, parts of prompts.
func TestNamesThatCallersMakeUp(t *testing.T) {
	long := func(n int64, size int) string { return fmt.Sprintf("%016x", n) + strings.Repeat("e", size) }
	for name, request := range map[string]func(n int64) string{
		"hosts, paths and keys": func(n int64) string {
			return fmt.Sprintf("GET /%s/x HTTP/1.1\r\nHost: %s.example\r\nCredential: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n",
				long(n, 4000), long(n, 200), long(n, 4000), long(n, 4000))
		},
		"paths of a route": func(n int64) string {
			return fmt.Sprintf("GET /idem/%s HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", long(n, 4000), host, key, long(n, 4000))
		},
		"parts of prompts": func(n int64) string {
			var parts []string
			for i := range 500 {
				parts = append(parts, fmt.Sprintf("%x%06x:1", n, i))
			}
			return fmt.Sprintf("POST /talk/x HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %016x\r\nDeadline-Ms: 4000\r\nModel: m\r\nToken-Counts: 500,4\r\nPrompt-Prefix: %s\r\n\r\n",
				host, key, n, strings.Join(parts, ","))
		},
		"long parts of prompts": func(n int64) string {
			return fmt.Sprintf("POST /talk/x HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %016x\r\nDeadline-Ms: 4000\r\nModel: m\r\nToken-Counts: 1,4\r\nPrompt-Prefix: %s:1\r\n\r\n",
				host, key, n, long(n, 50_000))
		},
		"ids of streams": func(n int64) string {
			return fmt.Sprintf("POST /resume/x HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nModel: m\r\nToken-Counts: 10,4\r\nPrompt-Prefix: aa:10\r\n\r\n",
				host, key, long(n, 50_000))
		},
		"piece keys": func(n int64) string {
			return fmt.Sprintf("POST /staged/x HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %016x\r\nDeadline-Ms: 4000\r\nModel: m\r\nToken-Counts: 10,4\r\nPrompt-Prefix: %x:10\r\nPiece-Key: %s\r\nPiece-Count: 2,1\r\n\r\n",
				host, key, n, n, long(n, 4000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEdge(t)
			e.checkUnder(crowd{address: e.callers, members: 100, unread: true, behave: func(ctx context.Context, m member) error {
				return m.again(ctx, request)
			}})
		})
	}
}
