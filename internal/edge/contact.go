package edge

import (
	"time"

	"lynxhill.example/lynxhill/internal/stagework"
)

// silenceThreshold is the time without a message from any other instance after which
// this one checks whether it is cut off. Several instances are heard from in each
// heartbeat interval.
const silenceThreshold = 2 * heartbeatEvery

// storeResponseTimeout is the timeout of that check's call of the store, which
// normally responds within milliseconds.
const storeResponseTimeout = 200 * time.Millisecond

// contact reports whether this instance is cut off: it considers others alive,
// receives nothing from them, and the store has not responded since. If the store does
// respond, the others are down and this instance has to do their work.
//
// If the instance were considered cut off before the store has had time to respond,
// the request that first notices the silence would be refused each time that all other
// instances crash. The symptom is refusals "the other instances are not reached"
// within a millisecond of the requests' arrival.
func (i *Instance) contact() stagework.Connectivity {
	silence := i.members.Silence()
	if silence < silenceThreshold || i.liveInstances() < 2 {
		return stagework.ConnectivityOK
	}
	i.queryStore(i.o.Boot.SinceBoot() - silence)
	switch {
	case i.routes.ConfirmedAge() < silence:
		return stagework.ConnectivityOK
	case i.o.Boot.SinceBoot()-time.Duration(i.storeQueriedAt.Load()) < storeResponseTimeout:
		return stagework.ConnectivityUnknown
	default:
		return stagework.ConnectivityLost
	}
}

// queryStore requests a new list of all prefixes from the store, once for each period
// of silence. lastHeard is the boot time of the last message of another instance.
func (i *Instance) queryStore(lastHeard time.Duration) {
	before := i.heardBeforeQuery.Load()
	// The clock and the silence are read at different moments, so that lastHeard varies
	// slightly within one period of silence.
	if lastHeard-time.Duration(before) > silenceThreshold/2 && i.heardBeforeQuery.CompareAndSwap(before, int64(lastHeard)) {
		i.storeQueriedAt.Store(int64(i.o.Boot.SinceBoot()))
		i.routes.Refresh()
	}
}
