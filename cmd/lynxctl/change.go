package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// How a change is asked after whose reply was lost.
const (
	settleTime     = 5 * time.Second
	settleInterval = 250 * time.Millisecond
	// replyMargin is how long after --wait the reply may take.
	replyMargin = 10 * time.Second
)

// settling is one change on its way to a known outcome.
type settling struct {
	ctx   context.Context
	admin *client.Admin
	id    string
}

// sendChange sends a change that replaces the given version.
type sendChange func(s *settling, ifVersion uint64) (lynxapi.ChangeReply, error)

// change makes a change of a profile and shows what became of it.
func (e *environment) change(flags changeFlags, name string, send sendChange) error {
	e.Timeout = max(e.Timeout, flags.Wait+replyMargin)
	return e.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		s := &settling{ctx: ctx, admin: admin, id: flags.id()}
		version, err := s.version(flags.condition, name)
		if err != nil {
			return err
		}
		until := time.Now().Add(flags.Wait)
		reply, err := send(s, version)
		if err != nil && unsettled(err) {
			reply, err = s.settle(err)
		}
		if err != nil {
			return err
		}
		return e.showChange(s.await(reply, until))
	})
}

// await asks again until a written change is in force everywhere, or until the
// time is up.
func (s *settling) await(reply lynxapi.ChangeReply, until time.Time) lynxapi.ChangeReply {
	for reply.State == lynxapi.ChangeWritten && time.Now().Before(until) && s.ctx.Err() == nil {
		_ = sleep.For(s.ctx, settleInterval)
		again, err := s.admin.Change(s.ctx, s.id)
		if err != nil {
			continue // another try may reach an instance that knows
		}
		again.Diff = reply.Diff
		reply = again
	}
	return reply
}

func (s *settling) version(c condition, name string) (uint64, error) {
	if !c.needsCurrent() {
		return c.version(0, name)
	}
	current, _, err := s.admin.NewestVersion(s.ctx, name)
	if err != nil {
		return 0, &readError{err}
	}
	return c.version(current, name)
}

// unsettled reports whether err leaves open whether the change was made.
func unsettled(err error) bool {
	var transport *client.TransportError
	if errors.As(err, &transport) {
		return transport.Sent
	}
	return errkind.Is(err, errkind.ChangeUnknown)
}

// settle asks after the change by its id, at any instance. That there is no
// such change yet proves nothing: the write may still be on its way.
func (s *settling) settle(cause error) (lynxapi.ChangeReply, error) {
	ctx, cancel := context.WithTimeout(s.ctx, settleTime)
	defer cancel()
	for ctx.Err() == nil {
		reply, err := s.admin.Change(ctx, s.id)
		if err == nil && reply.State != lynxapi.ChangeUnknown {
			return reply, nil
		}
		_ = sleep.For(ctx, settleInterval)
	}
	return lynxapi.ChangeReply{}, fmt.Errorf("%w; ask again: lynxctl change %s", cause, s.id)
}

// showChange shows the reply and turns its state into an error where the
// change is not in force.
func (e *environment) showChange(reply lynxapi.ChangeReply) error {
	if err := e.show(reply, func() { e.printChange(reply) }); err != nil {
		return err
	}
	switch reply.State {
	case lynxapi.ChangeRejected:
		return errkind.New(errkind.Conflict, "change %s was rejected", reply.ChangeID)
	case lynxapi.ChangeUnknown:
		return errkind.New(errkind.ChangeUnknown, "the platform has not confirmed the change; ask again: lynxctl change %s", reply.ChangeID)
	case lynxapi.ChangeWritten:
		return &pendingError{fmt.Sprintf("written, but not in force everywhere yet; ask again: lynxctl change %s", reply.ChangeID)}
	}
	return nil
}

func (e *environment) printChange(reply lynxapi.ChangeReply) {
	if reply.State == lynxapi.ChangeDryRun {
		e.printf("profile %s: dry run, nothing was changed\n", reply.Name)
	} else {
		e.printf("profile %s version %d: %s (change %s)\n", reply.Name, reply.Version, reply.State, reply.ChangeID)
	}
	e.printDiff(reply.Diff)
	if reply.Force.Total > 0 {
		e.printf("%s\n", forceText(reply.Force))
	}
}

// forceText says where a version is in force.
func forceText(force lynxapi.InForceReply) string {
	text := fmt.Sprintf("in force at %d of %d instances", force.InForce, force.Total)
	if len(force.Missing) > 0 {
		text += "; missing: " + strings.Join(force.Missing, ", ")
	}
	if len(force.Fenced) > 0 {
		text += "; silent and taking no work: " + strings.Join(force.Fenced, ", ")
	}
	return text
}

type changeCommand struct {
	ID string `arg:"" name:"id" help:"Change id, as printed by the command that made the change."`
}

// Help implements kong.HelpProvider.
func (*changeCommand) Help() string {
	return "Example:\n\n  lynxctl change 0190f3c2-7a1e-7c3b-9d43-2f1f8f0a9b11"
}

// Run tells what became of a change.
func (c *changeCommand) Run(env *environment) error {
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		reply, err := reading(admin.Change(ctx, c.ID))
		if err != nil {
			return err
		}
		return env.showChange(reply)
	})
}
