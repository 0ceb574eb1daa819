package edge

import (
	"net/http"

	"lynxhill.example/lynxhill/internal/exchange"
)

// listen is told of each request to a target, whatever its kind, and returns
// what is told its answer.
func (i *Instance) listen(r exchange.Request) func(status int, h http.Header) {
	target := r.Target
	if target == "" {
		target, _ = i.routes.Targets().AtAddress(r.Address)
	}
	sent := i.notices.Sent(target)
	return func(status int, h http.Header) {
		sent.Answered(i.adapter.Codec.Notice(status, h), status/100 == 2)
	}
}
