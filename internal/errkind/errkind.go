// Package errkind defines the closed list of error kinds and the table that
// maps each kind to the response that a caller or an operator gets.
// docs/ERRORS.md shows the same table; a test compares the two.
package errkind

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is a kind of error. The list is closed: every error that leaves an
// instance has one of these kinds.
type Kind int

// The kinds. The table below maps them to responses.
const (
	Internal Kind = iota
	BadRequest
	NoOrganisation
	Unauthenticated
	Forbidden
	UnknownProfile
	UnknownKey
	NotFound
	TooLarge
	DeadlinePast
	DeadlineUnreachable
	DeadlineBeforeRun
	DeadlineAfterRun
	Overloaded
	OrganisationLimit
	NoTarget
	TargetRefused
	TargetFailed
	TargetRejectedInput
	StreamBroken
	AnswerTooLarge
	CrashesTargets
	KeyReused
	KeyExpired
	KeyInProgress
	OutcomeUnknown
	StoppedMidway
	StoreUnavailable
	Stopping
	Isolated
	Cancelled
	ProfileInvalid
	Conflict
	ChangeUnknown
	StreamUnknown
	StreamUnconfirmed
	StreamVersionGone
	RefusedAfterCrashes
	BodyTimeout
	kindCount
)

// RunState states whether a target may have run any stage of the request.
type RunState string

// Run states. NotRun is a guarantee: no byte of a call can have reached a
// target that might act on it.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
	Ran        RunState = "ran"
)

// Resend tells the caller whether to retry the request, and where.
type Resend string

// Retry advice. All retries carry the same idempotency key.
const (
	ResendNever     Resend = "never"     // the same request would fail again
	ResendLater     Resend = "later"     // after RetryAfter
	ResendElsewhere Resend = "elsewhere" // now, at another instance
	ResendAsk       Resend = "ask"       // only after querying the outcome of the key
)

// Answer is the response that the caller gets for a kind.
type Answer struct {
	Name     string
	Status   int // HTTP status
	RunState RunState
	Resend   Resend
	Event    int // number of the logged event, see package event
	Meaning  string
}

// statusClientClosed is the status that several HTTP servers log when the
// caller has closed the connection; it reaches no caller.
const statusClientClosed = 499

// table maps each kind to its response.
var table = [kindCount]Answer{
	Internal:            {"internal", 500, MayHaveRun, ResendAsk, 1900, "A defect in lynxhill."},
	BadRequest:          {"bad_request", 400, NotRun, ResendNever, 1901, "The request is malformed."},
	NoOrganisation:      {"no_organisation", 400, NotRun, ResendNever, 1902, "The request names no organisation."},
	Unauthenticated:     {"unauthenticated", 401, NotRun, ResendNever, 1903, "The token is missing or unknown."},
	Forbidden:           {"forbidden", 403, NotRun, ResendNever, 1904, "The token does not permit this operation."},
	UnknownProfile:      {"unknown_profile", 404, NotRun, ResendNever, 1905, "No profile of that name is in force."},
	UnknownKey:          {"unknown_key", 404, MayHaveRun, ResendAsk, 1906, "This instance has no record of the idempotency key."},
	NotFound:            {"not_found", 404, NotRun, ResendNever, 1907, "There is no such object."},
	TooLarge:            {"too_large", 413, NotRun, ResendNever, 1908, "The request body exceeds the limit."},
	DeadlinePast:        {"deadline_past", 400, NotRun, ResendNever, 1909, "The deadline had passed when the request arrived."},
	DeadlineUnreachable: {"deadline_unreachable", 503, NotRun, ResendLater, 1910, "The stages would not finish within the deadline, so none was started."},
	DeadlineBeforeRun:   {"deadline_before_run", 504, NotRun, ResendLater, 1911, "The deadline passed before a stage was started."},
	DeadlineAfterRun:    {"deadline_after_run", 504, MayHaveRun, ResendAsk, 1912, "The deadline passed after a stage was started."},
	Overloaded:          {"overloaded", 503, NotRun, ResendLater, 1913, "All targets and queues of the service are full."},
	OrganisationLimit:   {"organisation_limit", 429, NotRun, ResendLater, 1914, "The organisation has reached its limit."},
	NoTarget:            {"no_target", 503, NotRun, ResendLater, 1915, "No target of the service is ready."},
	TargetRefused:       {"target_refused", 503, NotRun, ResendLater, 1916, "Every target that was tried refused the stage before running it."},
	TargetFailed:        {"target_failed", 502, MayHaveRun, ResendAsk, 1917, "A target failed while it may have run the stage."},
	TargetRejectedInput: {"target_rejected_input", 422, MayHaveRun, ResendNever, 1918, "A target rejected the input as invalid."},
	StreamBroken:        {"stream_broken", 502, MayHaveRun, ResendAsk, 1919, "The response stream was interrupted and could not be resumed."},
	AnswerTooLarge:      {"answer_too_large", 502, Ran, ResendNever, 1920, "The response exceeds the size limit."},
	CrashesTargets:      {"crashes_targets", 422, MayHaveRun, ResendNever, 1921, "Targets crashed while running this request, so it is refused."},
	KeyReused:           {"key_reused", 422, NotRun, ResendNever, 1922, "The idempotency key was already used with a different request body."},
	KeyExpired:          {"key_expired", 410, MayHaveRun, ResendNever, 1923, "The idempotency key is older than its retention period."},
	KeyInProgress:       {"key_in_progress", 409, MayHaveRun, ResendAsk, 1924, "A request with this key is running."},
	OutcomeUnknown:      {"outcome_unknown", 409, MayHaveRun, ResendNever, 1925, "A request with this key was started and its outcome is not recorded."},
	StoppedMidway:       {"stopped_midway", 503, MayHaveRun, ResendLater, 1926, "Some stages ran; the rest were not started."},
	StoreUnavailable:    {"store_unavailable", 503, NotRun, ResendLater, 1927, "The platform's store did not answer in time, so nothing was started."},
	Stopping:            {"stopping", 503, NotRun, ResendElsewhere, 1928, "This instance is stopping."},
	Isolated:            {"isolated", 503, NotRun, ResendElsewhere, 1929, "This instance cannot confirm its configuration."},
	Cancelled:           {"cancelled", statusClientClosed, MayHaveRun, ResendAsk, 1930, "The caller cancelled the request or disconnected."},
	ProfileInvalid:      {"profile_invalid", 422, NotRun, ResendNever, 1931, "The profile violates a validation rule."},
	Conflict:            {"conflict", 409, NotRun, ResendNever, 1932, "A concurrent change was applied first."},
	ChangeUnknown:       {"change_unknown", 504, MayHaveRun, ResendAsk, 1933, "The platform did not confirm the change; query its state by its change ID."},
	StreamUnknown:       {"stream_unknown", 503, NotRun, ResendNever, 1934, "No instance knows the stream that the request takes up, so it can't go on; a new one may be begun."},
	StreamUnconfirmed:   {"stream_unconfirmed", 503, NotRun, ResendElsewhere, 1935, "The instances that may know the stream that the request takes up did not answer."},
	StreamVersionGone:   {"stream_version_gone", 503, NotRun, ResendNever, 1936, "No target has the software version at which the stream began, so it can't go on; a new one may be begun."},
	RefusedAfterCrashes: {"refused_after_crashes", 503, NotRun, ResendLater, 1937, "Targets crashed while running such requests, so this one was not run."},
	BodyTimeout:         {"body_timeout", 408, NotRun, ResendLater, 1938, "The body did not arrive in time."},
}

