package stagework

// sharingCounts holds counters of the decisions by shares since the start.
type sharingCounts struct {
	Late, Refused [ruleCount]int // jobs by rule
}

// countRule records the rule by which a job became late that is refused now.
func (p *Planner) countRule(j *job, r *Refusal) {
	if p.overload.Shares && r.Reason == ReasonLate {
		r.Rule = j.shares.rule.String()
		p.sharing.Refused[j.shares.rule]++
	}
}

// ShareCounts holds counters of the decisions by shares since the start: jobs
// that became late and late jobs that were refused, by the name of the rule.
type ShareCounts struct {
	Late, Refused map[string]int
}

// ShareCounts returns the counters of the decisions by shares.
func (d *Dispatcher) ShareCounts() ShareCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := ShareCounts{make(map[string]int), make(map[string]int)}
	for _, p := range d.planners {
		for rule := range ruleCount {
			all.Late[rule.String()] += p.sharing.Late[rule]
			all.Refused[rule.String()] += p.sharing.Refused[rule]
		}
	}
	return all
}
