package stages

import (
	"fmt"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// failTime is how long a failing target takes to fail a call.
const failTime = 30 * time.Millisecond

// server is a stage target. It takes room for results when a call begins, and
// works on after a call was given up.
type server struct {
	day           *day
	target        fleet.Target
	limits        route.Pieces
	factor        float64 // of the time that its calls take
	failing, gone bool
	working       int
	held          map[string]*result
	open          []*call
}

// result is what a target made.
type result struct {
	handle string
	server *server
	bytes  int64
	until  time.Time
}

// call is a call of a stage target by an instance.
type call struct {
	stagework.StepCall
	from  *instance
	ended bool
}

// there reports whether the result can be read.
func (r *result) there(now time.Time) bool {
	return r != nil && !r.server.gone && r.server.held[r.handle] == r && now.Before(r.until)
}

// used is the room that results take, in bytes. Those past their lifetime are
// dropped.
func (s *server) used() int64 {
	sum := int64(0)
	for handle, r := range s.held {
		if s.day.now.Before(r.until) {
			sum += r.bytes
		} else {
			delete(s.held, handle)
		}
	}
	return sum
}

// end tells the caller how the call ended, once.
func (c *call) end(results []relay.PieceResult, full bool) {
	if c.ended {
		return
	}
	c.ended = true
	if c.from.dead {
		return
	}
	c.Finished(results, full, c.from.day.now)
	c.from.proceed()
}

// run begins a call.
func (s *server) run(c *call) {
	d := s.day
	d.after(c.Limit, func() { c.end(nil, false) })
	switch {
	case s.gone:
		d.after(hop, func() { c.end(nil, false) })
	case s.failing:
		d.after(failTime, func() { c.end(nil, false) })
	case s.working >= s.limits.Slots:
		d.out.Full++
		d.after(hop, func() { c.end(nil, true) })
	default:
		s.work(c)
	}
}

// work makes the pieces that can be made.
func (s *server) work(c *call) {
	results, made, fetched := s.begin(c.Pieces)
	if len(made) == 0 {
		s.day.after(hop, func() { c.end(results, false) })
		return
	}
	own := s.limits.CallTime + time.Duration(len(made))*s.limits.ItemTime
	takes := time.Duration(float64(own)*s.factor*s.day.jitter()) + transfer(fetched)
	for _, r := range made {
		r.until = s.day.now.Add(takes + s.limits.ResultLifetime)
	}
	s.working++
	s.open = append(s.open, c)
	s.day.after(takes, func() { s.finish(c, results) })
}

// finish ends a call. A target that has vanished meanwhile has failed it then.
func (s *server) finish(c *call, results []relay.PieceResult) {
	if s.gone {
		return
	}
	s.working--
	for i, o := range s.open {
		if o == c {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	for i, r := range results {
		if r.Status == relay.PieceDone {
			s.day.made(c.Pieces[i])
		}
	}
	c.end(results, false)
}

// begin decides about each piece and takes the room. fetched is the bytes of
// inputs from other zones.
func (s *server) begin(pieces []relay.Piece) (results []relay.PieceResult, made []*result, fetched int64) {
	free := s.limits.ResultMemory - s.used()
	for _, p := range pieces {
		bytes := s.day.requests[p.ID].job.Stages[p.Stage].ResultBytes
		far, ok := s.day.inputs(p.Inputs, s.target.Zone)
		switch {
		case !ok:
			results = append(results, relay.PieceResult{Status: relay.PieceInputMissing})
		case bytes > free:
			s.day.out.NoRoom++
			results = append(results, relay.PieceResult{Status: relay.PieceNoMemory})
		default:
			free -= bytes
			fetched += far
			r := s.hold(bytes)
			made = append(made, r)
			results = append(results, relay.PieceResult{Handle: r.handle})
		}
	}
	s.day.out.Moved += fetched
	return results, made, fetched
}

func (s *server) hold(bytes int64) *result {
	s.day.handles++
	r := &result{handle: fmt.Sprintf("%s#%d", s.target.ID, s.day.handles), server: s, bytes: bytes}
	s.held[r.handle] = r
	s.day.results[r.handle] = r
	return r
}

// inputs returns the bytes of results that lie outside the zone, and whether
// all are there.
func (d *day) inputs(handles []string, zone string) (far int64, ok bool) {
	for _, h := range handles {
		r := d.results[h]
		if !r.there(d.now) {
			return 0, false
		}
		if r.server.target.Zone != zone {
			far += r.bytes
		}
	}
	return far, true
}

func transfer(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / linkSpeed * float64(time.Second))
}

// free gives up results at their makers.
func (d *day) free(handles []string) {
	for _, h := range handles {
		if r := d.results[h]; r != nil {
			delete(r.server.held, h)
			delete(d.results, h)
		}
	}
}

// vanish loses what the target holds and fails its calls.
func (s *server) vanish() {
	s.gone = true
	open := s.open
	s.open = nil
	for _, c := range open {
		c.end(nil, false)
	}
}
