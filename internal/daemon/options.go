// Package daemon assembles one instance of lynxhill from its components and runs it:
// listeners, membership, controllers, request path, graceful stop.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/bootclock"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/routing"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ListenFunc opens a listener on IP:port.
type ListenFunc func(addr string) (net.Listener, error)

// Options are the dependencies that can be replaced. lynxhilld sets only the logger;
// the benchmark injects faults through Dial and Listen, sets seeds and collects
// violations.
type Options struct {
	Clock  clock.Clock
	Boot   clock.Boot
	Dial   DialFunc
	Listen ListenFunc
	Seed   uint64
	Logger *event.Logger
	// LimitMemory sets the limit, in bytes, of the runtime's memory; nil = it is not set.
	LimitMemory func(bytes int64) int64
	// Violations receives broken invariants; if nil, they are counted and logged.
	Violations invariant.Recorder
	// Policy overrides the policy for choosing targets, for comparisons of policies.
	Policy routing.Policy
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	if o.Boot == nil {
		o.Boot = bootclock.Clock{}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Listen == nil {
		o.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if o.Seed == 0 {
		o.Seed = randomSeed()
	}
	return o
}

// randomSeed returns a seed that differs between instances, so that their jitter
// differs too.
func randomSeed() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:])
}
