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

// Durations of instance discovery.
const (
	// avoidFor is how long an unavailable instance is avoided, which means
	// that it is tried only after the others.
	avoidFor = 5 * time.Second
	// addressTimeout is the timeout of one address request, so that an
	// unresponsive instance delays the request to the next one only briefly.
	addressTimeout = 2 * time.Second
	// hedgeDelay is how long one server has to answer an address request
	// before a hedged request is sent to the next server.
	hedgeDelay = 200 * time.Millisecond
)

// addressCache caches the last address answer for the duration that the answer
// states, and remembers which instances to avoid.
type addressCache struct {
	mu      sync.Mutex // guards the fields below
	answer  lynxapi.AddressAnswer
	expires time.Time
	avoided map[string]time.Time // by address: the end of the time in which it is tried last
}

func newAddressCache() *addressCache {
	return &addressCache{avoided: make(map[string]time.Time)}
}

// fresh returns the cached answer and whether it is still valid.
func (b *addressCache) fresh(now time.Time) (lynxapi.AddressAnswer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answer, len(b.answer.Addresses) > 0 && now.Before(b.expires)
}

func (b *addressCache) store(answer lynxapi.AddressAnswer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = answer
	b.expires = now.Add(time.Duration(answer.KeepMS) * time.Millisecond)
}

// expire makes the next request fetch a new answer. The old answer is kept as a
// fallback in case no server responds.
func (b *addressCache) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expires = time.Time{}
}

func (b *addressCache) last() lynxapi.AddressAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answer
}

func (b *addressCache) avoid(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for old, until := range b.avoided {
		if now.After(until) {
			delete(b.avoided, old)
		}
	}
	b.avoided[address] = now.Add(avoidFor)
}

func (b *addressCache) isAvoided(address string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.avoided[address])
}

// Address returns the cached address answer, or fetches a new one if the cached
// one has expired. If no server responds, it returns the expired answer, if
// there is one.
func (c *Caller) Address(ctx context.Context) (lynxapi.AddressAnswer, error) {
	if answer, ok := c.addresses.fresh(time.Now()); ok {
		return answer, nil
	}
	answer, err := c.fetchAddresses(ctx, c.serversToAsk())
	if err == nil {
		c.addresses.store(answer, time.Now())
		return answer, nil
	}
	if old := c.addresses.last(); len(old.Addresses) > 0 && mayRetryElsewhere(err) {
		return old, nil
	}
	return lynxapi.AddressAnswer{}, err
}

// addressResult is the result of an address request to one server.
type addressResult struct {
	answer lynxapi.AddressAnswer
	err    error
}

// fetchAddresses requests addresses from the servers in order and returns the
// first answer. It continues with the next server when one has failed and also,
// as a hedge, when no result has arrived for hedgeDelay. Otherwise an
// unresponsive server would cost addressTimeout of a request's deadline.
func (c *Caller) fetchAddresses(ctx context.Context, servers []string) (lynxapi.AddressAnswer, error) {
	if len(servers) == 0 {
		return lynxapi.AddressAnswer{}, ErrNoServers
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan addressResult, len(servers))
	ask := func(server string) {
		answer, err := c.fetchAddressFrom(ctx, server)
		answers <- addressResult{answer, err}
	}
	next, waiting := 0, 0
	var last error
	for {
		if next < len(servers) {
			go ask(servers[next])
			next++
			waiting++
		}
		result, ok := awaitAnswer(answers, next < len(servers))
		if !ok {
			continue
		}
		waiting--
		if result.err == nil {
			return result.answer, nil
		}
		last = result.err
		if ctx.Err() != nil || !mayRetryElsewhere(last) || (waiting == 0 && next == len(servers)) {
			return lynxapi.AddressAnswer{}, last
		}
	}
}

// awaitAnswer waits for the next result, but at most for hedgeDelay if there is
// another server to send a request to. A result always arrives, because every
// address request ends with ctx or its own timeout.
func awaitAnswer(answers <-chan addressResult, more bool) (addressResult, bool) {
	if !more {
		return <-answers, true
	}
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case got := <-answers:
		return got, true
	case <-timer.C:
		return addressResult{}, false
	}
}

// serversToAsk returns the servers for address requests in the order to try:
// the instances of the last answer, then the configured servers, each group in
// random order. Avoided servers come last.
func (c *Caller) serversToAsk() []string {
	var servers []string
	for _, a := range c.addresses.last().Addresses {
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
		return rank(c.addresses.isAvoided(a, now)) - rank(c.addresses.isAvoided(b, now))
	})
	return servers
}

func rank(avoided bool) int {
	if avoided {
		return 1
	}
	return 0
}

func (c *Caller) fetchAddressFrom(ctx context.Context, server string) (lynxapi.AddressAnswer, error) {
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
		c.addresses.avoid(server, time.Now()) // it did not answer in time
	}
	return answer, err
}

// Penalties of pick. Each one outweighs the sum of those before it: spares by
// distance, then avoided instances, then instances that this request has already
// tried.
const (
	distanceLevels = 3
	sparePenalty   = 1
	avoidedPenalty = sparePenalty + distanceLevels
	triedPenalty   = 2 * avoidedPenalty
)

// pick selects an instance at random by weight. The weights already prefer the
// caller's availability zone as far as it has capacity. Preferring the zone here
// as well would send a full zone the load that the weights direct elsewhere.
// Instances of weight 0 are spares for when the others fail; the nearest spare
// is selected first.
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
	if c.addresses.isAvoided(a.Address, now) {
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
	return distanceLevels - 1
}

// weighted selects an address by weight; fraction is a random number in [0, 1).
// If no weight is above 0, all addresses are equally likely.
func weighted(group []lynxapi.Address, fraction float64) lynxapi.Address {
	total := 0.0
	for _, a := range group {
		total += max(a.Weight, 0)
	}
	if total == 0 {
		return group[min(int(fraction*float64(len(group))), len(group)-1)]
	}
	fraction *= total
	for _, a := range group {
		fraction -= max(a.Weight, 0)
		if fraction < 0 {
			return a
		}
	}
	return group[len(group)-1]
}
