package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Bounds of what is remembered of instances.
const (
	// avoidFor is how long an instance that was unreachable is tried last.
	avoidFor = 5 * time.Second
	// addressTimeout bounds one question for addresses, so that a silent
	// instance costs little before the next is asked.
	addressTimeout = 2 * time.Second
	// askStagger is how long one server has to answer before the next is
	// asked beside it.
	askStagger = 200 * time.Millisecond
)

// addressBook keeps the address answer for as long as it says.
type addressBook struct {
	mu      sync.Mutex // guards the fields below
	answer  lynxapi.AddressAnswer
	until   time.Time
	avoided map[string]time.Time // by address: until when it is tried last
}

func newAddressBook() *addressBook {
	return &addressBook{avoided: make(map[string]time.Time)}
}

// fresh returns the kept answer while it holds.
func (b *addressBook) fresh(now time.Time) (lynxapi.AddressAnswer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answer, len(b.answer.Addresses) > 0 && now.Before(b.until)
}

func (b *addressBook) keep(answer lynxapi.AddressAnswer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = answer
	b.until = now.Add(time.Duration(answer.KeepMS) * time.Millisecond)
}

// expire makes the next request ask again; the answer stays for the case that
// nobody answers.
func (b *addressBook) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = time.Time{}
}

func (b *addressBook) last() lynxapi.AddressAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answer
}

func (b *addressBook) avoid(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for old, until := range b.avoided {
		if now.After(until) {
			delete(b.avoided, old)
		}
	}
	b.avoided[address] = now.Add(avoidFor)
}

func (b *addressBook) isAvoided(address string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.avoided[address])
}

// Address returns the kept address answer, or asks for a new one when it has
// run out. When nobody answers, an answer that has run out is better than none.
func (c *Caller) Address(ctx context.Context) (lynxapi.AddressAnswer, error) {
	if answer, ok := c.book.fresh(time.Now()); ok {
		return answer, nil
	}
	answer, err := c.askAny(ctx, c.askable())
	if err == nil {
		c.book.keep(answer, time.Now())
		return answer, nil
	}
	if old := c.book.last(); len(old.Addresses) > 0 && worthAskingElsewhere(err) {
		return old, nil
	}
	return lynxapi.AddressAnswer{}, err
}

// asked is what one server answered.
type asked struct {
	answer lynxapi.AddressAnswer
	err    error
}

// askAny asks the servers in turn: the next one when one has failed, and also
// when it has not answered for askStagger. A server that went silent would
// otherwise cost addressTimeout of a request's deadline. The first answer
// counts.
func (c *Caller) askAny(ctx context.Context, servers []string) (lynxapi.AddressAnswer, error) {
	if len(servers) == 0 {
		return lynxapi.AddressAnswer{}, ErrNoServers
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan asked, len(servers))
	ask := func(server string) {
		answer, err := c.askAddress(ctx, server)
		answers <- asked{answer, err}
	}
	next, waiting := 0, 0
	var last error
	for {
		if next < len(servers) {
			go ask(servers[next])
			next++
			waiting++
		}
		got, ok := awaitAnswer(answers, next < len(servers))
		if !ok {
			continue
		}
		waiting--
		if got.err == nil {
			return got.answer, nil
		}
		last = got.err
		if ctx.Err() != nil || !worthAskingElsewhere(last) || (waiting == 0 && next == len(servers)) {
			return lynxapi.AddressAnswer{}, last
		}
	}
}

// awaitAnswer waits for the next answer, or only for askStagger if there is
// another server to ask. Every question ends with ctx or its own timeout, so
// that an answer always comes.
func awaitAnswer(answers <-chan asked, more bool) (asked, bool) {
	if !more {
		return <-answers, true
	}
	timer := time.NewTimer(askStagger)
	defer timer.Stop()
	select {
	case got := <-answers:
		return got, true
	case <-timer.C:
		return asked{}, false
	}
}

// askable lists whom to ask: the instances last heard of, then the seeds.
func (c *Caller) askable() []string {
	var servers []string
	for _, a := range c.book.last().Addresses {
		servers = append(servers, a.Address)
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	seeds := slices.Clone(c.opts.Servers)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds {
		if !slices.Contains(servers, seed) {
			servers = append(servers, seed)
		}
	}
	now := time.Now()
	slices.SortStableFunc(servers, func(a, b string) int {
		return rank(c.book.isAvoided(a, now)) - rank(c.book.isAvoided(b, now))
	})
	return servers
}

func rank(avoided bool) int {
	if avoided {
		return 1
	}
	return 0
}

func (c *Caller) askAddress(ctx context.Context, server string) (lynxapi.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	query := url.Values{}
	if c.opts.Zone != "" {
		query.Set("place", c.opts.Zone)
	}
	if c.opts.Region != "" {
		query.Set("region", c.opts.Region)
	}
	var answer lynxapi.AddressAnswer
	err := c.get(ctx, server, call{method: http.MethodGet, path: lynxapi.PathAddress, query: query}, &answer)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.book.avoid(server, time.Now()) // it went silent
	}
	return answer, err
}

// Penalties of pick, so that each outweighs all before it: spares by distance,
// then lately unreachable ones, then those that this request has tried.
const (
	distances      = 3
	sparePenalty   = 1
	avoidedPenalty = sparePenalty + distances
	triedPenalty   = 2 * avoidedPenalty
)

// pick chooses an instance by weight. The weights already prefer the caller's zone
// as far as it has free capacity; preferring it again here would send a full zone
// the load that was to go elsewhere. Instances of weight 0 are spares, for when
// the others fail: nearest first.
func (c *Caller) pick(answer lynxapi.AddressAnswer, tried []string) (lynxapi.Address, bool) {
	now := time.Now()
	best := -1
	var group []lynxapi.Address
	for _, a := range answer.Addresses {
		score := c.penalty(a, tried, now)
		switch {
		case best < 0 || score < best:
			best, group = score, []lynxapi.Address{a}
		case score == best:
			group = append(group, a)
		}
	}
	if len(group) == 0 {
		return lynxapi.Address{}, false
	}
	return weighted(group, rand.Float64()), true
}

func (c *Caller) penalty(a lynxapi.Address, tried []string, now time.Time) int {
	penalty := 0
	if a.Weight <= 0 {
		penalty += sparePenalty + c.distance(a)
	}
	if c.book.isAvoided(a.Address, now) {
		penalty += avoidedPenalty
	}
	if slices.Contains(tried, a.Address) {
		penalty += triedPenalty
	}
	return penalty
}

func (c *Caller) distance(a lynxapi.Address) int {
	switch {
	case c.opts.Zone != "" && a.Zone == c.opts.Zone:
		return 0
	case c.opts.Region != "" && a.Region == c.opts.Region:
		return 1
	}
	return distances - 1
}

// weighted picks by weight with a number from 0 to 1. Without a weight above 0
// all are equal.
func weighted(group []lynxapi.Address, at float64) lynxapi.Address {
	total := 0.0
	for _, a := range group {
		total += max(a.Weight, 0)
	}
	if total == 0 {
		return group[min(int(at*float64(len(group))), len(group)-1)]
	}
	at *= total
	for _, a := range group {
		at -= max(a.Weight, 0)
		if at < 0 {
			return a
		}
	}
	return group[len(group)-1]
}
