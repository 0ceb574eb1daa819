package profilesync

import (
	"context"
	"math"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/profile"
)

const (
	// queryInterval is the pause between two rounds of queries while an operator
	// waits, queryTimeout bounds one query, and maxConcurrentQueries bounds the
	// queries in flight.
	queryInterval        = 500 * time.Millisecond
	queryTimeout         = time.Second
	maxConcurrentQueries = 32
)

// acceptanceEvidence is what an instance that waits for the acceptance of a
// change knows beyond the membership list.
type acceptanceEvidence struct {
	unmet     []string // instances on the platform's list that membership does not know
	answers   map[string]markAnswer
	queriedAt time.Time
}

// markAnswer is the mark that one incarnation of an instance answered with.
type markAnswer struct {
	incarnation uint64
	mark        uint64
}

// markOf returns the mark that the member's current incarnation answered with,
// or 0 if it did not answer.
func (e acceptanceEvidence) markOf(member board.Member) uint64 {
	answer, ok := e.answers[member.ID]
	if !ok || answer.incarnation != member.Incarnation {
		return 0
	}
	return answer.mark
}

// queryMarks asks the instances for their marks. Heartbeats carry the marks too,
// but with 370 instances it takes them half a minute to deliver all marks. One
// round of queries by the one instance that needs the marks costs less than
// distributing all marks to all instances.
func (m *Manager) queryMarks(ctx context.Context, ids []string, known *acceptanceEvidence) {
	var wg sync.WaitGroup
	var mu sync.Mutex // guards known.answers
	if known.answers == nil {
		known.answers = make(map[string]markAnswer)
	}
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, id := range ids {
		member, ok := m.o.Board.Members.Get(id)
		if !ok || id == m.o.Self || member.State == board.MemberDead {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := loop.WithTimeout(ctx, m.o.Clock, queryTimeout)
			defer cancel()
			_, mark, _, err := m.o.Puller.Pull(callCtx, id, profile.KeyPrefix, math.MaxUint64)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			known.answers[id] = markAnswer{member.Incarnation, mark}
		})
	}
	wg.Wait()
}
