package emulator

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"
)

// NameCrashes names a violation of a CrashBound.
const NameCrashes = "crashes"

// Poison is what crashes any server that runs it. A server that it crashed is back after
// a while, under another id.
type Poison struct {
	PathPrefix string // requests whose path begins so crash each server that begins to run them; "" = none
	// Parts of prompts: a request with one of them crashes each server that begins to
	// write an answer to it.
	Parts []string
	// PieceKeys: a call with a piece of one of the keys crashes the stage server that
	// begins to work on it.
	PieceKeys   []string
	BackAfter   time.Duration // 0: crashed servers don't come back
	SameAddress bool          // they come back at their address; otherwise at a new one
}

// crash is the end of a server under a poisonous request.
type crash struct {
	cause string // the path prefix or the part
	at    time.Time
}

// SetPoison replaces what crashes servers.
func (w *World) SetPoison(p Poison) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poison = p
}

func (w *World) currentPoison() Poison {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.poison
}

// crashesRun reports whether a request to the path crashes the server that runs it.
func (p Poison) crashesRun(path string) bool {
	return p.PathPrefix != "" && strings.HasPrefix(path, p.PathPrefix)
}

// crashingPart returns the part of the request's prompt that crashes the server that
// answers it; "" = none. The last part never does.
func (p Poison) crashingPart(r *http.Request) string {
	if len(p.Parts) == 0 {
		return ""
	}
	parts, err := parseParts(r.Header.Get("Prompt-Prefix"))
	if err != nil || len(parts) == 0 {
		return ""
	}
	for _, part := range parts[:len(parts)-1] {
		if slices.Contains(p.Parts, part.id) {
			return part.id
		}
	}
	return ""
}

// pieceKeyCause begins the cause of a crash under a piece's key.
const pieceKeyCause = "piece key "

// crashingKey returns the cause by which a call with the items crashes the stage server,
// and the first attempt that has a part in it; "" = it does not.
func (p Poison) crashingKey(items []item) (cause, attempt string) {
	for _, i := range items {
		if slices.Contains(p.PieceKeys, i.Key) {
			return pieceKeyCause + i.Key, i.ID
		}
	}
	return "", ""
}

// crashUnder crashes a server under a cause and brings another one in its place.
func (w *World) crashUnder(id, cause string) {
	w.mu.Lock()
	s, p := w.servers[id], w.poison
	w.mu.Unlock()
	if s == nil {
		return
	}
	w.Journal.mu.Lock()
	w.Journal.crashes = append(w.Journal.crashes, crash{cause, time.Now()})
	w.Journal.mu.Unlock()
	w.Crash(id)
	if p.BackAfter <= 0 {
		return
	}
	address := ""
	if p.SameAddress {
		address = s.Address
	}
	w.after(p.BackAfter, func() {
		_, _ = w.AddVersion(s.Service, s.Zone, address, s.Version) // the address may be taken, or the world closed
	})
}

// CrashBound limits how often requests that crash servers reach them.
type CrashBound struct {
	Touch time.Duration // after which an instance may no longer be in touch
	// After is the number of crashes under one cause from which on, Touch later, it may
	// reach servers no more than Retries times.
	After, Retries int
}

// The bounds of a request and of a part of prompts that crash servers.
const (
	requestCrashes = 3
	partCrashes    = 5
	crashRetries   = 3
)

// CheckCrashes returns the causes under which servers crashed and that went on reaching
// servers.
func (w *World) CheckCrashes(touch time.Duration) (found []Violation) {
	return w.CheckCrashesOf(touch, func(string) bool { return true })
}

// CheckCrashesOf is CheckCrashes of the attempts that count; the crashes of all do.
func (w *World) CheckCrashesOf(touch time.Duration, counts func(attempt string) bool) (found []Violation) {
	crashes := w.Crashes()
	arrivals := w.poisonArrivals()
	for cause, times := range crashes {
		after := partCrashes
		if strings.HasPrefix(cause, "/") || strings.HasPrefix(cause, pieceKeyCause) {
			after = requestCrashes
		}
		if v, broken := (CrashBound{touch, after, crashRetries}).check(cause, times, slices.DeleteFunc(arrivals[cause], func(a arrival) bool { return !counts(a.attempt) })); broken {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return found
}

func (b CrashBound) check(cause string, crashes []time.Time, arrivals []arrival) (Violation, bool) {
	if len(crashes) < b.After {
		return Violation{}, false
	}
	from, more, last := crashes[b.After-1].Add(b.Touch), 0, ""
	for _, a := range arrivals {
		if a.at.After(from) {
			more++
			last = a.attempt
		}
	}
	return newViolation(NameCrashes, last, "%s, under which %d servers had ended, reached servers %d times more; %d ended in all", cause, b.After, more, len(crashes)), more > b.Retries
}

// Crashes returns the times at which servers crashed, by the path prefix or the part that
// crashed them.
func (w *World) Crashes() map[string][]time.Time {
	w.Journal.mu.Lock()
	defer w.Journal.mu.Unlock()
	times := make(map[string][]time.Time)
	for _, c := range w.Journal.crashes {
		times[c.cause] = append(times[c.cause], c.at)
	}
	return times
}

// poisonArrivals returns the arrivals of poisonous requests by cause.
func (w *World) poisonArrivals() map[string][]arrival {
	w.Journal.mu.Lock()
	defer w.Journal.mu.Unlock()
	by := make(map[string][]arrival)
	for _, a := range w.Journal.arrivals {
		if a.cause != "" {
			by[a.cause] = append(by[a.cause], a)
		}
	}
	return by
}
