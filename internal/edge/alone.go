package edge

import "time"

// aloneAfter is the silence of all other instances, of which several are heard
// each heartbeat, after which this one asks whether it is cut off.
const aloneAfter = 2 * heartbeatEvery

// alone reports whether this instance is cut off: it believes others alive,
// hears none of them, and the store has not answered since. If the store does
// answer, the others are down and this instance has to do their work.
func (i *Instance) alone() bool {
	silence := i.members.Silence()
	if silence < aloneAfter || i.instances() < 2 {
		return false
	}
	i.askStore(i.o.Boot.SinceBoot() - silence)
	return i.routes.ConfirmedAge() >= silence
}

// askStore lists anew at the store, once for each silence.
func (i *Instance) askStore(heard time.Duration) {
	before := i.askedAt.Load()
	// Both are read at different moments, so that they differ by a little.
	if heard-time.Duration(before) > aloneAfter/2 && i.askedAt.CompareAndSwap(before, int64(heard)) {
		i.routes.Recheck()
	}
}
