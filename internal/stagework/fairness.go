package stagework

import (
	"math"
	"time"
)

const (
	// fairnessDecay is the time constant of the decay of a route's request
	// counts: a few times the duration of a request.
	fairnessDecay = 3 * time.Second
	// maxWaitPenalty is the factor by which the predicted wait is increased for
	// a route with all requests on time while another route has none on time.
	// The penalty applies to the wait only: rejecting a request that does not
	// have to wait would free no capacity for others.
	maxWaitPenalty = 1.0
	// fairnessMinRequests is the decayed request count from which on a route is
	// compared with others.
	fairnessMinRequests = 2.0
	// fairnessForgetBelow is the decayed request count below which a route's
	// record is dropped.
	fairnessForgetBelow = 0.01
)

// fairness tracks, for one service, the share of each route's requests that are
// predicted to be on time.
//
// It compensates for differences between routes that need the same targets.
// Without it, a route with a hundred milliseconds more time, or with one stage
// less, crowds out another in a burst: its requests are accepted until the
// queue is as long as they can tolerate, which is always too long for the other
// route. The symptom is a route with a quarter of its requests on time while
// others have three quarters.
type fairness struct {
	byRoute map[string]*routeStats
}

// routeStats holds exponentially decaying request counts of a route.
type routeStats struct {
	requests, late float64
	updated        time.Time
}

func (s *fairness) stats(route string, now time.Time) *routeStats {
	if s.byRoute == nil {
		s.byRoute = make(map[string]*routeStats)
	}
	k := s.byRoute[route]
	if k == nil {
		k = &routeStats{updated: now}
		s.byRoute[route] = k
	}
	k.decay(now)
	return k
}

func (k *routeStats) decay(now time.Time) {
	left := math.Exp(-float64(now.Sub(k.updated)) / float64(fairnessDecay))
	k.requests, k.late, k.updated = k.requests*left, k.late*left, now
}

// onTimeShare is the share of requests that are predicted to be on time.
func (k *routeStats) onTimeShare() float64 { return max(1-k.late/k.requests, 0) }

// waitPenalty is the factor by which the predicted wait of a request of the
// route is increased when it is classified: the larger, the better the route is
// served compared with the worst one.
func (s *fairness) waitPenalty(route string, now time.Time) float64 {
	own := s.stats(route, now)
	if own.requests < fairnessMinRequests {
		return 0
	}
	worst := own.onTimeShare()
	for name, k := range s.byRoute {
		k.decay(now)
		switch {
		case k.requests >= fairnessMinRequests:
			worst = min(worst, k.onTimeShare())
		case k.requests < fairnessForgetBelow:
			delete(s.byRoute, name) // deployments may declare thousands of routes
		}
	}
	return maxWaitPenalty * (own.onTimeShare() - worst)
}

// countRequest counts a new job at each service that it needs.
func (j *job) countRequest(now time.Time) {
	var counted *service
	for _, u := range j.units {
		if u.service != counted {
			u.service.fairnessFor(j).stats(j.Route, now).requests++
			counted = u.service
		}
	}
}

// fairnessFor returns the records of the routes with which the job's route is
// compared. With shares, they are those of its priority: otherwise, a more urgent
// route would be late because a less urgent one is.
func (v *service) fairnessFor(j *job) *fairness {
	if j.shares.inForce {
		return &v.shares.priority(j.Priority).fairness
	}
	return &v.fairness
}
