package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// Times of what an instance believes.
const (
	// watchShare is the part of the time after which an instance is out of
	// touch that a watch of the store waits. A store that forgets its history
	// may leave watches without a word of the changes made meanwhile; only a
	// watch that ends by itself and is begun anew shows them.
	watchShare = 0.8
	// confirmMargin is added to a quiet watch's wait: an instance whose last
	// answer of the store is older does not say that a route or key is unknown.
	confirmMargin = 2 * time.Second
	// suspensionTick is how often the clock is looked at, suspensionGap the
	// gap from which on the process is held to have been suspended.
	suspensionTick = 200 * time.Millisecond
	suspensionGap  = 1200 * time.Millisecond
	// wakingTime is how long an instance that woke waits for its configuration
	// to be confirmed before it serves again without.
	wakingTime = 1500 * time.Millisecond
)

// confirmed reports whether the routes are not known to be old.
func (i *Instance) confirmed() bool { return i.routes.ConfirmedAge() < i.watchWait()+confirmMargin }

// watchWait is how long a watch of the store waits.
func (i *Instance) watchWait() time.Duration {
	return time.Duration(watchShare * float64(i.cfg.Ingress.Touch.Duration))
}

// serving reports whether the instance takes requests.
func (i *Instance) serving() bool {
	if !i.routes.Known() {
		return false
	}
	if i.cfg.Ingress.FailClosed && i.routes.ConfirmedAge() > i.cfg.Ingress.Revocation.Duration+i.watchWait() {
		return false
	}
	return !i.waking()
}

// waking reports whether the instance was suspended and has not heard since
// from the store. It may have missed a change that everyone else has in force.
func (i *Instance) waking() bool {
	woke := time.Duration(i.wokeAt.Load())
	if woke == 0 {
		return false
	}
	since := i.o.Boot.SinceBoot() - woke
	if i.routes.ConfirmedAge() < since || since > wakingTime {
		i.wokeAt.CompareAndSwap(int64(woke), 0)
		return false
	}
	return true
}

// watchSuspension notices that the process did not run for a while, frozen or
// with its machine suspended.
func (i *Instance) watchSuspension(ctx context.Context) {
	tick := time.NewTicker(suspensionTick)
	defer tick.Stop()
	last := i.o.Boot.SinceBoot()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := i.o.Boot.SinceBoot()
		if gap := now - last; gap > suspensionGap {
			i.wokeAt.Store(int64(now))
			i.routes.Recheck()
			i.o.Logger.Log(event.IngressWoke, "gap_ms", gap.Milliseconds())
		}
		last = now
	}
}

// maxAddresses is how many addresses an answer names.
const maxAddresses = 64

// addresses returns where callers in the place may connect.
func (i *Instance) addresses(place string) []string {
	var near, far []string
	for id, m := range i.board.Members.Snapshot() {
		if id == i.id() || m.State != board.MemberAlive || m.CallerAddr == "" {
			continue
		}
		if m.Place == place {
			near = append(near, m.CallerAddr)
		} else {
			far = append(far, m.CallerAddr)
		}
	}
	if !i.ingress.Stopping() {
		if i.cfg.Instance.Place == place {
			near = append(near, i.cfg.Ingress.Listen)
		} else {
			far = append(far, i.cfg.Ingress.Listen)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxAddresses)]
}

// targetAlive asks whether a process listens at the target's address. Only one
// that refuses the connection is held for dead: one that does not answer may
// be cut off.
func (i *Instance) targetAlive(ctx context.Context, t stagecall.Target) bool {
	dial := i.o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	conn, err := dial(ctx, "tcp", t.Address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true
}
