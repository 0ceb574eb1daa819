package claim

import (
	"container/heap"
	"context"
	"crypto/hmac"
	"encoding/json"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

// Defaults of TicketOptions.
const (
	DefaultTicketLifetime = 15 * time.Minute
	DefaultMaxKeys        = 50_000
	ticketShards          = 16
	secretBytes           = 32
)

var (
	metricTicketKeys = metrics.Define("claim_ticket_keys", "keys", "Keys under this instance's tickets that are remembered.")
	metricTicketFull = metrics.Define("claim_ticket_full_total", "claims", "Claims under tickets that went to the platform's pages for want of room.")
)

// TicketOptions configures Tickets. Zero values select the defaults.
type TicketOptions struct {
	Self        string
	Incarnation uint64 // identifies this run of the process; differs after every restart
	Clock       clock.Clock
	Secret      io.Reader // source of the signing secret, e.g. crypto/rand.Reader
	Lifetime    time.Duration
	MaxKeys     int // limit on keys in memory; none is evicted before its ticket's expiry
	MaxResult   int // limit on the retained output of a completed key, in bytes
	Logger      *event.Logger
	Metrics     *metrics.Registry
}

// Tickets issues tickets and holds in memory the claims of keys minted under
// them. Only the incarnation of the instance that issued a ticket may run the
// keys minted under it, so the platform's store is not needed.
type Tickets struct {
	opts   TicketOptions
	secret []byte
	shards [ticketShards]ticketShard
	keys   *expvar.Int
	full   *expvar.Int
}

type ticketShard struct {
	mu       sync.Mutex // guards the fields below
	records  map[keyID]*ticketRecord
	byExpiry expiryHeap
	// overflowUntil is the latest expiry of a key that was claimed in the
	// platform's store because memory was full. Until then, a key that is not in
	// memory may be recorded in the store.
	overflowUntil time.Time
}

type ticketRecord struct {
	id        keyID
	body      string
	expires   time.Time
	state     State
	result    json.RawMessage
	hasResult bool
}

// NewTickets returns Tickets with a secret read from opts.Secret. It panics if
// the read fails, since tickets signed with a predictable secret could be
// forged.
func NewTickets(opts TicketOptions) *Tickets {
	if opts.Clock == nil {
		opts.Clock = quartz.NewReal()
	}
	defaults.Set(&opts.Lifetime, DefaultTicketLifetime)
	defaults.Set(&opts.MaxKeys, DefaultMaxKeys)
	defaults.Set(&opts.MaxResult, DefaultMaxResult)
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(opts.Secret, secret); err != nil {
		panic("claim: no secret for tickets: " + err.Error())
	}
	t := &Tickets{
		opts:   opts,
		secret: secret,
		keys:   opts.Metrics.Counter(metricTicketKeys),
		full:   opts.Metrics.Counter(metricTicketFull),
	}
	for i := range t.shards {
		t.shards[i].records = make(map[keyID]*ticketRecord)
	}
	return t
}

// Issue returns a new ticket and its expiry.
func (t *Tickets) Issue() (text string, expires time.Time) {
	now := t.opts.Clock.Now()
	expires = now.Add(t.opts.Lifetime)
	issued := ticket{Instance: t.opts.Self, Incarnation: t.opts.Incarnation, Issued: millis(now), Expires: millis(expires)}
	return issued.text(t.secret), expires
}

// Issuer returns the instance that issued the ticket. It does not verify the
// signature: only the issuer can, and it does so when it receives the request.
func (t *Tickets) Issuer(text string) (instance string, ok bool) {
	parsed, _, _, err := parseTicket(text)
	return parsed.Instance, err == nil
}

// check returns the ticket that the key was minted under. It returns an error
// unless this incarnation issued the ticket and the ticket has not expired.
func (t *Tickets) check(key string) (ticket, error) {
	text, ok := TicketOf(key)
	if !ok {
		return ticket{}, errkind.New(errkind.BadRequest, "the key was not minted under a ticket")
	}
	parsed, payload, signature, err := parseTicket(text)
	if err != nil {
		return ticket{}, errkind.New(errkind.BadRequest, "the ticket in the key is malformed")
	}
	if parsed.Instance != t.opts.Self || parsed.Incarnation != t.opts.Incarnation {
		return ticket{}, errkind.New(errkind.OutcomeUnknown, "the instance that the key belongs to is gone")
	}
	if !hmac.Equal([]byte(signature), []byte(sign(t.secret, payload))) {
		return ticket{}, errkind.New(errkind.BadRequest, "the ticket in the key is not genuine")
	}
	if !t.opts.Clock.Now().Before(parsed.expiresAt()) {
		return ticket{}, errkind.New(errkind.KeyExpired, "the ticket of the key has expired")
	}
	return parsed, nil
}

// Claim implements Claimer for keys minted under tickets of this incarnation. If
// memory is full, it returns StoreUnavailable; the Claimer that NewRouter returns
// claims the key in the platform's store instead.
func (t *Tickets) Claim(_ context.Context, req Request) (Answer, error) {
	answer, room, err := t.claim(req)
	if err == nil && !room {
		err = errkind.New(errkind.StoreUnavailable, "no room for keys under tickets")
	}
	return answer, err
}

// claim claims the key in memory. room is false if the key must be claimed in
// the platform's store.
func (t *Tickets) claim(req Request) (answer Answer, room bool, err error) {
	issued, err := t.check(req.Key.Key)
	if err != nil {
		return Answer{}, true, err
	}
	id := idOf(req.Key)
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.opts.Clock.Now()
	t.expire(s, now)
	if rec, ok := s.records[id]; ok {
		answer, err := t.answerOf(rec, shortHash(req.BodyHash))
		return answer, true, err
	}
	// A key that was claimed in the store while memory was full must be looked
	// up there even if memory has room again: granted here, it would run twice.
	if now.Before(s.overflowUntil) || len(s.records) >= t.opts.MaxKeys/ticketShards {
		t.overflow(s, issued.expiresAt())
		return Answer{}, false, nil
	}
	rec := &ticketRecord{id: id, body: shortHash(req.BodyHash), expires: issued.expiresAt(), state: Held}
	s.records[id] = rec
	heap.Push(&s.byExpiry, rec)
	t.keys.Add(1)
	return Answer{State: Granted, Holder: t.opts.Self, Claim: &ticketClaim{tickets: t, shard: s, record: rec}}, true, nil
}

// overflow records that a key with the given expiry is claimed in the platform's
// store. The caller holds s.mu.
func (t *Tickets) overflow(s *ticketShard, expires time.Time) {
	if s.overflowUntil.IsZero() {
		t.opts.Logger.Log(event.ClaimTicketsFull)
	}
	t.full.Add(1)
	if expires.After(s.overflowUntil) {
		s.overflowUntil = expires
	}
}

func (t *Tickets) answerOf(rec *ticketRecord, body string) (Answer, error) {
	if rec.body != body {
		return Answer{}, errkind.New(errkind.KeyReused, "the idempotency key was used with another body")
	}
	return Answer{State: rec.state, Holder: t.opts.Self, Result: rec.result, HasResult: rec.hasResult}, nil
}

// Lookup implements Claimer.
func (t *Tickets) Lookup(_ context.Context, key Key) (Answer, bool, error) {
	answer, found, elsewhere, err := t.lookup(key)
	if err == nil && elsewhere {
		err = errkind.New(errkind.StoreUnavailable, "the key may be recorded in the platform")
	}
	return answer, found, err
}

func (t *Tickets) lookup(key Key) (answer Answer, found, elsewhere bool, err error) {
	if _, err := t.check(key.Key); err != nil {
		return Answer{}, false, false, err
	}
	id := idOf(key)
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec, ok := s.records[id]; ok {
		answer, err := t.answerOf(rec, rec.body)
		return answer, true, false, err
	}
	return Answer{}, false, t.opts.Clock.Now().Before(s.overflowUntil), nil
}

func (t *Tickets) shardOf(id keyID) *ticketShard { return &t.shards[id.shard(ticketShards)] }

// expire removes records past their ticket's expiry. Requests with such keys are
// refused before the lookup. The caller holds s.mu.
func (t *Tickets) expire(s *ticketShard, now time.Time) {
	for len(s.byExpiry) > 0 && !now.Before(s.byExpiry[0].expires) {
		rec := heap.Pop(&s.byExpiry).(*ticketRecord)
		if s.records[rec.id] == rec {
			delete(s.records, rec.id)
			t.keys.Add(-1)
		}
	}
}

// ticketClaim is a claim recorded in memory.
type ticketClaim struct {
	tickets *Tickets
	shard   *ticketShard
	record  *ticketRecord
	ended   bool // guarded by shard.mu
}

// Complete implements Claim.
func (c *ticketClaim) Complete(output json.RawMessage) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.record.state = Completed
	if len(output) <= c.tickets.opts.MaxResult {
		c.record.result, c.record.hasResult = output, true
	}
}

// Release implements Claim.
func (c *ticketClaim) Release() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	if c.shard.records[c.record.id] == c.record {
		delete(c.shard.records, c.record.id)
		c.tickets.keys.Add(-1)
	}
}

// expiryHeap is a min-heap of records by expiry.
type expiryHeap []*ticketRecord

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*ticketRecord)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}

var _ Claimer = (*Tickets)(nil)
