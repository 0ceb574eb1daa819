package forwarding

import (
	"context"
	"errors"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/streamorigin"
)

const (
	// maxResumesLength bounds the id of the attempt that began a stream, in bytes.
	maxResumesLength = 128
	// unconfirmedRetryAfter is the retry delay given to callers whose stream's origin is
	// not found while instances that may know it do not answer: about the time after which
	// those count as dead or are reached again.
	unconfirmedRetryAfter = 500 * time.Millisecond
)

// mayRunAt reports whether the target has the software version that the request is bound
// to, if any.
func (fl *flight) mayRunAt(t fleet.Target) bool { return fl.build == nil || t.Build == *fl.build }

// boundBuild returns the software version that the request is bound to; "" = none.
func (fl *flight) boundBuild() string {
	if fl.build == nil {
		return ""
	}
	return *fl.build
}

// bindTo binds the request to the software version of the target whose event is the first
// to be forwarded, and records it for the case that the caller takes the stream up. It does
// nothing for later events.
func (fl *flight) bindTo(t fleet.Target) {
	if fl.build != nil {
		return
	}
	fl.build = &t.Build
	if fl.o.Origins != nil && fl.Route.Resumable {
		fl.o.Origins.Begin(fl.streamQuery(fl.Request.ID), streamorigin.Origin{Service: fl.service, Build: t.Build}, fl.callerTime())
	}
}

// streamQuery returns the query for the stream that began with the attempt. The route's
// timeout does not tell how long ago that may have been: it may have been longer then, and
// a caller may come back for longer, each time with an attempt of its own.
func (fl *flight) streamQuery(attempt string) streamorigin.Query {
	q := streamorigin.Query{Key: streamorigin.Key{Attempt: attempt}, Route: fl.Route.Name, Window: maxTimeout}
	if fl.Organisation != nil {
		q.Organisation = fl.Organisation.Name
	}
	return q
}

// callerTime returns how long the caller may come back.
func (fl *flight) callerTime() time.Duration {
	if left := fl.remaining(); left > 0 {
		return left
	}
	return maxTimeout
}

// takesUpStream reports whether the request goes on with a stream of which the caller has
// received events.
func (fl *flight) takesUpStream() bool {
	return fl.Route.Kind == route.Streaming && fl.Request.LastEventID != ""
}

// findOrigin binds the request to the service and the software version at which its stream
// began. If the stream can't go on, it refuses the request and returns false.
func (fl *flight) findOrigin(ctx context.Context) bool {
	if len(fl.Request.Resumes) > maxResumesLength {
		fl.refuse(errkind.New(errkind.BadRequest, "the id of the attempt that began the stream exceeds %d bytes", maxResumesLength), -1)
		return false
	}
	began := fl.o.Clock.Now()
	found, err := fl.origin(ctx)
	fl.logTakenUp(found, err, fl.o.Clock.Now().Sub(began))
	switch {
	case errors.Is(err, streamorigin.ErrUnknown):
		fl.refuse(errkind.Wrap(err, errkind.StreamUnknown, "stream"), -1)
		return false
	case errors.Is(err, streamorigin.ErrUnconfirmed):
		fl.refuse(errkind.Wrap(err, errkind.StreamUnconfirmed, "stream"), unconfirmedRetryAfter)
		return false
	case err != nil:
		fl.fail(ctx, err)
		return false
	}
	fl.service, fl.build = found.Service, &found.Build
	if !fl.leadsToService() || !fl.buildListed() {
		fl.refuse(errkind.New(errkind.StreamVersionGone, "service %s, software version %s", found.Service, found.Build), -1)
		return false
	}
	return true
}

func (fl *flight) origin(ctx context.Context) (streamorigin.Finding, error) {
	if fl.o.Origins == nil {
		return streamorigin.Finding{}, streamorigin.ErrUnknown
	}
	return fl.o.Origins.Find(ctx, fl.streamQuery(fl.Request.Resumes))
}

// leadsToService reports whether the route leads to the request's service.
func (fl *flight) leadsToService() bool {
	return slices.ContainsFunc(fl.Route.Services, func(s route.WeightedService) bool {
		return s.Name == fl.service && (s.Weight > 0 || len(fl.Route.Services) == 1)
	})
}

// buildListed reports whether a target that takes work has the software version that the
// request is bound to.
func (fl *flight) buildListed() bool {
	return slices.ContainsFunc(fl.o.Targets().Ready(fl.service), fl.mayRunAt)
}

func (fl *flight) logTakenUp(f streamorigin.Finding, err error, took time.Duration) {
	result := "found"
	if err != nil {
		result = err.Error()
	}
	fl.o.Logger.Log(event.StreamTakenUp, "request", fl.Request.ID, "resumes", fl.Request.Resumes[:min(len(fl.Request.Resumes), maxResumesLength)],
		"after", fl.Request.LastEventID, "result", result, "source", f.Source, "service", f.Service, "build", f.Build,
		"asked", f.Asked, "answered", f.Answered, "ms", took.Milliseconds())
}
