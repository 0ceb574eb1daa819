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
	// demandTimeConstant is the time constant of the moving average of an
	// organisation's demand.
	demandTimeConstant = 5 * time.Second
	// minDemand is the demand, in requests a second, below which an idle
	// organisation is deleted: its token bucket is full again by then.
	minDemand = 0.001
)

// organisations holds the organisations with recent requests, in shards.
type organisations struct {
	seed   maphash.Seed
	shards []*organisationShard
}

type organisationShard struct {
	mu     sync.Mutex // guards byName and the organisations in it
	byName map[string]*organisation
}

// organisation is guarded by the lock of its shard.
type organisation struct {
	shard       *organisationShard
	name        string
	inFlight    int
	pins        int     // calls of pin whose admit has not begun
	demand      float64 // moving average, in requests a second
	lastRequest time.Time
	bucket      *rate.Limiter
}

func newOrganisations() organisations {
	o := organisations{seed: maphash.MakeSeed(), shards: make([]*organisationShard, organisationShards)}
	for i := range o.shards {
		o.shards[i] = &organisationShard{byName: make(map[string]*organisation)}
	}
	return o
}

// pin returns the organisation, creating it if needed, and keeps it from being
// deleted until pins is decremented.
func (o *organisations) pin(name string) *organisation {
	s := o.shards[maphash.String(o.seed, name)%organisationShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	org := s.byName[name]
	if org == nil {
		org = &organisation{shard: s, name: name}
		s.byName[name] = org
	}
	org.pins++
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
	for name, org := range s.byName {
		demand := org.demandAt(now)
		if demand < minDemand && org.inFlight == 0 && org.pins == 0 {
			delete(s.byName, name)
			continue
		}
		all = append(all, gossip.Usage{Organisation: name, RatePerSecond: demand, InFlight: org.inFlight})
	}
	return all
}

// countRequest adds a request to the demand, an exponentially weighted moving
// rate.
func (org *organisation) countRequest(now time.Time) {
	org.demand = org.demandAt(now) + 1/demandTimeConstant.Seconds()
	org.lastRequest = now
}

func (org *organisation) demandAt(now time.Time) float64 {
	age := max(now.Sub(org.lastRequest), 0)
	return org.demand * math.Exp(-age.Seconds()/demandTimeConstant.Seconds())
}

// takeToken takes a token from the organisation's token bucket and returns 0, or
// returns the time until the next token is available. The bucket holds the
// tokens of one second, at least one.
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
