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

// TestAnswered checks which notices are kept after a sequence of responses of one
// target, one second apart.
func TestAnswered(t *testing.T) {
	type response struct {
		fleet.Notice
		failed bool
	}
	served := func(n fleet.Notice) response { return response{Notice: n} }
	for _, c := range []struct {
		name      string
		responses []response
		leaving   bool
		limit     float64 // -1 = none
		paused    bool
	}{
		{"nothing", []response{served(fleet.Notice{})}, false, -1, false},
		{"leaving", []response{served(fleet.Notice{Leaving: true})}, true, -1, false},
		{"leaving is not withdrawn", []response{served(fleet.Notice{Leaving: true}), served(fleet.Notice{})}, true, -1, false},
		{"another target responds", []response{{Notice: fleet.Notice{From: "b", Limit: limitOf(1).Limit, Pause: time.Minute}, failed: true}}, true, -1, false},
		{"the target identifies itself", []response{served(fleet.Notice{From: "a", Limit: limitOf(1).Limit})}, false, 1, false},
		{"limit", []response{served(limitOf(1.2))}, false, 1.2, false},
		{"another limit", []response{served(limitOf(1.2)), served(limitOf(3))}, false, 3, false},
		{"limit of zero", []response{served(limitOf(0))}, false, 0, false},
		{"limit ended", []response{served(limitOf(1.2)), served(fleet.Notice{})}, false, -1, false},
		{"limit is not ended by a failure", []response{served(limitOf(1.2)), {failed: true}}, false, 1.2, false},
		{"unreadable notice does not end a limit", []response{served(limitOf(1.2)), {Notice: fleet.Notice{Unreadable: "x"}, failed: true}}, false, 1.2, false},
		{"pause", []response{{Notice: fleet.Notice{Pause: 2 * time.Second}, failed: true}}, false, -1, true},
		{"pause has ended", []response{{Notice: fleet.Notice{Pause: 500 * time.Millisecond}, failed: true}}, false, -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := board.New()
				k := New(Options{Board: b})
				for _, a := range c.responses {
					x := k.BeginRequest("a")
					time.Sleep(time.Second)
					x.ResponseReceived(a.Notice, !a.failed)
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

// Guards against an overloaded target that repeatedly receives its full load for a moment. Over a link that loses packets,
// an earlier response without a limit arrived after a later one with a limit, and the last to arrive counted as the newest.
func TestLimitSurvivesReorderedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New()
		k := New(Options{Board: b})
		early, late := k.BeginRequest("a"), k.BeginRequest("a")
		time.Sleep(time.Second)
		late.ResponseReceived(limitOf(1), true)
		early.ResponseReceived(fleet.Notice{}, true)
		if row, _ := b.Notices.Get("a"); !row.Limit.Named {
			t.Error("the limit has ended")
		}
	})
}

// TestChangeIsLoggedOnce checks that the log names the target of each change and what changed, and that a change is logged
// once and not for each response.
func TestChangeIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	k := New(Options{Logger: event.NewLogger(log.NewLogfmtLogger(&out))})
	for range 3 {
		for _, n := range []fleet.Notice{limitOf(1.5), {Leaving: true, Limit: limitOf(1.5).Limit}, {Unreadable: "bad", Limit: limitOf(1.5).Limit}} {
			k.BeginRequest("i-1").ResponseReceived(n, true)
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
