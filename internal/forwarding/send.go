package forwarding

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// call returns what the system adds to the request for the target.
func (fl *flight) call(t fleet.Target, inputs []string, resumeAt string) relay.Call {
	c := relay.Call{Target: t, Remaining: fl.remaining(), Inputs: inputs, Priority: -1, ResumeAfter: resumeAt}
	if fl.Organisation != nil {
		c.Organisation = fl.Organisation.Name
	}
	if fl.Table.Services[fl.service] != nil && fl.Table.Services[fl.service].Engine != nil {
		c.Priority = min(max(route.Priority(fl.Route, fl.Organisation), 0), 9)
	}
	return c
}

// untilHead returns the context for an exchange whose response is streamed to the
// caller. Until headForwarded is called, the context ends with ctx, which leaves
// responseMargin for an error response of this instance. Call headForwarded when
// the head is forwarded: from then on only fl.base ends the exchange. It returns
// false if the context has ended already: the head must not be forwarded then, since
// the rest of the response would not follow.
//
// Without it, a stream that completes in the last milliseconds of its time is cut
// off by the margin, although an error response can't be sent any more. The
// symptom is streams that break off just before their deadline at healthy
// targets.
//
// The context follows ctx and has no timer of its own. With two timers for the
// same moment either may fire first: a request whose exchange had ended before
// its own deadline was seen to pass was answered 502 instead of 504, or sent once
// more.
func (fl *flight) untilHead(ctx context.Context) (sending context.Context, headForwarded func() bool, cancel func()) {
	sending, cancelCause := context.WithCancelCause(fl.base)
	stop := context.AfterFunc(ctx, func() { cancelCause(ctx.Err()) })
	return sending, stop, func() {
		stop()
		cancelCause(nil)
	}
}

// send makes one attempt: it sends the request to the target and returns the
// response once its head has arrived. Unless it returns an error, the caller has to
// call endAttempt.
func (fl *flight) send(ctx context.Context, c relay.Call) (*exchange.Response, relay.ResponseHead, error) {
	fl.attempts++
	fl.firstEvent = false
	fl.sentAt = fl.o.Clock.Now()
	fl.lastTarget, fl.listRevision = c.Target.ID, fl.o.Targets().Revision
	fl.triedTargets = append(fl.triedTargets, c.Target.ID)
	resp, err := fl.o.Exchange.Do(ctx, exchange.Request{
		NewConnection: fl.newConnections, NewWork: true, AckTimeout: fl.unacknowledgedTimeout(),
		Address: c.Target.Address,
		Target:  c.Target.ID,
		Method:  fl.Request.Method,
		URI:     fl.Request.URI,
		Host:    fl.Request.Host,
		ID:      fl.Request.ID,
		Header:  fl.o.Codec.OutgoingHeader(fl.Request, c),
		Body:    fl.Request.Body,
	})
	fl.lastUse = useOf(resp, err)
	if err != nil {
		fl.newConnections = fl.newConnections || !errors.Is(err, exchange.ErrTargetLeft)
		fl.endAttempt(0, endOfError(err), err)
		return nil, relay.ResponseHead{}, err
	}
	return resp, fl.o.Codec.ParseResponse(&http.Response{StatusCode: resp.Status, Header: resp.Header}), nil
}

// useOf returns how an exchange with this result used its connection.
func useOf(resp *exchange.Response, err error) exchange.Use {
	var failure *exchange.Error
	switch {
	case resp != nil:
		return resp.Use
	case errors.As(err, &failure):
		return failure.Use
	}
	return exchange.Use{}
}

// maxUnacknowledged is how long the host of a target may leave a request without
// any TCP acknowledgement if the request may be retried at another target. On a
// link that loses packets the kernel has sent it four times by then.
const maxUnacknowledged = 2 * time.Second

// unacknowledgedTimeout returns maxUnacknowledged, or half of the remaining time
// if that is less, so that there is time for another attempt. It returns 0 (no
// timeout) if no other attempt is allowed: a host that becomes reachable again
// may still answer.
func (fl *flight) unacknowledgedTimeout() time.Duration {
	if !fl.Route.Repeatable() || fl.attempts >= fl.maxAttempts() {
		return 0
	}
	return min(maxUnacknowledged, fl.deadline.Sub(fl.o.Clock.Now())/2)
}

// wasSent reports whether a byte of the request may have reached the target.
func wasSent(err error) bool {
	var e *exchange.Error
	return !errors.As(err, &e) || e.Sent
}
