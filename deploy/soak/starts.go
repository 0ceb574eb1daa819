package main

import (
	"context"
	"fmt"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// Bounds of the pauses between the faults of hurtStarts, and of their lengths.
const (
	minStartPause  = 1500 * time.Millisecond
	maxStartPause  = 5 * time.Second
	maxRestartTime = 400 * time.Millisecond // for which a server that starts again is away
	minForeignTime = 500 * time.Millisecond // until a server writes its entry again
	maxForeignTime = 2500 * time.Millisecond
)

// hurtStarts has servers start again under their ids, and foreign writers overwrite the
// entries of servers that go on. It draws from a source of its own.
func (h *hurter) hurtStarts(ctx context.Context) {
	draw := func(from, to time.Duration) time.Duration {
		return from + time.Duration(h.starts.Int64N(int64(to-from)))
	}
	for pause(ctx, draw(minStartPause, maxStartPause)) {
		service := h.services[h.starts.IntN(len(h.services))]
		restart, which := h.starts.IntN(2) == 0, h.starts.IntN(1<<20)
		away, length := draw(0, maxRestartTime), draw(minForeignTime, maxForeignTime)
		how := emulator.ForeignEntry(h.starts.IntN(int(emulator.LateCopy) + 1))
		servers := h.world.Servers(service)
		if len(servers) < 2 {
			continue // none to spare
		}
		id := servers[which%len(servers)].ID
		if restart {
			h.note("target-restart", fmt.Sprintf("%s away for %v", id, away))
			h.working.Go(func() { _ = h.world.Restart(id, away) }) // it may have been ended meanwhile
			continue
		}
		h.note("entry-foreign", fmt.Sprintf("%s kind %d for %v", id, how, length))
		h.working.Go(func() {
			_ = h.world.OverwriteEntry(id, how)
			pause(ctx, length)
			_ = h.world.Register(id)
		})
	}
}
