package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// LoadOptions describe an open-loop load on one system.
type LoadOptions struct {
	Rate     float64 // requests a second
	Duration time.Duration
	Arrivals Arrivals
	Mix      []Mix
	Lengths  Lengths
	Seed     uint64
	Run      string // name of the run, part of every input
	// PoisonEvery sends a request that crashes its targets this often; 0
	// sends none.
	PoisonEvery time.Duration
	// MaxRequests bounds the load; 0 = 200,000.
	MaxRequests int
	// Progress is called about once a second; nil = never.
	Progress func(Progress)
}

// Progress is how far a load is.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	Done     int // of them; the others are in flight
	Whole    int // of those done
	Attained int
}

const defaultMaxRequests = 200_000

// Record is what became of one request.
type Record struct {
	Profile      string
	Organisation string
	Zone         string
	Keys         []string      // idempotency keys, see client.Result
	At           time.Duration // intended moment since the start of the load
	Latency      time.Duration // from the intended moment to the end
	Deadline     time.Duration
	FirstToken   time.Duration // from the intended moment; 0 if nothing was streamed
	Gaps         []time.Duration
	Attempts     int // of the caller
	Reply        lynxapi.SendReply
	Err          error
	Broken       error // the answer was not whole or not its own
	Poison       bool
}

// Whole reports whether the request got its whole, own answer.
func (r *Record) Whole() bool { return r.Err == nil && r.Broken == nil }

// Attained reports whether that was within the deadline.
func (r *Record) Attained() bool { return r.Whole() && r.Latency <= r.Deadline }

// RunLoad sends the load and returns a record for every request, but for those
// that an interrupt of ctx cut off or kept from being sent. Latencies
// count from the moment at which a request was meant to be sent, so that a
// stall of the system or of the bench itself shows in them.
func RunLoad(ctx context.Context, c System, list []profile.Profile, opts LoadOptions) ([]Record, error) {
	l, err := newLoad(c, list, opts)
	if err != nil {
		return nil, err
	}
	return l.run(ctx), nil
}

// load is one running load.
type load struct {
	system  System
	opts    LoadOptions
	items   []timedItem
	callers map[callerKey]*client.Caller

	mu       sync.Mutex // guards records and progress
	records  []Record
	progress Progress
}

type timedItem struct {
	at time.Duration
	item
}

// callerKey: the services of an organisation in a zone share a kept address
// answer.
type callerKey struct{ organisation, zone string }

func newLoad(c System, list []profile.Profile, opts LoadOptions) (*load, error) {
	defaults.Positive(&opts.MaxRequests, defaultMaxRequests)
	rng := rand.New(rand.NewPCG(opts.Seed, 7))
	offsets, err := opts.Arrivals.offsets(opts.Rate, opts.Duration, rng)
	if err != nil {
		return nil, err
	}
	if len(offsets) > opts.MaxRequests {
		return nil, fmt.Errorf("the load has %d requests, more than the bound of %d", len(offsets), opts.MaxRequests)
	}
	work, err := newWorkload(c, list, opts, rng)
	if err != nil {
		return nil, err
	}
	l := &load{system: c, opts: opts, callers: make(map[callerKey]*client.Caller)}
	poisonAt := opts.PoisonEvery
	for _, at := range offsets {
		it := timedItem{at: at}
		if opts.PoisonEvery > 0 && at >= poisonAt {
			it.item = work.poison()
			poisonAt += opts.PoisonEvery
		} else {
			it.item = work.next()
		}
		l.items = append(l.items, it)
		l.addCaller(it.item)
	}
	return l, nil
}

func (l *load) addCaller(it item) {
	key := callerKey{it.organisation, it.zone}
	if l.callers[key] == nil {
		l.callers[key] = l.system.Caller(it.organisation, it.zone)
	}
}

func (l *load) run(ctx context.Context) []Record {
	start := time.Now()
	stop := l.reportProgress(ctx)
	defer stop()
	var sending sync.WaitGroup
	for _, it := range l.items {
		if sleep.For(ctx, time.Until(start.Add(it.at))) != nil {
			break
		}
		l.mu.Lock()
		l.progress.Sent++
		l.mu.Unlock()
		sending.Go(func() { l.sendAndNote(ctx, start, it) })
	}
	sending.Wait()
	return l.records
}

// sendAndNote leaves no record of a request that an interrupt cut off.
func (l *load) sendAndNote(ctx context.Context, start time.Time, it timedItem) {
	if r := l.send(ctx, start, it); !r.cutOff(ctx) {
		l.note(r)
	}
}

func (l *load) note(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	l.progress.Done++
	if r.Whole() {
		l.progress.Whole++
	}
	if r.Attained() {
		l.progress.Attained++
	}
}

func (l *load) reportProgress(ctx context.Context) (stop func()) {
	if l.opts.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	start := time.Now()
	go func() {
		for sleep.For(ctx, time.Second) == nil {
			l.mu.Lock()
			progress := l.progress
			l.mu.Unlock()
			progress.Elapsed = time.Since(start)
			l.opts.Progress(progress)
		}
	}()
	return cancel
}

// send sends one request, with resends as the client's policy has it.
func (l *load) send(ctx context.Context, start time.Time, it timedItem) Record {
	intended := start.Add(it.at)
	caller := l.callers[callerKey{it.organisation, it.zone}]
	record := Record{
		Profile: it.profile.Name, Organisation: it.organisation, Zone: it.zone,
		At: it.at, Deadline: it.profile.Deadline, Poison: it.marker,
	}
	received := &receiver{intended: intended}
	result, err := caller.Send(ctx, it.profile.Name, lynxapi.SendRequest{
		Organisation: it.organisation, Input: it.input, Prefix: it.prefix, Stream: true,
		DeadlineMS: max(1, time.Until(intended.Add(it.profile.Deadline)).Milliseconds()),
	}, received.take)
	record.Latency = time.Since(intended)
	record.Attempts = result.Attempts
	record.Reply = result.Reply
	record.Keys = result.Keys
	record.Err = err
	record.FirstToken, record.Gaps = received.first, received.gaps
	record.Broken = received.doubled
	if err == nil && record.Broken == nil {
		record.Broken = errors.Join(received.check(result),
			CheckWhole(result, it.profile.Stages[len(it.profile.Stages)-1], it.organisation, it.input))
	}
	return record
}

// kindOf names the error of a record for the tables. A kind that the client put
// around a broken call is no instance's word: an attempt may have run and nobody
// told the caller, so that it counts as lost.
func kindOf(err error) string {
	var transport *client.TransportError
	broken := errors.As(err, &transport) || errors.Is(err, client.ErrNoServers)
	kind := errkind.Of(err)
	switch {
	case err == nil:
		return ""
	case transport != nil && client.IsUnreachable(err):
		return unreachable
	case broken || kind == errkind.Internal:
		return noAnswer
	}
	return kind.String()
}

// noAnswer is the name for a caller that got neither an answer nor an error
// of an instance.
const noAnswer = "no_answer"

// unreachable is the name for a caller none of whose attempts reached an
// instance. It knows as surely as from an instance's word that its request was
// not run, and is checked against the runs like one that was told so.
const unreachable = "unreachable"
