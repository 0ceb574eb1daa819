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
	// askEvery is the pause between two rounds of asking while an operator
	// waits, askTimeout bounds one question, askAtOnce the questions under
	// way.
	askEvery   = 500 * time.Millisecond
	askTimeout = time.Second
	askAtOnce  = 32
)

// evidenceOfForce is what an instance that waits for the acceptance of a
// change knows beyond the membership list.
type evidenceOfForce struct {
	listed  []string // instances on the platform's list that were not met
	asked   map[string]askedMark
	askedAt time.Time
}

// askedMark is an answer of one life of an instance.
type askedMark struct {
	incarnation uint64
	mark        uint64
}

// markOf returns the mark that this life of the member answered with.
func (e evidenceOfForce) markOf(member board.Member) uint64 {
	answer, ok := e.asked[member.ID]
	if !ok || answer.incarnation != member.Incarnation {
		return 0
	}
	return answer.mark
}

// ask asks the instances for their marks. The heartbeats bring the marks too,
// but at 370 instances all marks at once take them half a minute; one round of
// questions by the one instance that wants to know costs less than passing all
// marks on to all.
func (m *Manager) ask(ctx context.Context, ids []string, known *evidenceOfForce) {
	var wg sync.WaitGroup
	var mu sync.Mutex // guards known.asked
	if known.asked == nil {
		known.asked = make(map[string]askedMark)
	}
	slots := make(chan struct{}, askAtOnce)
	for _, id := range ids {
		member, ok := m.o.Board.Members.Get(id)
		if !ok || id == m.o.Self || member.State == board.MemberDead {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := loop.WithTimeout(ctx, m.o.Clock, askTimeout)
			defer cancel()
			_, mark, _, err := m.o.Puller.Pull(callCtx, id, profile.KeyPrefix, math.MaxUint64)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			known.asked[id] = askedMark{member.Incarnation, mark}
		})
	}
	wg.Wait()
}
