package edge

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/control/routesync"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/ingress"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// Times of the detection of suspensions.
const (
	// suspensionPollInterval is how often the clock is checked. If more than
	// minSuspension passes between two checks, the process is considered to have been
	// suspended.
	suspensionPollInterval = 200 * time.Millisecond
	minSuspension          = 1200 * time.Millisecond
	// maxConfirmationWait is how long an instance waits after a suspension for the
	// confirmation of its configuration before it serves without it.
	maxConfirmationWait = 1500 * time.Millisecond
)

// grounds returns the evidence for a response that a route or a key does not exist: the
// age and source of the last confirmation of the routes, and whether it is recent
// enough.
func (i *Instance) grounds(ctx context.Context) ingress.Confirmation {
	age, source := i.routes.RefreshRoutes(ctx)
	return ingress.Confirmation{Current: age <= i.times().Change, Age: age, Source: source}
}

// times returns the time limits for learning of changes that follow from the settings.
func (i *Instance) times() routesync.Times {
	s := i.settings()
	return routesync.TimesOf(s.ApplyWithin.Duration, s.OutOfTouchAfter.Duration)
}

// serving reports whether the instance accepts requests.
func (i *Instance) serving() bool {
	i.checkClock()
	return i.routes.Synced() && i.refusalsKnown() && !i.mustFailClosed() && !i.awaitingConfirmation()
}

const (
	// refusalsReadAfter is how long an instance waits for the refusals of others before it
	// reads them from the platform's store itself.
	refusalsReadAfter = 1200 * time.Millisecond
	// maxRefusalsWait bounds how long an instance that starts does not serve because it
	// does not know the refusals.
	maxRefusalsWait = 2500 * time.Millisecond
)

// readsRefusalsAfter returns when after its start this instance reads the refusals, unless
// it gets them from another one. The seeds, which all others contact first, read them at
// once: if all instances read them when they start together, that is one more call of the
// store for each.
func (i *Instance) readsRefusalsAfter() time.Duration {
	if i.isSeed() || i.seededInstances() < 2 {
		return 0
	}
	return refusalsReadAfter
}

// isSeed reports whether the settings name this instance as one that others contact first.
func (i *Instance) isSeed() bool {
	return slices.Contains(i.seeds(), i.cfg.Listen.Peer) || slices.Contains(i.seeds(), i.cfg.Ingress.Control)
}

// refusalsKnown reports whether this instance knows which requests are refused because
// targets crashed under them, or has waited long enough. Without them, requests that
// were refused before it started crash targets again.
func (i *Instance) refusalsKnown() bool {
	return i.guard.Complete() || i.uptime() > maxRefusalsWait
}

// mustFailClosed reports whether this instance may still accept revoked keys and the
// settings say that nothing is served in that case. The store confirms the
// configuration only as often as its watches end, so the allowed age is at least the
// time limit of a change; otherwise an instance in constant contact with the store
// would fail closed.
func (i *Instance) mustFailClosed() bool {
	s := i.settings()
	allowed := max(s.Revocation.Duration, i.times().Change)
	return s.FailClosed && i.routes.ConfirmedAge() > allowed
}

// awaitingConfirmation reports whether the instance was suspended and its configuration
// has not been confirmed since. It may have missed a change that is in force on all
// other instances. It returns false once maxConfirmationWait has passed.
func (i *Instance) awaitingConfirmation() bool {
	woke := time.Duration(i.resumedAt.Load())
	if woke == 0 {
		return false
	}
	since := i.o.Boot.SinceBoot() - woke
	if i.routes.ConfirmedAge() <= since || since > maxConfirmationWait {
		i.resumedAt.CompareAndSwap(int64(woke), 0)
		return false
	}
	return true
}

// watchSuspension checks the clock periodically to detect that the process did not run
// for a while because it was frozen or its host was suspended, and whether changes may
// have been missed.
func (i *Instance) watchSuspension(ctx context.Context) {
	tick := time.NewTicker(suspensionPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			i.checkClock()
			if i.mayMissChanges() {
				i.origins.Interrupt()
			}
		}
	}
}

