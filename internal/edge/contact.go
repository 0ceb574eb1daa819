package edge

import (
	"time"

	"lynxhill.example/lynxhill/internal/stagework"
)

// aloneAfter is the silence of all other instances, of which several are heard
// each heartbeat, after which this one asks whether it is cut off.
const aloneAfter = 2 * heartbeatEvery

// storeAnswer is how long the store is given to answer that question. It answers
// in milliseconds.
const storeAnswer = 200 * time.Millisecond

// contact reports whether this instance is cut off: it believes others alive,
// hears none of them, and the store has not answered since. If the store does
// answer, the others are down and this instance has to do their work.
//
// What goes wrong if it is held for cut off before the store has had time to
// answer: the request that first notices the silence is refused, each time that
// the only others die. One notices refusals "the other instances are not
// reached" within a millisecond of their arrival.
func (i *Instance) contact() stagework.Contact {
	silence := i.members.Silence()
	if silence < aloneAfter || i.instances() < 2 {
		return stagework.ContactGood
	}
	i.askStore(i.o.Boot.SinceBoot() - silence)
	switch {
	case i.routes.ConfirmedAge() < silence:
		return stagework.ContactGood
	case i.o.Boot.SinceBoot()-time.Duration(i.storeAsked.Load()) < storeAnswer:
		return stagework.ContactOpen
	default:
		return stagework.ContactLost
	}
}

// askStore lists anew at the store, once for each silence.
func (i *Instance) askStore(heard time.Duration) {
	before := i.askedAt.Load()
	// Both are read at different moments, so that they differ by a little.
	if heard-time.Duration(before) > aloneAfter/2 && i.askedAt.CompareAndSwap(before, int64(heard)) {
		i.storeAsked.Store(int64(i.o.Boot.SinceBoot()))
		i.routes.Recheck()
	}
}
