package edge

import (
	"net/http"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/exchange"
)

// trackRequest is called for each request to a target, of whatever kind. It returns
// the function to be called with the response.
func (i *Instance) trackRequest(r exchange.Request) func(status int, h http.Header) {
	target := r.Target
	if target == "" {
		target, _ = i.routes.Targets().AtAddress(r.Address)
	}
	sent := i.notices.BeginRequest(target)
	return func(status int, h http.Header) {
		sent.ResponseReceived(i.adapter.Codec.ParseNotice(status, h), status/100 == 2)
	}
}

// noticeChanged handles a changed notice of a target. A leaving target gets no new work
// from this instance at once, and the notice is gossiped to the other instances, which
// would otherwise learn of it only from responses to their own requests.
func (i *Instance) noticeChanged(run string, before, after board.Notice) {
	if after.Leaving && !before.Leaving {
		if target, listed := i.routes.Targets().Run(run); listed {
			i.routes.UpdateTarget(target.ID)
		}
	}
	i.spreadSoon()
}

// spreadSoon requests extra gossip exchanges at once if there are other instances.
func (i *Instance) spreadSoon() {
	if i.liveInstances() > 1 {
		i.members.RequestExchanges()
	}
}

// startOf returns the listed start of a target, 0 if it states none.
func (i *Instance) startOf(target string) int64 {
	t, _ := i.routes.Targets().Get(target)
	return t.Started
}

// targetTakesWork reports whether the target of a request is listed at the address to which
// it is sent, and is not leaving.
func (i *Instance) targetTakesWork(r exchange.Request) bool {
	t, listed := i.routes.Targets().Get(r.Target)
	return listed && !t.Draining && t.Address == r.Address
}
