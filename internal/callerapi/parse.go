package callerapi

import (
	"strings"
	"time"
	"unicode"

	"github.com/google/uuid"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Bounds of the fields of a request.
const (
	maxKeyLength    = 256  // bytes of an idempotency key
	maxPrefixLength = 1024 // bytes of a prefix name
	maxTicketLength = 4096 // bytes of a ticket
	maxDeadline     = 24 * time.Hour
)

// parseBody decodes a body strictly: one JSON object, no unknown field.
func parseBody(body []byte) (lynxapi.SendRequest, error) {
	var req lynxapi.SendRequest
	err := httpserver.DecodeJSON(body, &req)
	return req, err
}

// check checks the fields of a body that came from a caller of the
// organisation own, and turns it into a pipeline request.
func check(req lynxapi.SendRequest, own, profileName string, now time.Time) (pipeline.Request, error) {
	if req.Organisation == "" {
		return pipeline.Request{}, errkind.New(errkind.NoOrganisation, "the field organisation is missing")
	}
	if req.Organisation != own {
		return pipeline.Request{}, errOtherOrganisation()
	}
	if err := checkText("key", req.Key, maxKeyLength); err != nil {
		return pipeline.Request{}, err
	}
	if req.Key == "." || req.Key == ".." {
		return pipeline.Request{}, errkind.New(errkind.BadRequest, "the field key is a path element; no outcome could be asked for")
	}
	if err := checkText("prefix", req.Prefix, maxPrefixLength); err != nil {
		return pipeline.Request{}, err
	}
	if err := checkText("ticket", req.Ticket, maxTicketLength); err != nil {
		return pipeline.Request{}, err
	}
	deadline, err := deadlineOf(req, now)
	if err != nil {
		return pipeline.Request{}, err
	}
	if len(req.Input) == 0 || string(req.Input) == "null" {
		return pipeline.Request{}, errkind.New(errkind.BadRequest, "the field input is missing")
	}
	return pipeline.Request{
		Organisation: req.Organisation,
		Profile:      profileName,
		Key:          req.Key,
		KeyGiven:     req.Key != "",
		Ticket:       req.Ticket,
		Input:        req.Input,
		Prefix:       req.Prefix,
		Deadline:     deadline,
		Received:     now,
	}, nil
}

// checkText refuses text of a caller that is too long or holds control characters, which
// would break log lines and paths.
func checkText(field, value string, most int) error {
	if len(value) > most {
		return errkind.New(errkind.BadRequest, "the field %s is longer than %d bytes", field, most)
	}
	if strings.ContainsFunc(value, unicode.IsControl) {
		return errkind.New(errkind.BadRequest, "the field %s holds control characters", field)
	}
	return nil
}

// deadlineOf returns the earlier of the two deadlines of a request, zero if it
// names none.
func deadlineOf(req lynxapi.SendRequest, now time.Time) (time.Time, error) {
	var deadline time.Time
	switch {
	case req.DeadlineMS < 0:
		return deadline, errkind.New(errkind.DeadlinePast, "deadline_ms is negative")
	case req.DeadlineMS > maxDeadline.Milliseconds():
		return deadline, errkind.New(errkind.BadRequest, "deadline_ms is more than %s", maxDeadline)
	case req.DeadlineMS > 0:
		deadline = now.Add(time.Duration(req.DeadlineMS) * time.Millisecond)
	}
	if req.DeadlineAt == 0 {
		return deadline, nil
	}
	at := time.UnixMilli(req.DeadlineAt)
	if !at.After(now) {
		return deadline, errkind.New(errkind.DeadlinePast, "deadline_at has passed")
	}
	if deadline.IsZero() || at.Before(deadline) {
		deadline = at
	}
	return deadline, nil
}

// newID returns a UUID of version 7, which carries its time.
func newID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "request id")
	}
	return id.String(), nil
}
