package outcome

import (
	"context"

	"lynxhill.example/lynxhill/internal/errkind"
)

// inFlightRequest is a request that is running. record is set before done is
// closed.
type inFlightRequest struct {
	bodyHash string
	done     chan struct{}
	record   Record
}

// Do runs the request unless one with the same key and body is in flight or has
// finished; in that case it returns the record of that request with shared set.
// It returns an error of kind KeyReused if the key was used with another body,
// and Cancelled if ctx ends before the record is available.
//
// The context passed to run is not cancelled with the caller's ctx, since other
// callers may be waiting for the result or look it up later. run sets its own
// deadline.
func (r *Registry) Do(ctx context.Context, key Key, bodyHash, requestID string, run func(ctx context.Context) Record) (rec Record, shared bool, err error) {
	s := r.shardOf(key)
	s.mu.Lock()
	if rec, ok := r.lookup(s, key); ok {
		s.mu.Unlock()
		return r.share(rec, bodyHash)
	}
	if f, ok := s.inFlight[key]; ok {
		s.mu.Unlock()
		return r.join(ctx, f, bodyHash)
	}
	f := &inFlightRequest{bodyHash: bodyHash, done: make(chan struct{})}
	s.inFlight[key] = f
	s.mu.Unlock()
	r.running.Add(1)
	go r.run(context.WithoutCancel(ctx), s, key, f, requestID, run)
	rec, err = f.wait(ctx)
	return rec, false, err
}

func (r *Registry) share(rec Record, bodyHash string) (Record, bool, error) {
	if rec.BodyHash != bodyHash {
		return Record{}, false, errKeyReused()
	}
	r.shared.Add(1)
	return rec, true, nil
}

func (r *Registry) join(ctx context.Context, f *inFlightRequest, bodyHash string) (Record, bool, error) {
	if f.bodyHash != bodyHash {
		return Record{}, false, errKeyReused()
	}
	rec, err := f.wait(ctx)
	if err != nil {
		return Record{}, true, err
	}
	r.shared.Add(1)
	return rec, true, nil
}

func (f *inFlightRequest) wait(ctx context.Context) (Record, error) {
	select {
	case <-f.done:
		return f.record, nil
	default:
	}
	select {
	case <-f.done:
		return f.record, nil
	case <-ctx.Done():
		return Record{}, errkind.Wrap(ctx.Err(), errkind.Cancelled, "the caller went away before the answer was there")
	}
}

// run executes the request and publishes its record. A panic in the run
// callback is recorded as an internal error; otherwise the request would stay
// in flight for ever and every waiting caller would block until its deadline.
func (r *Registry) run(ctx context.Context, s *shard, key Key, f *inFlightRequest, requestID string, run func(ctx context.Context) Record) {
	rec := Record{}
	defer func() {
		if p := recover(); p != nil {
			body := errkind.BodyOf(errkind.New(errkind.Internal, "run panicked: %v", p), requestID)
			rec = Record{Err: &body}
		}
		rec.BodyHash = f.bodyHash
		if rec.RequestID == "" {
			rec.RequestID = requestID
		}
		r.finish(s, key, f, rec)
	}()
	rec = run(ctx)
}

func (r *Registry) finish(s *shard, key Key, f *inFlightRequest, rec Record) {
	s.mu.Lock()
	delete(s.inFlight, key)
	if shouldRetain(rec) {
		r.retain(s, key, rec, r.opts.Clock.Now().Add(r.opts.Keep))
	}
	s.mu.Unlock()
	r.running.Add(-1)
	f.record = rec
	close(f.done)
}

func errKeyReused() error {
	return errkind.New(errkind.KeyReused, "the idempotency key was used with another body")
}
