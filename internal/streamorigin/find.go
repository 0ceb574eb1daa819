package streamorigin

import "context"

// Finding is the result of Find.
type Finding struct {
	Origin
	Source   string // instance that had the record
	Asked    int    // number of other instances that were asked
	Answered int    // and of those that answered
}

// Find returns the origin of a stream. The error is ErrUnknown, ErrUnconfirmed or that of
// ctx.
func (m *Manager) Find(ctx context.Context, key Key) (Finding, error) {
	if r, known := m.table.get(key, m.o.Clock.Now()); known {
		return m.conclude(Finding{Origin: r.Origin, Source: m.o.Self}, r, "own")
	}
	if !key.Valid() {
		return m.conclude(Finding{}, Record{Ambiguous: true}, "unknown")
	}
	result := m.asks.DoChan(key.Organisation+"\x00"+key.Attempt, func() (any, error) { return m.ask(key) })
	select {
	case r := <-result:
		return r.Val.(Finding), r.Err
	case <-ctx.Done():
		return Finding{}, ctx.Err()
	}
}

// conclude counts what was found and returns it.
func (m *Manager) conclude(f Finding, r Record, result string) (Finding, error) {
	if r.Ambiguous {
		result = "unknown"
	}
	m.o.Metrics.Labelled(metricFound).Add(result, 1)
	switch result {
	case "unknown":
		return f, ErrUnknown
	case "unconfirmed":
		return f, ErrUnconfirmed
	}
	return f, nil
}

// ask asks the candidates, in two rounds.
func (m *Manager) ask(key Key) (Finding, error) {
	var f Finding
	if m.o.Connected != nil && !m.o.Connected() {
		return m.conclude(f, Record{}, "unconfirmed")
	}
	candidates := m.candidates(key)
	for first := 0; first < len(candidates); first += askCount {
		round := candidates[first:min(first+askCount, len(candidates))]
		r, found := m.askRound(key, round, &f)
		if !found {
			continue
		}
		f.Origin = r.Origin
		m.put(r)
		return m.conclude(f, r, "asked")
	}
	if f.Answered < f.Asked {
		return m.conclude(f, Record{}, "unconfirmed")
	}
	return m.conclude(f, Record{}, "unknown")
}

// reply is an instance's answer to an ask.
type reply struct {
	instance string
	record   Record
	found    bool
	err      error
}

// askRound asks instances at the same time until one has the record. Holders that do not
// have it are sent it.
func (m *Manager) askRound(key Key, round []string, f *Finding) (Record, bool) {
	replies := make(chan reply, len(round))
	for _, instance := range round {
		m.enqueueAsk(instance, question{key, replies})
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
			if r.found {
				f.Source = r.instance
				m.send(r.record, lacking)
				return r.record, true
			}
			lacking = append(lacking, r.instance)
		case <-timeout.C:
			return Record{}, false
		}
	}
	return Record{}, false
}

// question is an ask that waits for its answer.
type question struct {
	key     Key
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
		keys := make([]Key, len(batch))
		for i, q := range batch {
			keys[i] = q.key
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		records, err := m.o.Transport.FindOrigins(ctx, instance, keys)
		cancel()
		byKey := make(map[Key]Record, len(records))
		for _, r := range records {
			byKey[r.Key] = r
		}
		for _, q := range batch {
			r, found := byKey[q.key]
			r.ExpiresIn = min(r.ExpiresIn, maxKeep)
			q.replies <- reply{instance, r, found && r.valid(), err}
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
