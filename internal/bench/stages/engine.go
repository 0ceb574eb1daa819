package stages

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// engine is a model engine: it reads prompts one after the other, keeps prompt
// parts, and gives out tokens for all its requests at once.
type engine struct {
	day      *day
	target   fleet.Target
	running  []*request
	waiting  []*request
	readFree time.Time // when it can begin to read
	kept     map[string]int
	order    []relay.PromptPart // kept parts, least recently used first
	tokens   int                // of them
}

// take takes a request, has it wait, or turns it away.
func (e *engine) take(q *request) {
	switch {
	case len(e.running) < engineLimits.Slots:
		e.start(q)
	case len(e.waiting) < engineQueue:
		e.waiting = append(e.waiting, q)
	default:
		q.rejected(false)
	}
}

// start fetches the results, reads the prompt, and begins the answer.
func (e *engine) start(q *request) {
	d := e.day
	far, ok := d.inputs(q.inputs, e.target.Zone)
	if !ok {
		q.rejected(true)
		return
	}
	d.out.Moved += far
	e.running = append(e.running, q)
	begin := d.now.Add(transfer(far))
	if e.readFree.After(begin) {
		begin = e.readFree
	}
	missing := e.read(q.job.Prompt)
	e.readFree = begin.Add(time.Duration(float64(missing) / readRate * float64(time.Millisecond)))
	try := q.try
	d.after(e.readFree.Add(firstTime).Sub(d.now), func() { e.begun(q, try) })
}

// begun begins the answer, unless the caller has gone.
func (e *engine) begun(q *request, try int) {
	if q.ended || q.try != try {
		return
	}
	q.begun()
	share := float64(len(e.running)) / float64(engineLimits.Slots)
	takes := time.Duration(float64(q.job.Prompt.TokensOut) * float64(stepTime) * (1 + share))
	e.day.after(takes, q.end)
}

// leave takes the request off the engine.
func (e *engine) leave(q *request) {
	e.waiting = slices.DeleteFunc(e.waiting, func(o *request) bool { return o == q })
	before := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(o *request) bool { return o == q })
	if len(e.running) < before && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(next)
	}
}

// read returns the tokens that the engine has to read, all after the first part
// that it does not keep, and keeps them.
func (e *engine) read(p *relay.Prompt) int {
	missing := 0
	for _, part := range p.Parts {
		if _, ok := e.kept[part.ID]; !ok || missing > 0 {
			missing += part.Tokens
			e.day.noteRead(part)
		}
		e.day.lastUsed[part.ID] = e.day.now
		e.keep(part)
	}
	return missing
}

func (e *engine) keep(part relay.PromptPart) {
	if _, ok := e.kept[part.ID]; ok {
		e.order = slices.DeleteFunc(e.order, func(o relay.PromptPart) bool { return o.ID == part.ID })
		e.tokens -= part.Tokens
	}
	e.kept[part.ID] = part.Tokens
	e.order = append(e.order, part)
	e.tokens += part.Tokens
	for e.tokens > keptTokens {
		oldest := e.order[0]
		e.order = e.order[1:]
		delete(e.kept, oldest.ID)
		e.tokens -= oldest.Tokens
	}
}

// noteRead counts a part that was used lately, by any engine, as read again.
func (d *day) noteRead(part relay.PromptPart) {
	if used, ok := d.lastUsed[part.ID]; ok && d.now.Sub(used) < reuseWindow {
		d.out.ReadAgain += part.Tokens
	}
}
