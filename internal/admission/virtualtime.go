package admission

// minPruneSize is the lowest number of finish tags at which expired ones are
// pruned.
const minPruneSize = 1024

// virtualTime implements start-time fair queueing over organisations. Each slot
// is charged to its organisation in seconds of service, and the organisation
// with the lowest start tag is served next. An organisation that was idle starts
// at the current virtual time, so that it neither accumulates credit nor pays
// for slots that it used while the queue was empty.
type virtualTime struct {
	now     float64
	finish  map[string]float64 // finish tag by organisation
	pruneAt int                // number of tags at which prune runs next
}

func newVirtualTime() virtualTime {
	return virtualTime{finish: make(map[string]float64), pruneAt: minPruneSize}
}

func (v *virtualTime) start(organisation string) float64 {
	return max(v.now, v.finish[organisation])
}

func (v *virtualTime) charge(organisation string, cost float64) {
	start := v.start(organisation)
	v.now = max(v.now, start)
	v.finish[organisation] = start + cost
	if len(v.finish) >= v.pruneAt {
		v.prune()
	}
}

// correct adjusts the charge of a slot by the difference between its measured
// and its estimated cost.
func (v *virtualTime) correct(organisation string, delta float64) {
	if finish, ok := v.finish[organisation]; ok {
		v.finish[organisation] = finish + delta
	} else if delta > 0 {
		v.finish[organisation] = v.now + delta
	}
}

// prune deletes the finish tags in the past: start returns the current virtual
// time for them anyway.
func (v *virtualTime) prune() {
	for organisation, finish := range v.finish {
		if finish <= v.now {
			delete(v.finish, organisation)
		}
	}
	v.pruneAt = max(minPruneSize, 2*len(v.finish))
}
