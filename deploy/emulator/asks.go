package emulator

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Names of broken promises about what servers ask of machines in their answers.
const (
	NameLimit   = "limit"   // a server got more requests than the limit that it names allows
	NameLeaving = "leaving" // a server that says that it leaves got a request
	NamePause   = "pause"   // a server that turned a machine away got requests from it too soon
)

const (
	limitWindow = 4 * time.Second
	limitSlack  = 1.5 // by which a limit may be exceeded
	limitExtra  = 5   // requests beside

	pauseHeard = 500 * time.Millisecond // from a refusal until it is heeded
	pauseExtra = 2                      // requests of a machine that may come all the same
)

// asks is what a server asks of machines in its answers, and what it gets.
type asks struct {
	mu sync.Mutex

	limited   bool
	limit     float64     // requests a second
	countFrom time.Time   // arrivals are held to the limit from then on
	arrived   []time.Time // within limitWindow
	most      int         // arrivals in limitWindow while limited

	leaving     bool
	leaveWithin time.Duration
	toldLeaving map[string]time.Time // by machine, the first time

	misdirected map[string][]time.Time // requests for another server, by machine

	pause     time.Duration        // all requests are turned away for so long; 0 = none are
	pausedAt  map[string]time.Time // by machine
	afterward map[string]int       // requests of a machine within its pause
}

// AskLimit makes the server name a limit in all its answers. What arrives is
// held to it once the machines have had time to hear.
func (t *Target) AskLimit(perSecond float64, heardWithin time.Duration) {
	a := &t.asks
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limited, a.limit, a.countFrom, a.arrived = true, perSecond, time.Now().Add(heardWithin), nil
}

// EndLimit ends AskLimit. It returns the most requests that arrived within the
// time that counts, since they were held to the limit.
func (t *Target) EndLimit() int {
	a := &t.asks
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limited = false
	return a.most
}

// AskLeaving makes the server say in all its answers that it leaves, as its
// entry does not. A machine that was told is to send nothing after the bound.
func (t *Target) AskLeaving(within time.Duration) {
	a := &t.asks
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving, a.leaveWithin, a.toldLeaving = true, within, make(map[string]time.Time)
}

// TurnAway makes the server turn all requests away and ask machines to stay away
// for the time; 0 ends it.
func (t *Target) TurnAway(pause time.Duration) {
	a := &t.asks
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pause = pause
	if pause > 0 {
		a.pausedAt, a.afterward = make(map[string]time.Time), make(map[string]int)
	}
}

// Misdirected returns how many requests for another server came from each
// machine later than the time after the first of them.
func (t *Target) Misdirected(after time.Duration) map[string]int {
	a := &t.asks
	a.mu.Lock()
	defer a.mu.Unlock()
	times := make(map[string]int)
	for from, at := range a.misdirected {
		for _, one := range at {
			if one.Sub(at[0]) > after {
				times[from]++
			}
		}
	}
	return times
}

func (t *Target) misdirect(r *http.Request) {
	a := &t.asks
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.misdirected == nil {
		a.misdirected = make(map[string][]time.Time)
	}
	a.misdirected[machine(r)] = append(a.misdirected[machine(r)], time.Now())
}

// machine is who sent the request.
func machine(r *http.Request) string {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

// ask puts what the server asks into the head of an answer. r is the request if
// the answer is given now, nil if it may come later.
func (t *Target) ask(w http.ResponseWriter, r *http.Request) {
	a := &t.asks
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limited {
		w.Header().Set("Server-Limit", strconv.FormatFloat(a.limit, 'f', -1, 64))
	} else {
		w.Header().Del("Server-Limit")
	}
	if a.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if !a.leaving || r == nil {
		return
	}
	if _, told := a.toldLeaving[machine(r)]; !told {
		a.toldLeaving[machine(r)] = time.Now()
	}
}

// turnedAway turns a request away if the server does so, and reports whether it
// did.
func (t *Target) turnedAway(w http.ResponseWriter, r *http.Request) bool {
	a := &t.asks
	a.mu.Lock()
	pause := a.pause
	if pause > 0 {
		if at, now := a.pausedAt[machine(r)], time.Now(); now.Sub(at) >= pause {
			a.pausedAt[machine(r)], a.afterward[machine(r)] = now, 0
		}
	}
	a.mu.Unlock()
	if pause <= 0 {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	t.refuse(w, r, http.StatusServiceUnavailable)
	return true
}

// heed records a request, and breaches of what the server has asked.
func (t *Target) heed(r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	a, now, from, id := &t.asks, time.Now(), machine(r), r.Header.Get("Attempt-Id")
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.URL.Path != "/lynxhill/stage-free" {
		t.heedLeaving(r, now, from, id)
	}
	if !a.limited || now.Before(a.countFrom) {
		return
	}
	a.arrived = append(slices.DeleteFunc(a.arrived, func(at time.Time) bool { return now.Sub(at) >= limitWindow }), now)
	a.most = max(a.most, len(a.arrived))
	if allowed := limitSlack*a.limit*limitWindow.Seconds() + limitExtra; float64(len(a.arrived)) > allowed {
		t.options.Journal.violate(NameLimit, id, "%d requests in %v at %s, which takes %v a second; %v allowed", len(a.arrived), limitWindow, t.options.Instance, a.limit, allowed)
	}
}

// heedLeaving records a request to a server that leaves, or that wants nothing
// from the machine. The lock is held.
func (t *Target) heedLeaving(r *http.Request, now time.Time, from, id string) {
	a := &t.asks
	if told, ok := a.toldLeaving[from]; ok && now.Sub(told) > a.leaveWithin {
		t.options.Journal.violate(NameLeaving, id, "%s at %s from %s, %v after it was told", r.URL.Path, t.options.Instance, from, now.Sub(told))
	}
	if at, ok := a.pausedAt[from]; ok && now.Sub(at) > pauseHeard && now.Sub(at) < a.pause {
		if a.afterward[from]++; a.afterward[from] > pauseExtra {
			t.options.Journal.violate(NamePause, id, "%d requests at %s from %s, which it turned away for %v", a.afterward[from], t.options.Instance, from, a.pause)
		}
	}
}
