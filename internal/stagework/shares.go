package stagework

import (
	"math"
	"time"
)

const (
	// sharesFade is the time over which it is counted how well kinds of requests
	// are served: a few times what a request takes.
	sharesFade = 3 * time.Second
	// fairWait is how much more a wait counts for a kind all of which is on time
	// while nothing of another is. A kind is not held to more if it does not have
	// to wait, since that would help nobody.
	fairWait = 1.0
	// sharesLeast is the number of requests within sharesFade from which on a
	// kind counts.
	sharesLeast = 2.0
	// sharesNone is the number below which a kind is forgotten.
	sharesNone = 0.01
)

// shares counts at one service how large a part of each kind of request is held
// to be on time.
//
// What goes wrong without it: of two kinds that wait for the same targets one has
// a hundred milliseconds more, or a stage less. In a burst its requests are taken
// until the queue is just as long as they can bear, and the other kind finds it
// too long each time. One notices a kind of which a quarter is on time while
// others have three quarters.
type shares struct {
	kinds map[string]*kindShare // by route
}

// kindShare counts requests, fading.
type kindShare struct {
	asked, late float64
	at          time.Time
}

func (s *shares) of(route string, now time.Time) *kindShare {
	if s.kinds == nil {
		s.kinds = make(map[string]*kindShare)
	}
	k := s.kinds[route]
	if k == nil {
		k = &kindShare{at: now}
		s.kinds[route] = k
	}
	k.fade(now)
	return k
}

func (k *kindShare) fade(now time.Time) {
	left := math.Exp(-float64(now.Sub(k.at)) / float64(sharesFade))
	k.asked, k.late, k.at = k.asked*left, k.late*left, now
}

// onTime is the part that is on time.
func (k *kindShare) onTime() float64 { return max(1-k.late/k.asked, 0) }

// surplus is the part that is added to the waits of a request of the route when
// it is judged: the more, the better its kind is served than the worst.
func (s *shares) surplus(route string, now time.Time) float64 {
	own := s.of(route, now)
	if own.asked < sharesLeast {
		return 0
	}
	worst := own.onTime()
	for name, k := range s.kinds {
		k.fade(now)
		switch {
		case k.asked >= sharesLeast:
			worst = min(worst, k.onTime())
		case k.asked < sharesNone:
			delete(s.kinds, name) // deployments may declare thousands of routes
		}
	}
	return fairWait * (own.onTime() - worst)
}

// countAsked counts a new job at the services that it needs.
func (j *job) countAsked(now time.Time) {
	var counted *service
	for _, u := range j.units {
		if u.service != counted {
			u.service.shares.of(j.Route, now).asked++
			counted = u.service
		}
	}
}
