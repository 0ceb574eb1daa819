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

// Limits of the fields of a request.
const (
	maxKeyLength    = 256  // bytes of an idempotency key
	maxPrefixLength = 1024 // bytes of a prefix name
	maxTicketLength = 4096 // bytes of a ticket
	maxDeadline     = 24 * time.Hour
)

// parseBody decodes a request body strictly: it must be one JSON object without
// unknown fields.
func parseBody(body []byte) (lynxapi.SendRequest, error) {
	var req lynxapi.SendRequest
	err := httpserver.DecodeJSON(body, &req)
	return req, err
}

// validate checks the fields of a request body and converts it to a pipeline
// request. callerOrganisation is the organisation of the caller's token.
func validate(req lynxapi.SendRequest, callerOrganisation, profileName string, now time.Time) (pipeline.Request, error) {
	if req.Organisation == "" {
		return pipeline.Request{}, errkind.New(errkind.NoOrganisation, "the field organisation is missing")
	}
	if req.Organisation != callerOrganisation {
		return pipeline.Request{}, errOtherOrganisation()
	}
	if err := validateText("key", req.Key, maxKeyLength); err != nil {
		return pipeline.Request{}, err
	}
	if req.Key == "." || req.Key == ".." {
		return pipeline.Request{}, errkind.New(errkind.BadRequest, "the field key is a path element; no outcome could be asked for")
	}
	if err := validateText("prefix", req.Prefix, maxPrefixLength); err != nil {
		return pipeline.Request{}, err
	}
	if err := validateText("ticket", req.Ticket, maxTicketLength); err != nil {
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

// validateText returns an error for a text field that is too long or contains
// control characters, which would corrupt log lines and paths.
func validateText(field, value string, maxLength int) error {
	if len(value) > maxLength {
		return errkind.New(errkind.BadRequest, "the field %s is longer than %d bytes", field, maxLength)
	}
	if strings.ContainsFunc(value, unicode.IsControl) {
		return errkind.New(errkind.BadRequest, "the field %s holds control characters", field)
	}
	return nil
}

// deadlineOf returns the earlier of the request's deadlines DeadlineMS and
// DeadlineAt, or the zero time if the request sets neither.
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

// newID returns a request id: a UUID of version 7, which contains its time of
// creation.
func newID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "request id")
	}
	return id.String(), nil
}
