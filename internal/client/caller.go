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

// Default values of CallerOptions.
const (
	DefaultMaxAttempts = 8
	DefaultIdleTimeout = 5 * time.Second // five heartbeats
	DefaultMinBackoff  = 20 * time.Millisecond
	DefaultMaxBackoff  = time.Second
)

// CallerOptions configures a Caller.
type CallerOptions struct {
	Servers []string // caller addresses for discovery, host:port or URLs
	Token   string
	TLS     *tls.Config // nil = plain HTTP
	Zone    string      // availability zone of the caller; instances in it are preferred
	Region  string
	// MaxAttempts is the maximum number of attempts per request; 1 = no retry.
	// If the deadline is known, attempts that reached no instance do not count.
	MaxAttempts int
	// IdleTimeout is how long a stream may send nothing, not even a heartbeat,
	// before its connection is abandoned.
	IdleTimeout time.Duration
	MinBackoff  time.Duration
	MaxBackoff  time.Duration
	DialTimeout time.Duration
	// Tickets states when keys are created under the ticket of the address answer.
	Tickets TicketUse
}

// TicketUse states when a Caller creates idempotency keys under a ticket. Such a
// key needs no record in the platform's store, so it works during an outage of
// the store. However, only the instance that issued the ticket can run the
// request, and if that instance dies it can no longer be determined whether the
// request has run.
type TicketUse int

// Values of TicketUse.
const (
	// TicketsWhenAdvised uses tickets while the instances report that the
	// store is down, when requests could not run at all without them.
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

// Caller is a client of the caller API. Its methods are safe for concurrent use.
type Caller struct {
	opts      CallerOptions
	http      *http.Client
	addresses *addressCache
}

// NewCaller returns a client of the caller API.
func NewCaller(opts CallerOptions) *Caller {
	opts = opts.withDefaults()
	return &Caller{opts: opts, http: newHTTPClient(opts.TLS, opts.DialTimeout), addresses: newAddressCache()}
}

// NewKey returns an idempotency key that contains its time of creation (a
// version 7 UUID), so that a retry after the key's retention period is refused
// instead of run again.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

func (c *Caller) base(server string) string { return baseURL(server, c.opts.TLS != nil) }

// get sends a read-only call and decodes its answer. Calls use net/http directly
// rather than httpc, because the circuit breaker of httpc would reject some
// calls by its own rules, with errors outside lynxhill's table of errors.
func (c *Caller) get(ctx context.Context, server string, what call, reply any) error {
	resp, err := send(ctx, c.http.Do, c.base(server), c.opts.Token, what)
	if err != nil {
		c.avoidIfUnavailable(server, err)
		return err
	}
	return readReply(c.base(server), resp, reply)
}

// avoidIfUnavailable avoids a server for a while if err says that it could not
// be reached, was silent for too long or is isolated. A server whose answer was
// cut off is not avoided, because the connection may have been the cause.
func (c *Caller) avoidIfUnavailable(server string, err error) {
	if IsUnreachable(err) || errors.Is(err, ErrIdleTimeout) || errkind.Is(err, errkind.Isolated) {
		c.addresses.avoid(server, time.Now())
	}
}

// Outcome asks an instance for the outcome of the request with a key.
func (c *Caller) Outcome(ctx context.Context, organisation, key string) (lynxapi.OutcomeReply, error) {
	return c.outcome(ctx, organisation, key, nil)
}

// outcomeTimeout is the timeout of one outcome request. Outcomes are requested
// after a stream has broken off, and the instance asked may be unresponsive too.
// Without this timeout it would use up the rest of the deadline, in which a
// retry could still be answered.
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
		c.addresses.avoid(address.Address, time.Now()) // it did not answer in time
	}
	if err == nil && reply.Key != key {
		return lynxapi.OutcomeReply{}, errkind.New(errkind.Internal, "the outcome is that of another key")
	}
	return reply, err
}

// MintKey returns a new idempotency key. The key is created under the ticket of
// the address answer if the Tickets option says that tickets are to be used now.
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

// replaceKey replaces a key that the client generated after an instance has
// refused the request because the store is unavailable. This is safe only if no
// attempt can have run, since a request with a new key is a second request.
func (s *sending) replaceKey(ctx context.Context, err error, worst errkind.RunState) {
	if !s.generatedKey || worst != errkind.NotRun || !errkind.Is(err, errkind.StoreUnavailable) {
		return
	}
	s.caller.addresses.expire()
	s.req.Key = s.caller.MintKey(ctx)
	s.keys = append(s.keys, s.req.Key)
}

// mayRetryElsewhere reports whether another instance might answer successfully.
func mayRetryElsewhere(err error) bool {
	var transport *TransportError
	if errors.As(err, &transport) || errors.Is(err, ErrNoServers) {
		return true
	}
	return errkind.Of(err).Answer().Resend != errkind.ResendNever
}
