package streamorigin

import (
	"context"
	"time"
)

// Query asks for the origin of a stream.
type Query struct {
	Key
	Route string
	// Window is the longest time ago at which the stream may have begun.
	Window time.Duration
}

// Finding is the result of Find.
type Finding struct {
	Origin
	Source   string // instance that had the record, or that knows that the route has had one origin only
	Asked    int    // number of other instances that were asked
	Answered int    // and of those that answered
}

// Results of Find, for its metric.
const (
	resultOwn         = "own"
	resultAsked       = "asked"
	resultOnly        = "only_origin"
	resultUnknown     = "unknown"
	resultUnconfirmed = "unconfirmed"
)

// Find returns the origin of a stream: that of its record, or else the one that streams of
// its route have had for the time of the window. The error is ErrUnknown, ErrUnconfirmed or
// that of ctx.
func (m *Manager) Find(ctx context.Context, q Query) (Finding, error) {
	if r, known := m.table.get(q.Key, m.o.Clock.Now()); known {
		return m.conclude(Finding{Origin: r.Origin, Source: m.o.Self}, r, resultOwn)
	}
	if !q.Valid() {
		if origin, ok := m.only(q.Route, q.Window); ok {
			return m.conclude(Finding{Origin: origin, Source: m.o.Self}, Record{}, resultOnly)
		}
		if _, ok := m.history.Present(q.Route); !ok {
			return m.conclude(Finding{}, Record{}, resultUnknown) // no instance can tell
		}
	}
	result := m.asks.DoChan(q.Organisation+"\x00"+q.Attempt+"\x00"+q.Route, func() (any, error) { return m.ask(q) })
	select {
	case r := <-result:
		return r.Val.(Finding), r.Err
	case <-ctx.Done():
		return Finding{}, ctx.Err()
	}
}

// only is History.Only of this instance, if its lists are confirmed to be current.
func (m *Manager) only(routeName string, window time.Duration) (Origin, bool) {
	if m.o.Confirmed != nil && !m.o.Confirmed() {
		return Origin{}, false
	}
	return m.history.Only(routeName, window, m.o.Clock.Now())
}

// conclude counts what was found and returns it.
func (m *Manager) conclude(f Finding, r Record, result string) (Finding, error) {
	if r.Ambiguous {
		result = resultUnknown
	}
	m.o.Metrics.Labelled(metricFound).Add(result, 1)
	switch result {
	case resultUnknown:
		return f, ErrUnknown
	case resultUnconfirmed:
		return f, ErrUnconfirmed
	}
	return f, nil
}

// ask asks the candidates, in two rounds, and concludes from what is known of the route if
// none of them has a record.
func (m *Manager) ask(q Query) (Finding, error) {
	var f Finding
	var told onlyOrigins
	connected := m.o.Connected == nil || m.o.Connected()
	var candidates []string
	if connected {
		candidates = m.candidates(q.Key)
	}
	for first := 0; first < len(candidates); first += askCount {
		round := candidates[first:min(first+askCount, len(candidates))]
		if r, found := m.askRound(q, round, &f, &told); found {
			f.Origin = r.Origin
			m.put(r)
			return m.conclude(f, r, resultAsked)
		}
	}
	if origin, ok := m.only(q.Route, q.Window); ok {
		f.Origin, f.Source = origin, m.o.Self
		return m.conclude(f, Record{}, resultOnly)
	}
	if origin, ok := m.history.Present(q.Route); ok && told.agree(origin) {
		f.Origin, f.Source = origin, told.source
		m.history.Extend(q.Route, origin, m.o.Clock.Now().Add(-q.Window))
		return m.conclude(f, Record{}, resultOnly)
	}
	if !connected || f.Answered < f.Asked {
		return m.conclude(f, Record{}, resultUnconfirmed)
	}
	return m.conclude(f, Record{}, resultUnknown)
}

// onlyOrigins are the only origins of a route of which other instances told.
type onlyOrigins struct {
	origin    Origin
	source    string
	different bool
}

func (o *onlyOrigins) add(origin Origin, source string) {
	o.different = o.different || o.source != "" && o.origin != origin
	o.origin, o.source = origin, source
}

// agree reports whether some instance told of the origin, and none of another.
func (o *onlyOrigins) agree(origin Origin) bool {
	return o.source != "" && !o.different && o.origin == origin
}

// reply is an instance's answer to a question.
type reply struct {
	instance string
	answer   Answer
	err      error
}

// askRound asks instances at the same time until one has the record. Holders that do not
// have it are sent it.
func (m *Manager) askRound(q Query, round []string, f *Finding, told *onlyOrigins) (Record, bool) {
	replies := make(chan reply, len(round))
	for _, instance := range round {
		m.enqueueAsk(instance, question{q, replies})
	}
	f.Asked += len(round)
	timeout := m.o.Clock.NewTimer(callTimeout)
	defer timeout.Stop()
	var lacking []string
	for range round {
		select {
		case r := <-replies:
			if r.err != nil {
				continue
			}
			f.Answered++
			if r.answer.Found {
				f.Source = r.instance
				m.send(r.answer.Record, lacking)
				return r.answer.Record, true
			}
			if r.answer.Only {
				told.add(r.answer.Origin, r.instance)
			}
			lacking = append(lacking, r.instance)
		case <-timeout.C:
			return Record{}, false
		}
	}
	return Record{}, false
}

// question is a query that waits for its answer.
type question struct {
	Query
	replies chan<- reply // has room for the reply
}

// asker holds the questions that wait for one instance. One call to it is made at a time, so
// that questions which arrive meanwhile are asked together.
type asker struct {
	waiting []question
}

func (m *Manager) enqueueAsk(instance string, q question) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.askers[instance]
	if a != nil {
		a.waiting = append(a.waiting, q)
		return
	}
	a = &asker{waiting: []question{q}}
	m.askers[instance] = a
	go m.askWaiting(instance, a)
}

// askWaiting asks the questions of an asker until there are none.
func (m *Manager) askWaiting(instance string, a *asker) {
	for batch := m.takeQuestions(instance, a); batch != nil; batch = m.takeQuestions(instance, a) {
		queries := make([]Query, len(batch))
		for i, q := range batch {
			queries[i] = q.Query
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		answers, err := m.o.Transport.FindOrigins(ctx, instance, queries)
		cancel()
		if err == nil && len(answers) != len(batch) {
			err = errAnswers
		}
		for i, q := range batch {
			r := reply{instance: instance, err: err}
			if err == nil {
				r.answer = answers[i]
				r.answer.ExpiresIn = min(r.answer.ExpiresIn, maxKeep)
				r.answer.Key = q.Key
			}
			q.replies <- r
		}
	}
}

// takeQuestions takes the next batch of an asker. If there is none, it removes the asker and
// returns nil.
func (m *Manager) takeQuestions(instance string, a *asker) (batch []question) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(a.waiting), maxBatch)
	if n == 0 {
		delete(m.askers, instance)
		return nil
	}
	batch, a.waiting = a.waiting[:n:n], a.waiting[n:]
	return batch
}
