package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// pausingStore simulates an instance that is sometimes paused between deciding on a
// write and sending it, for longer than its own timeouts.
type pausingStore struct {
	store.Store
	mu        sync.Mutex // guards rng
	rng       *rand.Rand
	pauseRate float64
}

func (s *pausingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	s.mu.Lock()
	pause := time.Duration(0)
	if s.rng.Float64() < s.pauseRate {
		pause = time.Duration(s.rng.Int64N(int64(8 * time.Second)))
	}
	s.mu.Unlock()
	if pause > 0 {
		time.Sleep(pause)
		ctx = context.WithoutCancel(ctx) // a paused process still sends the write
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// faultyForwarder sends messages between instances. Some messages are lost or
// delayed, and some replies are lost.
type faultyForwarder struct {
	history *history
	mu      sync.Mutex // guards rng
	rng     *rand.Rand
}

func (l *faultyForwarder) ForwardClaim(ctx context.Context, instance string, m Message) (Reply, error) {
	l.mu.Lock()
	fate := l.rng.IntN(10)
	late := time.Duration(l.rng.Int64N(int64(3 * time.Second)))
	l.mu.Unlock()
	var to *StoreClaimer
	l.history.mu.Lock()
	for _, p := range l.history.claimers {
		if p.opts.Self == instance {
			to = p
		}
	}
	l.history.mu.Unlock()
	switch fate {
	case 0:
		return Reply{}, errForward
	case 1: // the message arrives after the caller has given up
		go func() {
			time.Sleep(late)
			_, _ = to.Handle(context.Background(), m)
		}()
		return Reply{}, errForward
	case 2: // the reply is lost
		_, _ = to.Handle(context.WithoutCancel(ctx), m)
		return Reply{}, errForward
	case 3:
		time.Sleep(late)
	}
	return to.Handle(ctx, m)
}

var errForward = errors.New("link broken")

func (h *history) drawFaults() memstore.Faults {
	switch h.rng.IntN(7) {
	case 0:
		return memstore.Faults{Outage: true}
	case 1:
		return memstore.Faults{LoseReply: 0.5}
	case 2:
		return memstore.Faults{Throttle: 0.5, Delay: 5 * time.Millisecond}
	case 3:
		return memstore.Faults{Delay: time.Second, Jitter: 4 * time.Second}
	case 4:
		return memstore.Faults{LoseReply: 0.3, Jitter: 100 * time.Millisecond}
	case 5:
		return memstore.Faults{WriteDelay: 4 * time.Second, Jitter: 4 * time.Second}
	}
	return memstore.Faults{Jitter: 10 * time.Millisecond}
}
