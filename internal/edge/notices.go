package edge

import (
	"net/http"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/exchange"
)

// heedAnswer is told of each request to a target, whatever its kind, and returns
// what is told its answer.
func (i *Instance) heedAnswer(r exchange.Request) func(status int, h http.Header) {
	target := r.Target
	if target == "" {
		target, _ = i.routes.Targets().AtAddress(r.Address)
	}
	sent := i.notices.Sent(target)
	return func(status int, h http.Header) {
		sent.Answered(i.adapter.Codec.Notice(status, h), status/100 == 2)
	}
}

// noticed takes in something new that a target asks: one that leaves is given no
// new work from here at once, and the others are told what they may hear only
// with answers of their own.
func (i *Instance) noticed(before, after board.Notice) {
	if after.Leaving && !before.Leaving {
		i.routes.Reconsider()
	}
	if i.instances() > 1 {
		i.members.Hurry()
	}
}
