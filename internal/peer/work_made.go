package peer

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/stagework"
)

// results keeps what a dispatcher on another instance has made of a job.
type results struct {
	mu    sync.Mutex // guards pieces
	kept  map[pieceID]stagework.Made
	since map[pieceID]time.Time // when its age was zero
}

// pieceID names a piece of a job.
type pieceID struct{ stage, number int }

func newResults() *results {
	return &results{kept: make(map[pieceID]stagework.Made), since: make(map[pieceID]time.Time)}
}

// keep takes results in. One that was made again replaces the one before.
func (r *results) keep(made []*peerpb.WorkMade, now time.Time) {
	if len(made) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range madeFromProto(made) {
		id := pieceID{m.Stage, m.Number}
		r.kept[id], r.since[id] = m, now.Add(-m.Age)
	}
}

// all returns the results with their age now.
func (r *results) all(now time.Time) []stagework.Made {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]stagework.Made, 0, len(r.kept))
	for id, m := range r.kept {
		m.Age = now.Sub(r.since[id])
		list = append(list, m)
	}
	return list
}

func madeToProto(made []stagework.Made) []*peerpb.WorkMade {
	list := make([]*peerpb.WorkMade, 0, len(made))
	for _, m := range made {
		list = append(list, &peerpb.WorkMade{
			Stage: uint32(m.Stage), Number: uint32(m.Number), Target: m.Target, Handle: m.Handle,
			AgeMs: uint32(max(m.Age.Milliseconds(), 0)),
		})
	}
	return list
}

func madeFromProto(made []*peerpb.WorkMade) []stagework.Made {
	list := make([]stagework.Made, 0, len(made))
	for _, m := range made {
		list = append(list, stagework.Made{
			Stage: int(m.GetStage()), Number: int(m.GetNumber()), Target: m.GetTarget(), Handle: m.GetHandle(),
			Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		})
	}
	return list
}
