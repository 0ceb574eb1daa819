package stagework

import (
	"maps"
	"math"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// Times and factors of the view of stage targets.
const (
	// paceWeight is the weight of the newest call in a target's pace.
	paceWeight = 0.4
	// A call that takes longer than hangFactor times what is expected, plus
	// hangMargin, is given up: its pieces are made elsewhere. Without this a
	// target that hangs holds its pieces until the caller has gone.
	hangFactor = 1.8
	hangMargin = 250 * time.Millisecond
	// suspectMin and suspectMax bound how long a target that failed gets no
	// work; the time doubles with each failure in a row.
	suspectMin = 400 * time.Millisecond
	suspectMax = 4 * time.Second
	// fullPause is how long a target that had no free place gets no work.
	fullPause = 40 * time.Millisecond
	// roomShare is the share of a target's stated room that is used: sizes of
	// results are approximate.
	roomShare = 0.97
	// paceHalfLife is how fast a target's pace is forgotten while it has no
	// calls, so that one that has recovered is tried again.
	paceHalfLife = 2 * time.Second
	// paceForgotten is the time after which nothing is left of it: a half to
	// this many half-lives is 0 in a float64.
	paceForgotten = 1100 * paceHalfLife
	// roomLearnt is how long a target that refused for want of room is taken to
	// hold results that this dispatcher does not know.
	roomLearnt = 500 * time.Millisecond
)

// server is a stage target as the dispatcher sees it.
type server struct {
	target   fleet.Target
	service  *service
	gone     bool
	calls    int
	busyTill time.Time
	room     int64   // of results that run or lie there
	pace     float64 // what its calls take, against what is stated
	fails    int
	pausedTo time.Time
	// foreign is room that results of other dispatchers take, until foreignTo.
	foreign   int64
	foreignTo time.Time
	limited   allowance.Window // calls while it names a limit
}

// usable reports whether the server may get a call now.
func (s *server) usable(now time.Time) bool {
	return s.idle() && !now.Before(s.pausedTo) && !s.spared(now)
}

// idle reports whether the server may get a call unless it is paused.
func (s *server) idle() bool {
	return !s.gone && !s.target.Draining && s.calls < max(s.service.limits.Slots, 1)
}

// alive reports whether the server counts as capacity.
func (s *server) alive(now time.Time) bool {
	return !s.gone && !s.target.Draining && now.After(s.pausedTo.Add(-suspectMin)) && !s.spared(now)
}

// fits reports whether a result of the size has room.
func (s *server) fits(bytes int64, now time.Time) bool { return bytes <= s.freeRoom(now) }

// freeRoom is what is left of the room, below 0 if more is taken than counts.
func (s *server) freeRoom(now time.Time) int64 {
	taken := s.room
	if now.Before(s.foreignTo) {
		taken += s.foreign
	}
	return int64(float64(s.service.limits.ResultRoom)*roomShare) - taken
}

// refusedRoom takes in that results did not fit that should have: what is left
// of the room beside the known ones is taken by others, such as those of a
// dispatcher that died. Without this the target is sent pieces again at once,
// in calls that are refused within milliseconds.
func (s *server) refusedRoom(now time.Time) {
	s.foreign = max(int64(float64(s.service.limits.ResultRoom)*roomShare)-s.room, 0)
	s.foreignTo = now.Add(roomLearnt)
}

// reported takes in a report of the target: what is taken there and not by this
// dispatcher.
func (s *server) reported(freeRoom int64, now time.Time) {
	s.foreign = max(s.service.limits.ResultRoom-freeRoom-s.room, 0)
	s.foreignTo = now.Add(s.service.limits.ResultLifetime)
}

// succeeded takes in how long a call took.
func (s *server) succeeded(nominal, took time.Duration) {
	s.fails = 0
	if nominal <= 0 {
		return
	}
	s.pace += paceWeight * (float64(took)/float64(nominal) - s.pace)
}

// failed keeps the server from work for a while.
func (s *server) failed(now time.Time) {
	pause := time.Duration(float64(suspectMin) * math.Pow(2, float64(min(s.fails, 8))))
	s.fails++
	s.pausedTo = now.Add(min(pause, suspectMax))
}

// paceAt is the target's pace, which is forgotten while it has no calls.
func (s *server) paceAt(now time.Time) float64 {
	usual := s.service.pace
	idle := now.Sub(s.busyTill)
	switch {
	case idle <= 0:
		return s.pace
	case s.pace == usual || idle > paceForgotten:
		return usual
	}
	return usual + (s.pace-usual)*math.Pow(0.5, float64(idle)/float64(paceHalfLife))
}

// service is a stage service.
type service struct {
	name    string
	number  int // in the order in which services were declared
	limits  route.Pieces
	bounds  Bounds
	servers map[string]*server
	order   []*server // servers by id, so that runs repeat
	units   []*unit   // with pieces that wait, in no order
	queued  int       // units that were ever put to wait
	// Memory of the newest round, used again by the next.
	candidates  []candidate
	ready, rest []*unit
	soon        []coming
	// reserved is the room set aside for units, from before their first piece
	// is made until their results are freed.
	reserved int64
	// pace is what calls take against what is stated, over all servers.
	pace   float64
	load   loadMeter
	shares shares
	// arrivals counts pieces of requests' first stages.
	arrivals loadMeter
	// hold is how long results lie after their call, on average.
	hold time.Duration
}

// callTime is what a call with n pieces takes, as stated.
func (v *service) callTime(n int) time.Duration {
	return v.limits.CallTime + time.Duration(n)*v.limits.ItemTime
}

// expect is what a call with n pieces takes on a server like most.
func (v *service) expect(n int) time.Duration {
	return time.Duration(float64(v.callTime(n)) * v.pace)
}

// outlook returns how many targets count as capacity, and the time until the
// first of them is free.
func (v *service) outlook(now time.Time) (alive int, firstFree time.Duration) {
	for _, s := range v.order {
		if !s.alive(now) {
			continue
		}
		if wait := max(s.busyTill.Sub(now), 0); alive == 0 || wait < firstFree {
			firstFree = wait
		}
		alive++
	}
	return alive, firstFree
}

// arrange puts the targets in order after one came or went.
func (v *service) arrange() {
	v.order = slices.SortedFunc(maps.Values(v.servers), func(a, b *server) int { return compare(a.target.ID, b.target.ID) })
}

// batch is the largest number of pieces of a call.
func (v *service) batch() int { return max(v.limits.Batch, 1) }

// admits reports whether the unit's results can all be given room such that
// every unit that was admitted before can still be finished, with so many targets
// alive.
//
// What goes wrong without it: targets fill up with results of many half-made
// requests, none of which gets room for its last piece. One notices it by
// refusals for want of room while no call is in progress. Room is therefore
// set aside for whole units, less one result a target for what cannot be
// divided.
//
// What goes wrong if only the unit itself were counted: of a request that uses
// the service twice in a row, first results fill the room and no second stage
// ever fits.
func (v *service) admits(u *unit, alive int) bool {
	need := int64(0)
	for _, w := range u.chain() {
		if !w.reserved {
			need += w.size()
		}
	}
	if v.reserved == 0 {
		return true
	}
	n := int64(alive)
	total := n*int64(float64(v.limits.ResultRoom)*roomShare) - n*u.bytes
	return v.reserved+need <= total
}

// reserve sets room aside for the unit and those after it at the same service.
func (v *service) reserve(u *unit) {
	for _, w := range u.chain() {
		if !w.reserved {
			w.reserved = true
			v.reserved += w.size()
		}
	}
}

// unreserve takes back the room of the unit and of those after it that have not
// begun.
func (v *service) unreserve(u *unit) {
	for _, w := range u.chain() {
		if w.reserved && w.waiting == len(w.pieces) {
			w.reserved = false
			v.reserved -= w.size()
		}
	}
}

// size is the room that all results of the unit take.
func (u *unit) size() int64 { return int64(len(u.pieces)) * u.bytes }

// chain is the unit and the units of its service that depend on it.
func (u *unit) chain() []*unit {
	list := []*unit{u}
	for _, f := range u.followers {
		for _, w := range f.chain() {
			if w.service == u.service && !slices.Contains(list, w) && !w.freed {
				list = append(list, w)
			}
		}
	}
	return list
}
