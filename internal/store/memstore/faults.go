package memstore

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

// Faults are the faults that the store injects. The zero value is a healthy store.
type Faults struct {
	Outage    bool    // every call is refused
	Throttle  float64 // share of calls refused as over the rate limit
	LoseReply float64 // share of writes that take effect and whose reply is lost
	// Delay and a random part of Jitter pass before a call takes effect. A write
	// whose caller gives up in the meantime still takes effect later.
	Delay      time.Duration
	Jitter     time.Duration
	WriteDelay time.Duration // added for writes
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed) // waiting watches check the faults again
	s.changed = make(chan struct{})
}

type kind int

const (
	kindRead kind = iota
	kindWrite
	kindWatch
)

// window counts the calls in the current second.
type window struct {
	start time.Time
	calls int
}

func (w *window) take(now time.Time, limit float64) bool {
	if limit == 0 {
		return true
	}
	if now.Sub(w.start) >= time.Second {
		w.start, w.calls = now, 0
	}
	w.calls++
	return float64(w.calls) <= limit
}

// enter counts a call, and refuses it if a fault or a rate limit requires that.
func (s *Store) enter(ctx context.Context, k kind) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	within := s.count(k)
	switch {
	case s.faults.Outage:
		s.counts.Refused++
		return store.ErrUnavailable
	case !within, s.rng.Float64() < s.faults.Throttle:
		s.counts.Refused++
		return store.ErrThrottled
	}
	return nil
}

// count adds a call of the kind and reports whether it is within the rate limit.
// The caller holds s.mu.
func (s *Store) count(k kind) bool {
	now := s.opts.Clock.Now()
	switch k {
	case kindWrite:
		s.counts.Writes++
		return s.writes.take(now, s.opts.WritesPerSecond)
	case kindWatch:
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
	return s.reads.take(now, s.opts.ReadsPerSecond)
}

// delay returns how long the next call takes.
func (s *Store) delay(k kind) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.faults.Delay
	if s.faults.Jitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.faults.Jitter)))
	}
	if k == kindWrite {
		d += s.faults.WriteDelay
	}
	return d
}

func (s *Store) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < s.faults.LoseReply
}

// waitDelay waits for the time that a call takes before it has an effect.
func (s *Store) waitDelay(ctx context.Context, k kind) error {
	d := s.delay(k)
	if d <= 0 {
		return nil
	}
	timer := s.opts.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}

func (s *Store) read(ctx context.Context, apply func() error) error {
	if err := s.enter(ctx, kindRead); err != nil {
		return err
	}
	if err := s.waitDelay(ctx, kindRead); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return apply()
}

type reply struct {
	obj store.Object
	err error
}

func (s *Store) write(ctx context.Context, apply func() (store.Object, error)) (store.Object, error) {
	if err := s.enter(ctx, kindWrite); err != nil {
		return store.Object{}, err
	}
	locked := func() reply {
		s.mu.Lock()
		defer s.mu.Unlock()
		obj, err := apply()
		return reply{obj, err}
	}
	answer := make(chan reply, 1)
	if d := s.delay(kindWrite); d > 0 {
		s.opts.Clock.AfterFunc(d, func() { answer <- locked() })
	} else {
		answer <- locked()
	}
	select {
	case r := <-answer:
		if s.losesReply() {
			return store.Object{}, store.ErrUnknown
		}
		return r.obj, r.err
	case <-ctx.Done():
		return store.Object{}, store.ErrUnknown
	}
}
