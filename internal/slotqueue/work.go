package slotqueue

import (
	"math"
	"time"
)

const (
	// assumedWork is the work of a request until one of its service was answered.
	assumedWork = 60 * time.Millisecond
	// workWeight is the weight of the newest response in the typical work of a route.
	workWeight = 0.03
	// A request is judged able to be on time if its typical work and so many standard
	// deviations fit. While more arrives than can be done, a slot for a request that turns
	// out late costs another one its time. Otherwise giving up early saves nothing.
	calmDeviations       = 1.0
	overloadedDeviations = 2.0
	// maxRoutes bounds the routes whose work is learned; others count as typical ones.
	maxRoutes = 1024
)

// workStats is the typical work of a kind of requests: its duration at the usual pace, in
// seconds.
type workStats struct {
	mean, variance float64
	count          float64
}

func (w *workStats) add(work time.Duration) {
	w.count++
	weight := max(1/w.count, workWeight)
	d := work.Seconds() - w.mean
	w.mean += weight * d
	w.variance = (1 - weight) * (w.variance + weight*d*d)
}

// workModel learns the typical work of each route of a service.
type workModel struct {
	all    workStats
	routes map[string]*workStats
	took   workStats // durations of attempts as they were
}

// add adds a response that took the given time at the given mean pace.
func (m *workModel) add(route string, took time.Duration, pace float64) {
	work := time.Duration(float64(took) / pace)
	m.all.add(work)
	m.took.add(took)
	r := m.routes[route]
	if r == nil {
		if len(m.routes) >= maxRoutes {
			return
		}
		if m.routes == nil {
			m.routes = make(map[string]*workStats)
		}
		r = &workStats{}
		m.routes[route] = r
	}
	r.add(work)
}

func (m *workModel) stats(route string) *workStats {
	if r := m.routes[route]; r != nil {
		return r
	}
	return &m.all
}

// typical returns the mean work of a request of the route.
func (m *workModel) typical(route string) time.Duration {
	if s := m.stats(route); s.count > 0 {
		return max(seconds(s.mean), time.Millisecond)
	}
	return assumedWork
}

// cautious returns the typical work with the given number of standard deviations.
func (m *workModel) cautious(route string, deviations float64) time.Duration {
	if s := m.stats(route); s.count > 0 {
		return max(seconds(s.mean+deviations*math.Sqrt(s.variance)), time.Millisecond)
	}
	return 2 * assumedWork
}

// meanTook returns the mean duration of an attempt.
func (m *workModel) meanTook() time.Duration {
	if m.took.count > 0 {
		return max(seconds(m.took.mean), time.Millisecond)
	}
	return assumedWork
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
