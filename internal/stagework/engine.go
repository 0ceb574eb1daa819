package stagework

import (
	"container/list"
	"math"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// What is assumed of engines.
const (
	// firstRate is the reading speed assumed before one was seen, in tokens a
	// millisecond.
	firstRate  = 40.0
	rateWeight = 0.1
	// keptShare is the share of an engine's memory that is believed to keep
	// prompt parts.
	keptShare = 0.7
)

// engine is a model engine as the dispatcher sees it.
type engine struct {
	target   fleet.Target
	gone     bool
	running  int     // placed and not ended
	tokens   int64   // in memory for them
	reading  int     // prompt tokens of placed jobs whose answer has not begun
	slow     float64 // time to the first event against what was predicted
	fails    int
	pausedTo time.Time
	parts    map[string]*list.Element // prompt parts believed to be kept
	order    *list.List               // of *part, least recently used first
	kept     int64                    // tokens of them
	sent     allowance.Window         // jobs placed here, by owner while it is cold, and of all
	limited  allowance.Window         // jobs placed here while it names a limit, by owner
}

// part is a prompt part that an engine keeps.
type part struct {
	id     string
	tokens int
}

func newEngine(t fleet.Target, b Bounds) *engine {
	return &engine{target: t, slow: 1, limited: b.window(), sent: allowance.NewWindow(allowance.ColdSpan), parts: make(map[string]*list.Element), order: list.New()}
}

// missing returns the tokens of the prompt that the engine has to read: all
// after the first part that it does not keep. again are those of them that
// some engine has read lately: reading them once more is a waste. wastes is
// what wastes returns.
func missing(e *engine, p *relay.Prompt, wastes []int) (all, again int) {
	kept := 0
	for i, part := range p.Parts {
		if _, ok := e.parts[part.ID]; !ok {
			again = wastes[i]
			break
		}
		kept += part.Tokens
	}
	return max(p.TokensIn-kept, 0), again
}

// wastes returns, for each part of the prompt, the tokens from there on whose
// reading at one more engine is a waste. The list is valid until the next call.
func (o *pool) wastes(p *relay.Prompt, now time.Time) []int {
	o.waste = slices.Grow(o.waste[:0], len(p.Parts))[:len(p.Parts)]
	again := 0
	for i := len(p.Parts) - 1; i >= 0; i-- {
		again += int(float64(p.Parts[i].Tokens) * o.wasted(p.Parts[i].ID, now))
		o.waste[i] = again
	}
	return o.waste
}

// recent reports whether the part was used by any engine lately.
func (o *pool) recent(id string, now time.Time) bool {
	u, ok := o.used[id]
	return ok && now.Sub(u.at) < o.reuse
}

// wasted is the share of a part's reading at one more engine that is a waste:
// none if no engine has read it lately, and little if it is used so often that
// many later requests will find it there.
func (o *pool) wasted(id string, now time.Time) float64 {
	if !o.recent(id, now) {
		return 0
	}
	u := o.used[id]
	uses := u.uses * math.Exp(-float64(now.Sub(u.at))/float64(o.reuse))
	return 1 / (1 + uses/float64(max(len(o.engines), 1)))
}

// partUse is how a prompt part was used by all engines.
type partUse struct {
	at   time.Time
	uses float64 // within about one reuse time, fading
}

// use notes that the prompt's parts are used now.
func (o *pool) use(p *relay.Prompt, now time.Time) {
	for _, q := range p.Parts {
		u := o.used[q.ID]
		if !u.at.IsZero() {
			u.uses *= math.Exp(-float64(now.Sub(u.at)) / float64(o.reuse))
		}
		u.uses++
		u.at = now
		o.used[q.ID] = u
	}
	if len(o.used) >= max(o.forgetAt, maxUsed) {
		o.forgetUses(now)
	}
}

// maxUsed is the number of prompt parts from which on those that were not used
// lately are forgotten.
const maxUsed = 8192

// forgetUses drops the parts that were not used lately. The next time is when
// as many again have come: where all were used lately, as after engines told
// what they keep, looking at 50,000 of them with each placement costs 0.5 ms.
func (o *pool) forgetUses(now time.Time) {
	for id, u := range o.used {
		if now.Sub(u.at) >= o.reuse {
			delete(o.used, id)
		}
	}
	o.forgetAt = 2 * len(o.used)
}

// keep notes the prompt's parts as kept by the engine.
func (e *engine) keep(p *relay.Prompt, capacity int64) {
	for _, q := range p.Parts {
		if at, ok := e.parts[q.ID]; ok {
			e.order.MoveToBack(at)
			continue
		}
		e.parts[q.ID] = e.order.PushBack(&part{id: q.ID, tokens: q.Tokens})
		e.kept += int64(q.Tokens)
	}
	for e.kept > capacity && e.order.Len() > 0 {
		oldest := e.order.Remove(e.order.Front()).(*part)
		delete(e.parts, oldest.id)
		e.kept -= int64(oldest.tokens)
	}
}

// failed keeps the engine from new work for a while.
func (e *engine) failed(now time.Time) {
	pause := time.Duration(float64(suspectMin) * math.Pow(2, float64(min(e.fails, 8))))
	e.fails++
	e.pausedTo = now.Add(min(pause, suspectMax))
}

// pool is the engines of a service.
type pool struct {
	name    string
	limits  route.Engine
	engines map[string]*engine
	order   []*engine // engines by id, so that runs repeat
	list    []*engine // memory of usable
	waste   []int     // memory of wastes
	rate    float64   // tokens read in a millisecond by one engine
	first   float64   // milliseconds to the first event, beside reading
	reuse   time.Duration
	used    map[string]partUse // prompt parts
	// forgetAt is the number of used parts from which on old ones are dropped;
	// at least maxUsed.
	forgetAt int
	policy   Policy
	// coldRate is how many requests a second a cold engine bears; 0 = it is not
	// bounded.
	coldRate float64
	bounds   Bounds
}

// standing is how far an engine comes into question.
type standing int

const (
	standingGood    standing = iota
	standingCrowded          // it has got as much as it would bear if it were cold
	standingSuspect          // it failed or was full a moment ago
	standingAvoided          // it has failed this request
	standingNone
)

func (p *pool) standing(e *engine, j *job, now time.Time) standing {
	switch {
	case e.gone || e.target.Draining || p.spared(e, j, now):
		return standingNone
	case slices.Contains(j.Avoid, e.target.ID):
		return standingAvoided
	case now.Before(e.pausedTo):
		return standingSuspect
	case p.crowded(e, now):
		return standingCrowded
	}
	return standingGood
}

// usable returns the engines that take work by id, crowded ones and then those
// under suspicion only if there are no others. Engines that the job avoids come last of all. The list
// is valid until the next call.
func (p *pool) usable(j *job, now time.Time) []*engine {
	for wanted := standingGood; wanted < standingNone; wanted++ {
		p.list = p.list[:0]
		for _, e := range p.order {
			if p.standing(e, j, now) == wanted {
				p.list = append(p.list, e)
			}
		}
		if len(p.list) > 0 {
			break
		}
	}
	return p.list
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

// begun notes that the engine's answer to the job has begun.
func (p *pool) begun(j *job, now time.Time) {
	e := j.engine
	e.reading -= j.missing
	took := float64(now.Sub(j.placed).Microseconds()) / 1000
	if predicted := float64(j.missing)/p.rate + p.first; predicted > 0 {
		e.slow += rateWeight * (clamp(took/predicted, 0.5, 10) - e.slow)
	}
	p.learn(j.missing, took)
	e.fails = 0
	if j.Prompt != nil {
		e.keep(j.Prompt, p.capacity())
	}
}

// learn takes in how long an engine took to the first event. Small prompts tell
// of the fixed part, large ones of the reading speed.
func (p *pool) learn(missing int, took float64) {
	const small = 500
	if missing < small {
		p.first += rateWeight * (clamp(took, 1, 2000) - p.first)
		return
	}
	rate := float64(missing) / max(took-p.first, 1)
	p.rate += rateWeight * (clamp(rate, 1, 1000) - p.rate)
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
