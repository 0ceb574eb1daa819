//go:build linux

package crowdtest

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// changeSettings replaces the settings file.
func (p *process) changeSettings(text string) {
	p.Helper()
	part := filepath.Join(filepath.Dir(p.settings), "part")
	if err := os.WriteFile(part, []byte(text), 0o600); err != nil {
		p.Fatal(err)
	}
	if err := os.Rename(part, p.settings); err != nil {
		p.Fatal(err)
	}
}

// Guards against crowds that together get past limits that hold for each, while settings
// and configuration change and lower the limits under bodies that are on their way, and
// against a stop that waits for them.
func TestCrowdsTogetherWhileLimitsChange(t *testing.T) {
	fields := shortFields(60 << 10)
	e := startEdge(t)
	crowds := []crowd{
		{address: e.callers, members: 60, behave: func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.postHead("/once/x", len(largeBody)), largeBody[1:])
		}},
		{address: e.callers, members: 60, behave: func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("POST", "/idem/x", "Content-Length: 2")+fields+"\r\n", "x")
		}},
		{address: e.callers, members: 60, behave: func(ctx context.Context, m member) error {
			if err := m.send(ctx, 0, m.postHead("/nowhere/x", 10_000)); err != nil {
				return err
			}
			return m.slowly(ctx, 200*time.Millisecond)
		}},
		{address: e.callers, members: 60, unread: true, behave: func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("GET", "/large/x")+"\r\n")
		}},
		{address: e.readiness, members: 60, behave: func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.postHead("/elsewhere", 100), largeBody[:50])
		}},
	}
	var all []*runningCrowd
	for _, c := range crowds {
		all = append(all, c.start(t))
	}
	for n := range 8 {
		time.Sleep(crowdTime / 8)
		e.changeSettings(e.settingsText(memoryMB-10*(n%2), descriptors-100*(n%2)))
		e.signal(syscall.SIGHUP)
		if _, err := e.world.Change(func(c *emulator.Config) {
			c.Limits = limits
			if n%2 == 0 {
				c.Limits = emulator.Limits{MaxHeaderBytes: 32 << 10, MaxBodyBytes: 256 << 10, HeaderTimeoutMs: 1000, IdleTimeoutMs: 3000}
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	e.checkAnswers("beside the crowds")
	e.checkBounds()
	e.stop()
	for _, g := range all {
		g.stop()
		e.checkNotRun(g.refused)
	}
}
