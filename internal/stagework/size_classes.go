package stagework

import (
	"maps"
	"slices"
	"time"
)

// sizeClass is the class of a job among those of its route at a service.
type sizeClass int

// The size classes.
const (
	sizeUsual   sizeClass = iota
	sizeLarge             // the fifth below the largest tenth
	sizeLargest           // the largest tenth
	sizeClasses
)

// Parameters of the size classes.
const (
	// sizeSamples is the number of recent jobs of a route by whose sizes the
	// classes are determined; sizeUpdate is the number of jobs after which the
	// classes are determined anew.
	sizeSamples = 64
	sizeUpdate  = 16
	// Quantiles of the sizes from which on jobs are in the classes.
	largestQuantile = 0.9
	largeQuantile   = 0.7
	medianQuantile  = 0.5
	// minClassShare is the on-time share of a class, relative to that of the
	// route, below which its jobs do not become late for others. It is above
	// the promised half since counts follow the decisions.
	minClassShare = 0.75
	// minClassRequests is the decayed number of jobs from which on a class is
	// compared with its route.
	minClassRequests = 1.0
)

// routeSizes holds the recent jobs of a route at a service by size class.
type routeSizes struct {
	classes        [sizeClasses]onTimeAndLate // numbers of jobs
	samples        []float64                  // sizes of the latest jobs, a ring
	counted        int
	large, largest float64 // sizes from which on jobs are in the classes; 0 = none are
}

// route returns the record of the route, and creates it if necessary.
func (s *serviceShares) route(name string, now time.Time) *routeSizes {
	if s.routes == nil {
		s.routes = make(map[string]*routeSizes)
	}
	r := s.routes[name]
	if r == nil {
		if len(s.routes) >= maxShareEntries {
			s.pruneRoutes(now)
		}
		r = &routeSizes{}
		s.routes[name] = r
	}
	return r
}

// pruneRoutes drops the routes that have not been active for some time; all of
// them if that is not enough, since no route's counts are worth more than
// another's.
func (s *serviceShares) pruneRoutes(now time.Time) {
	maps.DeleteFunc(s.routes, func(_ string, r *routeSizes) bool { return r.all(now).all() < shareForgetBelow })
	if len(s.routes) > maxShareEntries/2 {
		clear(s.routes)
	}
}

// count counts a job and returns its class.
func (r *routeSizes) count(size float64, now time.Time) sizeClass {
	if len(r.samples) < sizeSamples {
		r.samples = append(r.samples, size)
	} else {
		r.samples[r.counted%sizeSamples] = size
	}
	r.counted++
	if r.counted%sizeUpdate == 0 {
		r.updateLimits()
	}
	class := r.classOf(size)
	r.classes[class].add(1, now)
	return class
}

// updateLimits determines the classes from the samples. A class whose limit is
// not above the median does not exist: nearly all sizes are equal.
func (r *routeSizes) updateLimits() {
	sorted := slices.Sorted(slices.Values(r.samples))
	at := func(quantile float64) float64 { return sorted[int(quantile*float64(len(sorted)))] }
	median := at(medianQuantile)
	r.large, r.largest = 0, 0
	if q := at(largestQuantile); q > median {
		r.largest = q
	}
	if q := at(largeQuantile); q > median && q < r.largest {
		r.large = q
	}
}

func (r *routeSizes) classOf(size float64) sizeClass {
	switch {
	case r.largest > 0 && size >= r.largest:
		return sizeLargest
	case r.large > 0 && size >= r.large:
		return sizeLarge
	}
	return sizeUsual
}

// all returns the numbers of jobs of all classes.
func (r *routeSizes) all(now time.Time) *onTimeAndLate {
	sum := &onTimeAndLate{updated: now}
	for i := range r.classes {
		c := r.classes[i].at(now)
		sum.onTime += c.onTime
		sum.late += c.late
	}
	return sum
}

// protected reports whether the class is on time so much less often than its
// route that its jobs should not become late for others.
func (r *routeSizes) protected(class sizeClass, now time.Time) bool {
	if class == sizeUsual {
		return false
	}
	c, all := r.classes[class].at(now), r.all(now)
	return c.all() >= minClassRequests && c.onTimeShare() < minClassShare*all.onTimeShare()
}

// sizeProtected reports whether the job's size class keeps it from becoming late for
// others at the service.
func (j *job) sizeProtected(v *service, now time.Time) bool {
	s, r := j.shares.of(v), v.shares.routes[j.Route]
	return s != nil && r != nil && r.protected(s.class, now)
}

// nominalSize is the part of a full call or of a target's memory that a piece
// takes, whichever is greater. Unlike pieceTime, it does not depend on measured
// durations.
func (v *service) nominalSize(bytes int64) float64 {
	size := 1 / float64(v.batch())
	if v.limits.ResultMemory > 0 {
		size = max(size, float64(bytes)/float64(v.limits.ResultMemory))
	}
	return size
}
