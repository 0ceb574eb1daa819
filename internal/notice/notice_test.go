package notice

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
)

func limitOf(rate float64) fleet.Notice { return fleet.Notice{Limit: &rate} }

// TestAnswered tells what is kept of the answers of one target, one after the
// other, a second apart.
func TestAnswered(t *testing.T) {
	type answer struct {
		fleet.Notice
		failed bool
	}
	said := func(n fleet.Notice) answer { return answer{Notice: n} }
	for _, c := range []struct {
		name    string
		answers []answer
		leaving bool
		limit   float64 // -1 = none
		paused  bool
	}{
		{"nothing", []answer{said(fleet.Notice{})}, false, -1, false},
		{"leaving", []answer{said(fleet.Notice{Leaving: true})}, true, -1, false},
		{"leaving is not taken back", []answer{said(fleet.Notice{Leaving: true}), said(fleet.Notice{})}, true, -1, false},
		{"another target answers", []answer{{Notice: fleet.Notice{From: "b", Limit: limitOf(1).Limit, Pause: time.Minute}, failed: true}}, true, -1, false},
		{"the target names itself", []answer{said(fleet.Notice{From: "a", Limit: limitOf(1).Limit})}, false, 1, false},
		{"limit", []answer{said(limitOf(1.2))}, false, 1.2, false},
		{"another limit", []answer{said(limitOf(1.2)), said(limitOf(3))}, false, 3, false},
		{"limit of nothing", []answer{said(limitOf(0))}, false, 0, false},
		{"limit ended", []answer{said(limitOf(1.2)), said(fleet.Notice{})}, false, -1, false},
		{"limit is not ended by a failure", []answer{said(limitOf(1.2)), {failed: true}}, false, 1.2, false},
		{"limit is not ended by what can't be read", []answer{said(limitOf(1.2)), {Notice: fleet.Notice{Unreadable: "x"}, failed: true}}, false, 1.2, false},
		{"pause", []answer{{Notice: fleet.Notice{Pause: 2 * time.Second}, failed: true}}, false, -1, true},
		{"pause is over", []answer{{Notice: fleet.Notice{Pause: 500 * time.Millisecond}, failed: true}}, false, -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := board.New()
				k := New(Options{Board: b})
				for _, a := range c.answers {
					x := k.Sent("a")
					time.Sleep(time.Second)
					x.Answered(a.Notice, !a.failed)
				}
				time.Sleep(time.Second)
				row, _ := b.Notices.Get("a")
				limit := -1.0
				if row.Limit.Named {
					limit = row.Limit.Rate
				}
				if paused := time.Now().Before(row.PausedTo); row.Leaving != c.leaving || limit != c.limit || paused != c.paused {
					t.Errorf("%+v, limit %v, paused %v", row, limit, paused)
				}
			})
		})
	}
}

// Symptom: a target in need is given its full share for a moment, again and again. Events: of two answers the one that was
// given first comes last, over a link that loses packets; it names no limit, the other did. Cause: the last one to come was
// taken for the newest.
func TestOvertakenAnswerEndsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New()
		k := New(Options{Board: b})
		early, late := k.Sent("a"), k.Sent("a")
		time.Sleep(time.Second)
		late.Answered(limitOf(1), true)
		early.Answered(fleet.Notice{}, true)
		if row, _ := b.Notices.Get("a"); !row.Limit.Named {
			t.Error("the limit has ended")
		}
	})
}

// TestEachChangeHasItsLine shows that the log tells which instance heard what of which target, once a change and not with
// each answer.
func TestEachChangeHasItsLine(t *testing.T) {
	var out bytes.Buffer
	k := New(Options{Logger: event.NewLogger(log.NewLogfmtLogger(&out))})
	for range 3 {
		for _, n := range []fleet.Notice{limitOf(1.5), {Leaving: true, Limit: limitOf(1.5).Limit}, {Unreadable: "bad", Limit: limitOf(1.5).Limit}} {
			k.Sent("i-1").Answered(n, true)
		}
	}
	for line, times := range map[string]int{
		"msg=notice_limit target=i-1 per_second=1.5 before=0": 1, "msg=notice_leaving target=i-1": 1, "msg=notice_unreadable target=i-1 err=bad": 3,
	} {
		if got := strings.Count(out.String(), line); got != times {
			t.Errorf("%q stands %d times instead of %d in\n%s", line, got, times, out.String())
		}
	}
}
