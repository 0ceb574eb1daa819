package peer

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/stagework"
)

// results holds the pieces of a job that a dispatcher on another instance has produced.
type results struct {
	mu     sync.Mutex // guards pieces and madeAt
	pieces map[pieceID]stagework.ResultRef
	madeAt map[pieceID]time.Time // when the age of the piece was zero, by this instance's clock
}

// pieceID identifies a piece of a job.
type pieceID struct{ stage, number int }

func newResults() *results {
	return &results{pieces: make(map[pieceID]stagework.ResultRef), madeAt: make(map[pieceID]time.Time)}
}

// put stores results. A piece that was produced again replaces the previous one.
func (r *results) put(made []*peerpb.WorkMade, now time.Time) {
	if len(made) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range madeFromProto(made) {
		id := pieceID{m.Stage, m.Number}
		r.pieces[id], r.madeAt[id] = m, now.Add(-m.Age)
	}
}

// list returns the results with their current age.
func (r *results) list(now time.Time) []stagework.ResultRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]stagework.ResultRef, 0, len(r.pieces))
	for id, m := range r.pieces {
		m.Age = now.Sub(r.madeAt[id])
		list = append(list, m)
	}
	return list
}

func madeToProto(made []stagework.ResultRef) []*peerpb.WorkMade {
	list := make([]*peerpb.WorkMade, 0, len(made))
	for _, m := range made {
		list = append(list, &peerpb.WorkMade{
			Stage: uint32(m.Stage), Number: uint32(m.Number), Target: m.Target, Handle: m.Handle,
			AgeMs: uint32(max(m.Age.Milliseconds(), 0)),
		})
	}
	return list
}

func madeFromProto(made []*peerpb.WorkMade) []stagework.ResultRef {
	list := make([]stagework.ResultRef, 0, len(made))
	for _, m := range made {
		list = append(list, stagework.ResultRef{
			Stage: int(m.GetStage()), Number: int(m.GetNumber()), Target: m.GetTarget(), Handle: m.GetHandle(),
			Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		})
	}
	return list
}
