package emulator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a Fail fault that does not run the request, and a Shed fault that
// runs it or does not mark it as not executed.
func TestFailRunsRequestAndShedRefusesIt(t *testing.T) {
	for _, c := range []struct {
		faults Faults
		status int
		runs   int
	}{{Faults{Fail: 1}, 500, 1}, {Faults{Shed: 1}, 503, 0}} {
		for service, ask := range map[string]Ask{"talk": talk(), "plain": askFor(NonIdempotent, "/plain/x?y=1")} {
			synctest.Test(t, func(t *testing.T) {
				w, client := newWorld(t, &Memory{}, service)
				defer w.Close()
				defer client.Close()
				w.Servers(service)[0].SetFaults(c.faults)
				a := client.Do(t.Context(), ask)
				if a.Status != c.status || len(w.Journal.Runs()) != c.runs || (a.Header.Get("Not-Executed") != "") != (c.runs == 0) {
					t.Errorf("%s with %+v: status %d, runs %v", service, c.faults, a.Status, w.Journal.Runs())
				}
			})
		}
	}
}

// Guards against a violation of the bound that is missed, or reported where there is none.
func TestRepeatBound(t *testing.T) {
	bound, start := RepeatBound{Ratio: 0.2, Extra: 2, Window: 10 * time.Second}, time.Unix(1000, 0)
	at := func(seconds ...float64) (times []time.Time) {
		for _, s := range seconds {
			times = append(times, start.Add(time.Duration(s*float64(time.Second))))
		}
		return times
	}
	tenAt := func(second float64) []time.Time {
		return at(repeated(second, 10)...)
	}
	for _, c := range []struct {
		name              string
		requests, repeats []time.Time
		broken            bool
	}{
		{"extra repeats only", nil, at(1, 2), false},
		{"one above the extra", nil, at(1, 2, 3), true},
		{"one more outside the window", nil, at(1, 2, 11.5), false},
		{"within the ratio of requests", tenAt(1), at(2, 3, 4, 5), false},
		{"one above the ratio", tenAt(1), at(2, 3, 4, 5, 6), true},
		{"requests in the previous window", tenAt(1), at(12, 13, 14, 15), false},
		{"requests too long ago", tenAt(1), at(32, 33, 34, 35), true},
	} {
		if v, broken := bound.worstWindow("s", "a", c.requests, c.repeats); broken != c.broken || broken && !strings.Contains(v.Detail, "allowed") {
			t.Errorf("%s: %v, %v", c.name, broken, v)
		}
	}
}

// repeated returns a list of n times the same second.
func repeated(second float64, n int) (list []float64) {
	for range n {
		list = append(list, second)
	}
	return list
}

// Guards against a second arrival that is not counted, and a first arrival that is.
func TestCheckRepeatsCountsArrivalsBeyondTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, client := newWorld(t, &Memory{}, "plain")
		defer w.Close()
		defer client.Close()
		ask := askFor(NonIdempotent, "/plain/x?y=1")
		a := client.Do(t.Context(), ask)
		if found := w.CheckRepeats(RepeatBound{Window: time.Second}, client); len(found) != 0 {
			t.Errorf("one arrival: %v", found)
		}
		server := w.Servers("plain")[0]
		w.Journal.arrivals = append(w.Journal.arrivals, arrival{attempt: a.ID, service: server.Service, at: time.Now()})
		if found := w.CheckRepeats(RepeatBound{Window: time.Second}, client); len(found) != 1 || found[0].Name != NameRepeats {
			t.Errorf("two arrivals: %v", found)
		}
	})
}
