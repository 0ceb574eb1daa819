package admission

// tagsKept is how many organisations' tags are kept before those that say
// nothing any more are dropped.
const tagsKept = 1024

// virtualTime is start-time fair queueing over organisations. Each slot is
// charged to its organisation in seconds of service; whose tag is lowest goes
// next. An organisation that was idle starts at the present virtual time, so
// that it neither saves up credit nor pays for slots it used while nobody
// waited.
type virtualTime struct {
	now     float64
	finish  map[string]float64 // by organisation
	pruneAt int
}

func newVirtualTime() virtualTime {
	return virtualTime{finish: make(map[string]float64), pruneAt: tagsKept}
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

// correct replaces the estimated cost of a slot by the measured one.
func (v *virtualTime) correct(organisation string, by float64) {
	if finish, ok := v.finish[organisation]; ok {
		v.finish[organisation] = finish + by
	} else if by > 0 {
		v.finish[organisation] = v.now + by
	}
}

// prune drops tags in the past: start gives the present for them anyway.
func (v *virtualTime) prune() {
	for organisation, finish := range v.finish {
		if finish <= v.now {
			delete(v.finish, organisation)
		}
	}
	v.pruneAt = max(tagsKept, 2*len(v.finish))
}
