package main

import (
	"errors"
	"fmt"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
)

// Exit statuses. docs/LYNXCTL.md lists them.
const (
	exitOK          = 0
	exitRefused     = 1 // the system said no, and nothing was done
	exitUsage       = 2 // the command line or a file is wrong; nothing was sent
	exitConflict    = 3 // another change came first
	exitUnknown     = 4 // it may have been done
	exitUnreachable = 5 // no instance took the call
	exitPending     = 6 // written, but not in force everywhere within --wait
)

// usageError is a command line or a file that is wrong.
type usageError struct{ err error }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// pendingError is a change that is written and not in force everywhere.
type pendingError struct{ message string }

// Error implements error.
func (e *pendingError) Error() string { return e.message }

// sendError is the error of a request with the key to ask for its outcome by.
type sendError struct {
	key string
	err error
}

// Error implements error.
func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// readError marks the error of a call that changes nothing: when no answer
// came, nothing is unknown but the answer.
type readError struct{ err error }

// Error implements error.
func (e *readError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *readError) Unwrap() error { return e.err }

// reading marks err as that of a call that changes nothing.
func reading[M any](message M, err error) (M, error) {
	if err != nil {
		return message, &readError{err}
	}
	return message, nil
}

// exitStatus returns the status for an error.
func exitStatus(err error) int {
	var usage *usageError
	var pending *pendingError
	var read *readError
	var transport *client.TransportError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &pending):
		return exitPending
	case client.IsUnreachable(err):
		return exitUnreachable
	case errors.As(err, &read) && errors.As(err, &transport):
		return exitUnreachable
	case errors.As(err, &transport):
		return exitUnknown
	case errors.As(err, &read):
		return exitRefused
	case errkind.Is(err, errkind.Conflict):
		return exitConflict
	case client.RunStateOf(err) != errkind.NotRun:
		return statusOfRun(err)
	}
	return exitRefused
}

// statusOfRun tells what may have run and may come out otherwise from what was
// refused for good.
func statusOfRun(err error) int {
	switch errkind.Of(err) {
	case errkind.TargetRejectedInput, errkind.CrashesTargets, errkind.AnswerTooLarge, errkind.KeyExpired:
		return exitRefused
	}
	return exitUnknown
}
