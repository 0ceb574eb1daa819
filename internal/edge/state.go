package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/routesync"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/ingress"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// Times of what an instance believes.
const (
	// suspensionTick is how often the clock is looked at, suspensionGap the
	// gap from which on the process is held to have been suspended.
	suspensionTick = 200 * time.Millisecond
	suspensionGap  = 1200 * time.Millisecond
	// wakingTime is how long an instance that woke waits for its configuration
	// to be confirmed before it serves again without.
	wakingTime = 1500 * time.Millisecond
)

// grounds returns what an answer that there is no such route or key rests on here.
func (i *Instance) grounds(ctx context.Context) ingress.Grounds {
	age, source := i.routes.AssureRoutes(ctx)
	return ingress.Grounds{Sure: age <= i.times().Change, Age: age, Source: source}
}

// times returns the times in which this instance learns of changes.
func (i *Instance) times() routesync.Times {
	s := i.settings()
	return routesync.TimesOf(s.Apply.Duration, s.Touch.Duration)
}

// serving reports whether the instance takes requests.
func (i *Instance) serving() bool {
	i.look()
	return i.routes.Known() && !i.keysLapsed() && !i.waking()
}

// keysLapsed reports whether keys that were taken away may still be known here,
// and the settings say that nothing is served then. The store confirms no more
// often than its watches end, so an instance that hears from it all the while is
// let have that much time.
func (i *Instance) keysLapsed() bool {
	s := i.settings()
	allowed := max(s.Revocation.Duration, i.times().Change)
	return s.FailClosed && i.routes.ConfirmedAge() > allowed
}

// waking reports whether the instance was suspended and has not heard since
// from the store. It may have missed a change that everyone else has in force.
func (i *Instance) waking() bool {
	woke := time.Duration(i.wokeAt.Load())
	if woke == 0 {
		return false
	}
	since := i.o.Boot.SinceBoot() - woke
	if i.routes.ConfirmedAge() <= since || since > wakingTime {
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			i.look()
		}
	}
}

// look compares the time with that of the look before. Each request looks too:
// timers stand still while a machine is suspended, so the first requests after
// it woke come before the tick. They would be served by a configuration that may
// have been replaced long ago.
func (i *Instance) look() {
	now, last := i.o.Boot.SinceBoot(), i.looked.Load()
	gap := now - time.Duration(last)
	if gap > suspensionGap {
		i.wokeAt.Store(int64(now)) // before others find that somebody has looked
	}
	if i.looked.CompareAndSwap(last, int64(now)) && gap > suspensionGap {
		i.routes.Recheck()
		i.o.Logger.Log(event.IngressWoke, "gap_ms", gap.Milliseconds())
	}
}

// seeds returns the addresses of other instances to start from.
func (i *Instance) seeds() []string { return i.inForce.Load().Peers.Seeds }

// meetTime is how long after the first reading of the members an instance may
// not know all others: of instances that start together, the first reading shows
// few.
const meetTime = 4 * time.Second

// meetingTime is how long an instance that has started waits at most for the
// list of instances before it decides who schedules stage work.
const meetingTime = time.Second

// meeting reports whether this instance has started and does not know yet who
// the others are.
func (i *Instance) meeting() bool {
	return !i.members.ListRead() && i.running() < meetingTime && i.seeded() > 1
}

// running is how long this instance runs.
func (i *Instance) running() time.Duration { return i.o.Boot.SinceBoot() - i.began }

// sharers returns how many instances share the extra repeats, 0 until this
// instance has had time to hear of all. Unreachable instances count, because they
// may still repeat requests on the other side of a partition.
func (i *Instance) sharers() int { return len(i.everHeardOf()) }

// seeded is how many instances the seeds name, and this one.
func (i *Instance) seeded() int {
	named := map[string]bool{i.cfg.Listen.Peer: true}
	for _, address := range i.seeds() {
		if address != i.cfg.Ingress.Control {
			named[address] = true
		}
	}
	return len(named)
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
