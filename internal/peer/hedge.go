package peer

import (
	"context"
	"errors"
	"time"
)

// errOtherAttemptUsed is the cause with which the unneeded attempt of a hedged call is
// cancelled.
var errOtherAttemptUsed = errors.New("peer: another attempt was answered")

// hedgedCall is a call that is safe to make twice. It runs until ctx is cancelled.
type hedgedCall[T any] func(ctx context.Context, l *link) (T, error)

// attempt is one of the up to two attempts of a hedged call.
type attempt[T any] struct {
	link   *link
	cancel context.CancelFunc
	value  T
	err    error
}

// hedge makes a call, and makes it again on a new connection if the kept connection
// receives nothing for hedgeDelay. If only the attempt on the new connection gets a
// response, the kept connection is silent and is replaced. The returned function cancels
// the context of the attempt whose result is returned; after an error it is already
// cancelled.
//
// A slow peer or a lost packet costs a second call but no replacement: the kept connection
// is replaced only if it has received nothing when the new one gets the first response.
func hedge[T any](ctx context.Context, c *Client, address string, call hedgedCall[T]) (T, context.CancelFunc, error) {
	kept, startedAt := c.link(address), time.Now()
	ended := make(chan attempt[T], 2)
	start := func(l *link) context.CancelFunc {
		ctx, cancel := context.WithCancelCause(ctx)
		end := func() { cancel(errOtherAttemptUsed) }
		go func() {
			value, err := call(ctx, l)
			ended <- attempt[T]{l, end, value, err}
		}()
		return end
	}
	cancelKept := start(kept)
	first, finished := waitFor(ended, kept)
	if finished || kept.readSince(startedAt) {
		if !finished {
			first = <-ended
		}
		return first.result()
	}
	fresh := c.newLink(address)
	cancelFresh := start(fresh)
	first = <-ended
	if first.err != nil {
		first.cancel()
		first = <-ended
	}
	switch {
	case first.link == kept:
		cancelFresh()
		fresh.retire()
	case first.err == nil && !kept.readSince(startedAt):
		cancelKept()
		c.replace(kept, fresh, startedAt)
	default:
		cancelKept()
		fresh.retire()
	}
	return first.result()
}

// waitFor waits for the attempt, for at most hedgeDelay if its connection is idle and so
// may be silent. finished reports whether the attempt has ended.
func waitFor[T any](ended <-chan attempt[T], kept *link) (a attempt[T], finished bool) {
	if !kept.idle() {
		return <-ended, true
	}
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case a = <-ended:
		return a, true
	case <-timer.C:
		return a, false
	}
}

func (a attempt[T]) result() (T, context.CancelFunc, error) {
	if a.err != nil {
		a.cancel()
	}
	return a.value, a.cancel, a.err
}
