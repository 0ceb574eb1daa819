package client

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Defaults of CallerOptions.
const (
	DefaultMaxAttempts = 8
	DefaultIdleTimeout = 5 * time.Second // five heartbeats
	DefaultMinBackoff  = 20 * time.Millisecond
	DefaultMaxBackoff  = time.Second
)

// CallerOptions configures a Caller.
type CallerOptions struct {
	Servers []string // caller addresses to ask first, host:port or URLs
	Token   string
	TLS     *tls.Config // nil = plain HTTP
	Zone    string      // of the caller; instances in it are preferred
	Region  string
	// MaxAttempts bounds how often one request is sent; 1 = never again.
	MaxAttempts int
	// IdleTimeout is how long a stream may send nothing, not even a heartbeat,
	// before its connection is given up.
	IdleTimeout time.Duration
	MinBackoff  time.Duration
	MaxBackoff  time.Duration
	DialTimeout time.Duration
	// Tickets says when keys are made under the ticket of the address answer.
	Tickets TicketUse
}

// TicketUse says when a caller makes keys under tickets. Such a key needs no
// record in the platform, so that it works through the store's outages; but
// only the instance of the ticket can run it, and when that dies, nobody can
// tell any more whether it has.
type TicketUse int

// Uses of tickets.
const (
	// TicketsWhenAdvised uses them while the instances say that the store is
	// down, when the alternative is not to run at all.
	TicketsWhenAdvised TicketUse = iota
	TicketsNever
	TicketsAlways
)

func (o CallerOptions) withDefaults() CallerOptions {
	defaults.Positive(&o.MaxAttempts, DefaultMaxAttempts)
	defaults.Positive(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Positive(&o.MinBackoff, DefaultMinBackoff)
	defaults.Positive(&o.MaxBackoff, DefaultMaxBackoff)
	return o
}

// Caller calls the caller API. Its methods may be called at once from several
// goroutines.
type Caller struct {
	opts CallerOptions
	http *http.Client
	book *addressBook
}

// NewCaller returns a client of the caller API.
func NewCaller(opts CallerOptions) *Caller {
	opts = opts.withDefaults()
	return &Caller{opts: opts, http: newHTTPClient(opts.TLS, opts.DialTimeout), book: newAddressBook()}
}

// NewKey returns an idempotency key that carries its time (a version 7 UUID),
// so that a resend past the key's retention is refused instead of run.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

func (c *Caller) base(server string) string { return baseURL(server, c.opts.TLS != nil) }

// get sends a call that changes nothing and reads its answer. Requests go
// through net/http itself and not through httpc, whose breaker would refuse
// some by its own judgement, outside lynxhill's table of errors.
func (c *Caller) get(ctx context.Context, server string, what call, reply any) error {
	resp, err := send(ctx, c.http.Do, c.base(server), c.opts.Token, what)
	if err != nil {
		c.noteUnreachable(server, err)
		return err
	}
	return readReply(c.base(server), resp, reply)
}

// noteUnreachable has a server tried last for a while that took no call, went
// silent or takes no work. One whose answer broke off is not blamed: it may
// have been the connection.
func (c *Caller) noteUnreachable(server string, err error) {
	if IsUnreachable(err) || errors.Is(err, ErrIdleTimeout) || errkind.Is(err, errkind.Isolated) {
		c.book.avoid(server, time.Now())
	}
}

// Outcome asks any instance what became of a key.
func (c *Caller) Outcome(ctx context.Context, organisation, key string) (lynxapi.OutcomeReply, error) {
	return c.outcome(ctx, organisation, key, nil)
}

// outcomeTimeout bounds one question for an outcome. It is asked when a stream
// has broken off, and the instance asked may be the next silent one: without a
// bound it would cost the rest of the deadline, in which a resend would be
// answered.
const outcomeTimeout = 500 * time.Millisecond

func (c *Caller) outcome(ctx context.Context, organisation, key string, tried []string) (lynxapi.OutcomeReply, error) {
	answer, err := c.Address(ctx)
	if err != nil {
		return lynxapi.OutcomeReply{}, err
	}
	address, ok := c.pick(answer, tried)
	if !ok {
		return lynxapi.OutcomeReply{}, ErrNoServers
	}
	var reply lynxapi.OutcomeReply
	what := call{
		method: http.MethodGet,
		path:   pathOf(lynxapi.PathOutcome, ":key", key),
		query:  url.Values{"organisation": {organisation}},
	}
	limited, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	err = c.get(limited, address.Address, what, &reply)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		c.book.avoid(address.Address, time.Now()) // it went silent
	}
	if err == nil && reply.Key != key {
		return lynxapi.OutcomeReply{}, errkind.New(errkind.Internal, "the outcome is that of another key")
	}
	return reply, err
}

// MintKey makes a new idempotency key, under the ticket of the kept address
// answer if tickets are to be used now.
func (c *Caller) MintKey(ctx context.Context) string {
	key := NewKey()
	if c.opts.Tickets == TicketsNever {
		return key
	}
	answer, err := c.Address(ctx)
	if err != nil || answer.Ticket == "" {
		return key
	}
	if c.opts.Tickets == TicketsWhenAdvised && !answer.TicketAdvised {
		return key
	}
	return claim.MintKey(answer.Ticket, key)
}

// rekey replaces a key of our own making after an instance has refused the
// request for want of the store. That is safe only while no attempt may have
// run: the new key would be a second request.
func (s *sending) rekey(ctx context.Context, err error, worst errkind.RunState) {
	if !s.ownKey || worst != errkind.NotRun || !errkind.Is(err, errkind.StoreUnavailable) {
		return
	}
	s.caller.book.expire()
	s.req.Key = s.caller.MintKey(ctx)
	s.keys = append(s.keys, s.req.Key)
}

// worthAskingElsewhere reports whether another instance might answer better.
func worthAskingElsewhere(err error) bool {
	var transport *TransportError
	if errors.As(err, &transport) || errors.Is(err, ErrNoServers) {
		return true
	}
	return errkind.Of(err).Answer().Resend != errkind.ResendNever
}
