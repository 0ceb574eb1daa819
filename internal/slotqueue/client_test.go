package slotqueue

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestGrantUseRelease(t *testing.T) {
	withClient(t, func(r *clientRig) {
		slot := r.wantSlot("calm", r.ranked[0], 0)
		if err := slot.Use(); err != nil {
			t.Error(err)
		}
		time.Sleep(60 * ms)
		slot.Release(Answered, 60*ms, nil)
		slot.Release(NoResponse, 0, nil) // has no effect
		synctest.Wait()
		if events, held := r.ranked[0].seen(); !slices.Equal(events, []string{"request 1", "release 1 1"}) || held != 0 {
			t.Errorf("%v, %d slots counted", events, held)
		}
		r.ranked[0].set(func() { r.ranked[0].refusal = &Refusal{Reason: ReasonLate, RetryAfter: time.Second} })
		_, refusal, err := r.Acquire(context.Background(), Request{Service: "s"})
		if err != nil || refusal == nil || refusal.RetryAfter != time.Second {
			t.Errorf("refusal %+v, %v", refusal, err)
		}
	})
}

// Guards against a message for each request: what comes up while a message is being sent
// must go with the next one.
func TestMessagesAreBatched(t *testing.T) {
	withClient(t, func(r *clientRig) {
		r.ranked[0].sendTime = ms
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() {
				slot, _, _ := r.Acquire(context.Background(), Request{Service: "s"})
				_ = slot.Use()
				time.Sleep(10 * ms)
				slot.Release(Answered, 10*ms, nil)
			})
		}
		all.Wait()
		time.Sleep(10 * ms)
		events, _ := r.ranked[0].seen()
		if streams, sent, _ := r.ranked[0].traffic(); streams != 1 || len(events) != 100 || sent > 10 {
			t.Errorf("%d streams, %d requests and releases in %d messages", streams, len(events), sent)
		}
	})
}

// Guards against heartbeats of streams that nobody uses, and against a stream that is
// opened for each request.
func TestHeartbeatsOnlyWhileRequestsAreInFlight(t *testing.T) {
	withClient(t, func(r *clientRig) {
		slot := r.wantSlot("first", r.ranked[0], 0)
		_ = slot.Use()
		time.Sleep(2 * time.Second)
		slot.Release(Answered, 0, nil)
		synctest.Wait()
		_, _, beats := r.ranked[0].traffic()
		time.Sleep(4900 * ms)
		if _, _, more := r.ranked[0].traffic(); beats < 7 || beats > 8 || more != beats || r.streams() != 1 {
			t.Errorf("%d heartbeats in 2 s, %d idle; %d streams", beats, more-beats, r.streams())
		}
		time.Sleep(200 * ms)
		if r.streams() != 0 {
			t.Errorf("%d streams after 5 s without requests", r.streams())
		}
		r.wantSlot("after the idle time", r.ranked[0], 0).Release(Unknown, 0, nil)
	})
}

// Guards against owners that choose by themselves while their requests wait for a slot.
func TestWaitingRequestIsGrantedLater(t *testing.T) {
	withClient(t, func(r *clientRig) {
		f := r.ranked[0]
		f.set(func() { f.queues = true })
		time.AfterFunc(3*time.Second, f.grantAll)
		slot, took := r.acquire()
		if slot.Target() != "t-"+f.name || took != 3*time.Second {
			t.Errorf("target %q after %v", slot.Target(), took)
		}
		slot.Release(Unknown, 0, nil)
	})
}

// Guards against slots that stay taken although their request is gone.
func TestOwnerGivesUp(t *testing.T) {
	withClient(t, func(r *clientRig) {
		f := r.ranked[0]
		f.set(func() { f.queues = true })
		ctx, cancel := context.WithTimeout(context.Background(), 300*ms)
		defer cancel()
		_, _, err := r.Acquire(ctx, Request{Service: "s"})
		synctest.Wait()
		if events, _ := f.seen(); !errors.Is(err, context.DeadlineExceeded) || !slices.Equal(events, []string{"request 1", "cancel 1"}) {
			t.Errorf("%v; told %v", err, events)
		}
		f.say(Answer{ID: 1, Target: "t"}) // crossed the cancellation
		synctest.Wait()
		if events, _ := f.seen(); events[len(events)-1] != "release 1 0" {
			t.Errorf("a grant that came too late was not released: %v", events)
		}
	})
}

// Guards against a grant that is kept unused, and against its use after it was released.
func TestGrantIsNotUsed(t *testing.T) {
	withClient(t, func(r *clientRig) {
		slot := r.wantSlot("unused", r.ranked[0], 0)
		time.Sleep(unusedTimeout)
		synctest.Wait()
		if _, held := r.ranked[0].seen(); held != 0 || !errors.Is(slot.Use(), ErrReleased) {
			t.Errorf("%d slots counted; use: %v", held, slot.Use())
		}
	})
}
