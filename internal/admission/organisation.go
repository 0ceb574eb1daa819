package admission

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lynxhill.example/lynxhill/internal/gossip"
)

const (
	organisationShards = 32 // a power of two
	// demandMemory is the time constant of an organisation's demand.
	demandMemory = 5 * time.Second
	// demandGone is the demand, in requests a second, below which an idle
	// organisation is forgotten: its token bucket is full again by then.
	demandGone = 0.001
)

// organisations keeps the organisations that asked lately, in shards.
type organisations struct {
	seed   maphash.Seed
	shards []*organisationShard
}

type organisationShard struct {
	mu   sync.Mutex // guards rows and the organisations in it
	rows map[string]*organisation
}

// organisation is guarded by the lock of its shard.
type organisation struct {
	shard    *organisationShard
	name     string
	inFlight int
	users    int // callers of take that haven't come to admit
	demand   float64
	askedAt  time.Time
	bucket   *rate.Limiter
}

func newOrganisations() organisations {
	o := organisations{seed: maphash.MakeSeed(), shards: make([]*organisationShard, organisationShards)}
	for i := range o.shards {
		o.shards[i] = &organisationShard{rows: make(map[string]*organisation)}
	}
	return o
}

// take returns the organisation and keeps it from being forgotten until its
// users are counted down again.
func (o *organisations) take(name string) *organisation {
	s := o.shards[maphash.String(o.seed, name)%organisationShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	org := s.rows[name]
	if org == nil {
		org = &organisation{shard: s, name: name}
		s.rows[name] = org
	}
	org.users++
	return org
}

func (o *organisations) usage(now time.Time) []gossip.Usage {
	var all []gossip.Usage
	for _, s := range o.shards {
		all = s.usage(all, now)
	}
	return all
}

func (s *organisationShard) usage(all []gossip.Usage, now time.Time) []gossip.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, org := range s.rows {
		demand := org.demandAt(now)
		if demand < demandGone && org.inFlight == 0 && org.users == 0 {
			delete(s.rows, name)
			continue
		}
		all = append(all, gossip.Usage{Organisation: name, RatePerSecond: demand, InFlight: org.inFlight})
	}
	return all
}

// arrive counts a request in the demand, an exponential moving rate.
func (org *organisation) arrive(now time.Time) {
	org.demand = org.demandAt(now) + 1/demandMemory.Seconds()
	org.askedAt = now
}

func (org *organisation) demandAt(now time.Time) float64 {
	age := max(now.Sub(org.askedAt), 0)
	return org.demand * math.Exp(-age.Seconds()/demandMemory.Seconds())
}

// takeToken takes a token of the rate and returns 0, or when the next one
// comes. The bucket holds one second's worth, at least one token.
func (org *organisation) takeToken(perSecond float64, now time.Time) time.Duration {
	if perSecond <= 0 {
		org.bucket = nil
		return 0
	}
	burst := max(1, int(perSecond))
	if org.bucket == nil {
		org.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	if org.bucket.Limit() != rate.Limit(perSecond) {
		org.bucket.SetLimitAt(now, rate.Limit(perSecond))
		org.bucket.SetBurstAt(now, burst)
	}
	if org.bucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - org.bucket.TokensAt(now)
	return time.Duration(missing / perSecond * float64(time.Second))
}