// Kinds returns every kind in the order of the table.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Answer returns the kind's row of the table, that of Internal for a number
// that is not a kind.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name as callers see it.
func (k Kind) String() string { return k.Answer().Name }

// RunState returns the run state that the kind guarantees.
func (k Kind) RunState() RunState { return k.Answer().RunState }

// ParseKind returns the kind with the name, as received from a peer or an
// instance. For an unknown name it returns Internal and false.
func ParseKind(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.String() == name {
			return k, true
		}
	}
	return Internal, false
}

type valueKey int

const (
	kindValue valueKey = iota
	retryAfterValue
)

// New returns an error of the kind with a message for the caller.
func New(k Kind, format string, args ...any) error {
	return merry.New(fmt.Sprintf(format, args...), merry.WithValue(kindValue, k), merry.NoCaptureStack())
}

// Wrap returns err with a kind and with a text prepended to its message.
func Wrap(err error, k Kind, format string, args ...any) error {
	return merry.Wrap(err, merry.PrependMessagef(format, args...), merry.WithValue(kindValue, k), merry.NoCaptureStack())
}

// WithRetryAfter returns err with the time after which the caller may retry.
func WithRetryAfter(err error, after time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryAfterValue, after), merry.NoCaptureStack())
}

// Of returns the kind of err, or Internal if err has none.
func Of(err error) Kind {
	if k, ok := merry.Value(err, kindValue).(Kind); ok {
		return k
	}
	return Internal
}

// Is reports whether err has the kind.
func Is(err error, k Kind) bool {
	return err != nil && Of(err) == k
}

// RetryAfter returns the time after which the caller may retry, or 0 if err
// carries none.
func RetryAfter(err error) time.Duration {
	after, _ := merry.Value(err, retryAfterValue).(time.Duration)
	return after
}

// Body is the JSON form of an error as callers, operators and peers see it.
type Body struct {
	Kind         string   `json:"kind"`
	Message      string   `json:"message"`
	RunState     RunState `json:"run_state"`
	Resend       Resend   `json:"resend"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	RequestID    string   `json:"request_id,omitempty"`
}

// BodyOf returns the JSON form of err. The message of an Internal error is
// replaced by a fixed sentence, since it may contain details that are for the
// log only.
func BodyOf(err error, requestID string) Body {
	kind := Of(err)
	answer := kind.Answer()
	message := err.Error()
	if kind == Internal {
		message = answer.Meaning
	}
	return Body{
		Kind:         answer.Name,
		Message:      message,
		RunState:     answer.RunState,
		Resend:       answer.Resend,
		RetryAfterMS: RetryAfter(err).Milliseconds(),
		RequestID:    requestID,
	}
}

// Err converts a received body back into an error of the same kind. A body of an
// unknown kind becomes an error without a kind.
func (b Body) Err() error {
	kind, ok := ParseKind(b.Kind)
	if !ok {
		return errors.New(b.Message)
	}
	err := New(kind, "%s", b.Message)
	if b.RetryAfterMS > 0 {
		err = WithRetryAfter(err, time.Duration(b.RetryAfterMS)*time.Millisecond)
	}
	return err
}
