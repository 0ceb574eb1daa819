package stagework

import (
	"container/list"
	"math"
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Assumptions about engines.
const (
	// initialPrefillRate is the prefill rate assumed before any was measured,
	// in tokens per millisecond; rateWeight is the weight of the newest
	// measurement in the estimates.
	initialPrefillRate = 40.0
	rateWeight         = 0.1
	// prefixCacheShare is the share of an engine's memory that is assumed to
	// hold cached prompt parts.
	prefixCacheShare = 0.7
)

// engine is the dispatcher's state of a model engine.
type engine struct {
	info          fleet.Target
	removed       bool    // no longer listed; kept until its jobs have ended
	running       int     // jobs placed on it that have not ended
	tokens        int64   // memory taken by those jobs, in tokens
	prefillTokens int     // prompt tokens to process for placed jobs whose answer has not started
	latencyRatio  float64 // moving average of actual to predicted time to the first event
	pace          enginePace
	failures      int
	pausedUntil   time.Time
	cachedParts   map[string]*list.Element // prompt parts assumed to be cached
	lru           *list.List               // of *part, least recently used first
	cachedTokens  int64                    // tokens of the cached parts
	maxParts      int                      // limit of the cached parts; 0 = none
	sentWindow    allowance.Window         // jobs placed here: in total, and by owner while it is cold
	limitWindow   allowance.Window         // jobs placed here while it announces a rate limit, by owner
}

// part is a prompt part in an engine's cache.
type part struct {
	id     string
	tokens int
}

func newEngine(t fleet.Target, b RateLimits) *engine {
	return &engine{info: t, latencyRatio: 1, limitWindow: b.window(), sentWindow: allowance.NewWindow(allowance.ColdSpan), cachedParts: make(map[string]*list.Element), lru: list.New()}
}

// uncachedTokens returns the prompt tokens that the engine has to process: all
// after its longest cached prefix. redundant is the weighted number of those
// that another engine has processed recently, whose processing here is
// redundant. redundantFrom is the result of redundantTokens.
func uncachedTokens(e *engine, p *relay.Prompt, redundantFrom []int) (all, redundant int) {
	cached := 0
	for i, part := range p.Parts {
		if _, ok := e.cachedParts[part.ID]; !ok {
			redundant = redundantFrom[i]
			break
		}
		cached += part.Tokens
	}
	return max(p.TokensIn-cached, 0), redundant
}

// redundantTokens returns, for each part of the prompt, the weighted number of
// tokens from that part on whose processing by one more engine is redundant.
// The result is valid until the next call.
func (o *pool) redundantTokens(p *relay.Prompt, now time.Time) []int {
	o.redundantBuf = slices.Grow(o.redundantBuf[:0], len(p.Parts))[:len(p.Parts)]
	redundant := 0
	for i := len(p.Parts) - 1; i >= 0; i-- {
		redundant += int(float64(p.Parts[i].Tokens) * o.redundantShare(p.Parts[i].ID, now))
		o.redundantBuf[i] = redundant
	}
	return o.redundantBuf
}

// recent reports whether any engine used the part within the reuse window.
func (o *pool) recent(id string, now time.Time) bool {
	u, ok := o.partUses[id]
	return ok && now.Sub(u.at) < o.reuseWindow
}

// redundantShare is the share of a part's prefill cost at one more engine that
// counts as redundant: 0 if no engine has processed it recently, and little if
// it is used so often that many later requests will benefit from another cached
// copy.
func (o *pool) redundantShare(id string, now time.Time) float64 {
	if !o.recent(id, now) {
		return 0
	}
	u := o.partUses[id]
	uses := u.uses * math.Exp(-float64(now.Sub(u.at))/float64(o.reuseWindow))
	return 1 / (1 + uses/float64(max(len(o.engines), 1)))
}

// partUse records the uses of a prompt part by all engines.
type partUse struct {
	at   time.Time
	uses float64 // decaying count, with the reuse window as time constant
}

// recordUse records that the prompt's parts are used now.
func (o *pool) recordUse(p *relay.Prompt, now time.Time) {
	for _, q := range p.Parts {
		u := o.partUses[q.ID]
		if !u.at.IsZero() {
			u.uses *= math.Exp(-float64(now.Sub(u.at)) / float64(o.reuseWindow))
		}
		u.uses++
		u.at = now
		if u.uses == 1 {
			q.ID = strings.Clone(q.ID) // it is a part of the request's head, which must not stay
		}
		o.partUses[q.ID] = u
	}
	if len(o.partUses) >= max(o.pruneAt, pruneMinParts) {
		o.pruneUses(now)
	}
	if o.maxParts > 0 && len(o.partUses) > o.maxParts {
		o.dropUses(now)
	}
}

// dropUses drops half of the recorded prompt parts, the least recently used first. Without it
// callers whose prompts have ever new parts make the instance remember all parts of the reuse
// window until it is killed.
func (o *pool) dropUses(now time.Time) {
	for window := o.reuseWindow; len(o.partUses) > o.maxParts/2; window /= 2 {
		o.dropUsesBefore(now.Add(-window))
		if window == 0 {
			return
		}
	}
}

// dropUsesBefore drops the prompt parts that were not used after the time.
func (o *pool) dropUsesBefore(at time.Time) {
	for id, u := range o.partUses {
		if !u.at.After(at) {
			delete(o.partUses, id)
		}
	}
}

// pruneMinParts is the minimum number of recorded prompt parts for unused ones
// to be pruned.
const pruneMinParts = 8192

// pruneUses drops the parts that were not used within the reuse window. It runs
// again when the number of parts has doubled: if all of them were used
// recently, as after engines have reported their caches, a scan of 50,000 parts
// with each placement costs 0.5 ms.
func (o *pool) pruneUses(now time.Time) {
	o.dropUsesBefore(now.Add(-o.reuseWindow))
	o.pruneAt = 2 * len(o.partUses)
}

// cacheParts records the prompt's parts as cached by the engine and evicts the
// least recently used ones beyond the capacity.
func (e *engine) cacheParts(p *relay.Prompt, capacity int64) {
	for _, q := range p.Parts {
		if at, ok := e.cachedParts[q.ID]; ok {
			e.lru.MoveToBack(at)
			continue
		}
		id := strings.Clone(q.ID) // see recordUse
		e.cachedParts[id] = e.lru.PushBack(&part{id: id, tokens: q.Tokens})
		e.cachedTokens += int64(q.Tokens)
	}
	for e.lru.Len() > 0 && (e.cachedTokens > capacity || e.maxParts > 0 && e.lru.Len() > e.maxParts) {
		oldest := e.lru.Remove(e.lru.Front()).(*part)
		delete(e.cachedParts, oldest.id)
		e.cachedTokens -= int64(oldest.tokens)
	}
}

// recordFailure starts the engine's backoff after a failure.
func (e *engine) recordFailure(now time.Time) {
	pause := time.Duration(float64(failureBackoffMin) * math.Pow(2, float64(min(e.failures, 8))))
	e.failures++
	e.pausedUntil = now.Add(min(pause, failureBackoffMax))
}

// pool is the state of an engine service.
type pool struct {
	name           string
	limits         route.Engine
	engines        map[string]*engine
	byID           []*engine // engines sorted by ID, so that decisions are deterministic
	usableBuf      []*engine // buffer of usable
	redundantBuf   []int     // buffer of redundantTokens
	prefillRate    float64   // tokens per millisecond of one engine
	firstEventBase float64   // milliseconds to the first event, without prefill
	meanPace       float64   // mean of the engines' stated paces; 0 = none has been stated
	reuseWindow    time.Duration
	partUses       map[string]partUse // by ID of the prompt part
	maxParts       int                // limit of partUses; 0 = none
	// pruneAt is the number of recorded parts at which unused ones are pruned
	// next; at least pruneMinParts.
	pruneAt int
	policy  Policy
	// coldRate is the number of requests per second that a cold engine can
	// handle; 0 = unlimited.
	coldRate float64
	bounds   RateLimits
}

// eligibility is how well an engine qualifies for a job, best first.
type eligibility int

const (
	eligible           eligibility = iota
	eligibleAtColdRate             // it has got as many requests as it could handle if it were cold
	eligibleInBackoff              // it failed or was busy a moment ago
	eligibleExcluded               // it has failed this request
	ineligible
)

func (p *pool) eligibility(e *engine, j *job, now time.Time) eligibility {
	switch {
	case !e.takesWork() || !j.Binding.allows(e.info.Build) || p.rateLimited(e, j, now):
		return ineligible
	case slices.Contains(j.ExcludedEngines, e.info.ID):
		return eligibleExcluded
	case now.Before(e.pausedUntil):
		return eligibleInBackoff
	case p.atColdRate(e, now):
		return eligibleAtColdRate
	}
	return eligible
}

// takesWork reports whether the engine is listed and not leaving.
func (e *engine) takesWork() bool { return !e.removed && !e.info.Draining }

// lacksBuild reports whether engines are known, but none of the software version to
// which the job is bound takes work.
func (p *pool) lacksBuild(j *job) bool {
	return j.Binding != nil && len(p.byID) > 0 && !slices.ContainsFunc(p.byID, func(e *engine) bool {
		return e.takesWork() && j.Binding.allows(e.info.Build)
	})
}

// usable returns the engines of the best eligibility that any engine has, by
// ID: those at their cold rate only if no other is left, then those in backoff,
// and engines that the job excludes last of all. The result is valid until the
// next call.
func (p *pool) usable(j *job, now time.Time) []*engine {
	for wanted := eligible; wanted < ineligible; wanted++ {
		p.usableBuf = p.usableBuf[:0]
		for _, e := range p.byID {
			if p.eligibility(e, j, now) == wanted {
				p.usableBuf = append(p.usableBuf, e)
			}
		}
		if len(p.usableBuf) > 0 {
			break
		}
	}
	return p.usableBuf
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// answerStarted updates the estimates when the engine's answer to the job has
// started.
func (p *pool) answerStarted(j *job, now time.Time) {
	e := j.engine
	e.prefillTokens -= j.uncachedTokens
	took := float64(now.Sub(j.placedAt).Microseconds()) / 1000
	if predicted := float64(j.uncachedTokens)/p.prefillRate + p.firstEventBase; predicted > 0 {
		e.latencyRatio += rateWeight * (clamp(took/predicted, 0.5, 10) - e.latencyRatio)
	}
	p.updateEstimates(j.uncachedTokens, took)
	e.failures = 0
	if j.Prompt != nil {
		e.cacheParts(j.Prompt, p.cacheCapacity())
	}
}

// updateEstimates updates the estimates from a measured time to the first
// event, in milliseconds. Small prompts update the fixed part, large ones the
// prefill rate.
func (p *pool) updateEstimates(uncachedTokens int, took float64) {
	const small = 500
	if uncachedTokens < small {
		p.firstEventBase += rateWeight * (clamp(took, 1, 2000) - p.firstEventBase)
		return
	}
	rate := float64(uncachedTokens) / max(took-p.firstEventBase, 1)
	p.prefillRate += rateWeight * (clamp(rate, 1, 1000) - p.prefillRate)
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