// checkClock compares the time with that of the previous check and has the
// configuration confirmed after a suspension. Each request checks too: timers do not
// advance while a host is suspended, so the first requests after it resumes arrive
// before the next tick. They would be served with a configuration that may have been
// replaced long ago.
func (i *Instance) checkClock() {
	now, last := i.o.Boot.SinceBoot(), i.lastClockCheck.Load()
	gap := now - time.Duration(last)
	if gap > minSuspension {
		i.resumedAt.Store(int64(now)) // before lastClockCheck shows other goroutines that the gap was detected
	}
	if i.lastClockCheck.CompareAndSwap(last, int64(now)) && gap > minSuspension {
		i.routes.Refresh()
		i.o.Logger.Log(event.IngressWoke, "gap_ms", gap.Milliseconds())
	}
}

// seeds returns the addresses of other instances that are contacted first.
func (i *Instance) seeds() []string { return i.inForce.Load().Peers.Seeds }

// memberDiscoveryTime is the time after the first reading of the members during which
// an instance may not know all others: when instances start together, the first reading
// shows only a few of them.
const memberDiscoveryTime = 4 * time.Second

// memberListWait is the longest time that an instance waits after its start for the
// list of instances before it decides which instance schedules stage work.
const memberListWait = time.Second

// discoveringMembers reports whether this instance has just started and does not know
// the other instances yet.
func (i *Instance) discoveringMembers() bool {
	return !i.members.ListRead() && i.uptime() < memberListWait && i.seededInstances() > 1
}

// uptime returns the time since New.
func (i *Instance) uptime() time.Duration { return i.o.Boot.SinceBoot() - i.startedAt }

// sharers returns how many instances share the extra retries, 0 until this instance
// has had time to discover all others. Unreachable instances count, because they may
// still retry requests on the other side of a partition.
func (i *Instance) sharers() int { return len(i.everKnownInstances()) }

// retryRank returns the rank of this instance among those that share the extra retries of a
// service.
func (i *Instance) retryRank(service string) int {
	return rendezvous.Position("edge/retries/"+service, i.id(), i.everKnownInstances())
}

// seededInstances returns the number of instances that the seeds name, including this
// one.
func (i *Instance) seededInstances() int {
	named := map[string]bool{i.cfg.Listen.Peer: true}
	for _, address := range i.seeds() {
		if address != i.cfg.Ingress.Control {
			named[address] = true
		}
	}
	return len(named)
}

// maxAddresses is the maximum number of addresses in a response.
const maxAddresses = 64

// addresses returns the addresses to which callers in the zone may connect, those in
// the zone first.
func (i *Instance) addresses(zone string) []string {
	var near, far []string
	i.board.Members.Each(func(id string, m board.Member) {
		switch {
		case id == i.id() || m.State != board.MemberAlive || m.CallerAddr == "":
		case m.Zone == zone:
			near = append(near, m.CallerAddr)
		default:
			far = append(far, m.CallerAddr)
		}
	})
	if !i.ingress.Stopping() {
		if i.cfg.Instance.Zone == zone {
			near = append(near, i.cfg.Ingress.Listen)
		} else {
			far = append(far, i.cfg.Ingress.Listen)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxAddresses)]
}

// targetAlive reports whether a process listens at the target's address. Only a target
// that refuses the connection, while another one accepts one, is considered crashed: one that
// does not respond may be cut off, and if all refuse, this instance may be.
func (i *Instance) targetAlive(ctx context.Context, t stagecall.Target) bool {
	conn, err := i.paths.Dial(ctx, "tcp", t.Address)
	alive := true
	if err != nil {
		alive = !errors.Is(err, syscall.ECONNREFUSED) || !i.paths.ReachesOther(ctx, t.Address)
	} else {
		_ = conn.Close()
	}
	i.o.Logger.Log(event.CrashguardChecked, "target", t.ID, "crashed", !alive, "err", err)
	return alive
}
