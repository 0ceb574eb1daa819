package forwarding

import (
	"context"
	"errors"
	"strings"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/metrics"
)

var metricAttempts = metrics.Define("edge_attempts_total", "attempts", "Attempts of requests at targets, by how they ended (answered, refused, failed, unsigned, unclear, broke_off, no_response, not_sent, given_up). They count whether or not the log has their lines.")

// attemptEnd says how an attempt ended. It is logged and counted.
type attemptEnd string

// The ends of attempts.
const (
	endAnswered   attemptEnd = "answered"    // the response was forwarded, also that of a failure
	endRefused    attemptEnd = "refused"     // the target stated that it did not run the request
	endFailed     attemptEnd = "failed"      // the target responded with a 5xx, or with another failure that was not forwarded
	endUnsigned   attemptEnd = "unsigned"    // a success that is not the target's own
	endBrokeOff   attemptEnd = "broke_off"   // the response is not complete
	endNoResponse attemptEnd = "no_response" // the request was sent, and no head of a response was read
	endUnclear    attemptEnd = "unclear"     // the response does not say which request it belongs to
	endNotSent    attemptEnd = "not_sent"    // no byte of the request was sent
	endGivenUp    attemptEnd = "given_up"    // this instance ended it: the caller left, or a time limit passed
)

// attempt is one sending of a request to a target.
type attempt struct {
	target string // id
	status int    // of the response; 0 = none
	end    attemptEnd
}

// String returns the attempt as it is written to the line about the whole request.
func (a attempt) String() string { return a.target + ":" + string(a.end) }

// endOfError returns the end of an attempt that failed with the error.
func endOfError(err error) attemptEnd {
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		if wasSent(err) {
			return endGivenUp
		}
		return endNotSent
	case !wasSent(err):
		return endNotSent
	case errors.Is(err, exchange.ErrUnidentified):
		return endUnclear
	}
	return endNoResponse
}

// endOfBody returns the end of an attempt whose response could not be read or forwarded
// whole.
func endOfBody(err error) attemptEnd {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errCallerLeft) {
		return endGivenUp
	}
	return endBrokeOff
}

// endAttempt records how the last attempt ended, and logs it unless the target answered
// it. Only the first call for an attempt has an effect.
func (fl *flight) endAttempt(status int, end attemptEnd, err error) {
	if len(fl.ended) == fl.attempts {
		return
	}
	fl.ended = append(fl.ended, attempt{fl.lastTarget, status, end})
	if fl.o.Metrics != nil {
		fl.o.Metrics.Labelled(metricAttempts).Add(string(end), 1)
	}
	if end != endAnswered {
		fl.logAttempt(status, end, err)
	}
}

// logAttempt logs an attempt that the target did not answer.
func (fl *flight) logAttempt(status int, end attemptEnd, err error) {
	fields := []any{"request", fl.Request.ID, "service", fl.service, "target", fl.lastTarget,
		"attempt", fl.attempts, "end", string(end), "status", status, "sent", end != endNotSent, "ran", end != endNotSent && end != endRefused}
	fields = append(fields, fl.connectionFields()...)
	fields = append(fields, "ms", fl.elapsed().Milliseconds(), "took_ms", fl.o.Clock.Now().Sub(fl.sentAt).Milliseconds(), "err", err)
	fl.o.Logger.Log(event.ForwardAttemptFailed, fields...)
}

// attemptFields returns the log field that lists all attempts with their targets and ends.
func (fl *flight) attemptFields() []any {
	ends := make([]string, len(fl.ended))
	for i, a := range fl.ended {
		ends[i] = a.String()
	}
	return []any{"ends", strings.Join(ends, ",")}
}
