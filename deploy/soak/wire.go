package main

import (
	"context"
	"fmt"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// Times of the faults of connections.
const (
	minWirePause, maxWirePause = 500 * time.Millisecond, 2 * time.Second
	minWireTime, maxWireTime   = time.Second, 4 * time.Second
	// endlessEvery is the number of such faults of which one is bytes without end.
	endlessEvery = 6
)

// hurtWires makes the connections to all servers of a service faulty, again and again: late
// and foreign answers, with and without ids, and resets, while the servers refuse a part of
// the requests; at times bytes without end. The faults overlap those of the other services.
func (h *hurter) hurtWires(ctx context.Context) {
	draw := func(from, to time.Duration) time.Duration {
		return from + time.Duration(h.wires.Int64N(int64(to-from)))
	}
	busy := make(map[string]time.Time) // until when a service has a fault
	for n := 0; pause(ctx, draw(minWirePause, maxWirePause)); n++ {
		service, length := h.services[h.wires.IntN(len(h.services))], draw(minWireTime, maxWireTime)
		f := emulator.WireFaults{
			Repeat: 0.1 + 0.5*h.wires.Float64(), Foreign: 0.2 * h.wires.Float64(), Strip: h.wires.IntN(3) == 0 && !h.identified, Reset: 0.03 * h.wires.Float64(),
		}
		shed := 0.1 + 0.4*h.wires.Float64()
		if n%endlessEvery == endlessEvery-1 {
			f = emulator.WireFaults{Endless: 0.1}
		}
		if time.Now().Before(busy[service]) {
			continue
		}
		busy[service] = time.Now().Add(length)
		h.note("wire", fmt.Sprintf("%s %+v, sheds %.2f, for %v", service, f, shed, length))
		h.working.Go(func() { h.hurtWire(ctx, service, f, shed, length) })
	}
}

// hurtWire makes the connections to the present servers of a service faulty for a while. It
// replaces the other faults of their answers.
func (h *hurter) hurtWire(ctx context.Context, service string, f emulator.WireFaults, shed float64, length time.Duration) {
	servers := h.world.Servers(service)
	for _, s := range servers {
		h.wire.SetFaults(s.Address, f)
		s.SetFaults(emulator.Faults{Shed: shed})
	}
	pause(ctx, length)
	for _, s := range servers {
		h.wire.SetFaults(s.Address, emulator.WireFaults{})
		s.SetFaults(emulator.Faults{})
	}
}
