package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// repeatBound is the bound of the default settings, which the instances use.
var repeatBound = emulator.RepeatBound{Ratio: 0.1, Extra: 10, Window: 10 * time.Second}

// result of a run.
type result struct {
	cut                                   time.Time // when it was interrupted
	broken                                []string  // promises
	histories                             []string  // of requests that ran twice, or ran although refused
	wrong                                 []string  // in the soak itself; there is no verdict then
	asked, served, runs, pieces           int
	probes                                int // that counted
	begun, takenUp                        tries
	faults, unserved, uncounted, revokeds map[string]int
	revokedLate                           time.Duration
}

// tries counts tries of resumable streams, and those of them that got an event.
type tries struct{ sent, withEvents int }

func (t *tries) add(a emulator.Attempt) {
	t.sent++
	if len(a.Events) > 0 {
		t.withEvents++
	}
}

// String implements fmt.Stringer.
func (t tries) String() string { return fmt.Sprintf("%d of %d", t.withEvents, t.sent) }

// counts reports whether what ended then counts: nothing does that ended after an interrupt.
func (r result) counts(ended time.Time) bool { return r.cut.IsZero() || ended.Before(r.cut) }

// judge compares what clients saw with what servers did.
func judge(o options, instances []instanceSpec, w *emulator.World, l *load, h *hurter, cut time.Time) result {
	r := result{
		cut: cut, wrong: h.wrong, runs: len(w.Journal.Runs()), pieces: len(w.Journal.Pieces()), faults: h.counts,
		unserved: make(map[string]int), uncounted: make(map[string]int), revokeds: make(map[string]int),
	}
	kills, err := readSignals(o.dir, "KILL")
	signals, signalsErr := readSignals(o.dir, "")
	if err := errors.Join(err, signalsErr); err != nil {
		r.wrong = append(r.wrong, "wrong: "+err.Error())
	}
	r.broken, r.probes = h.probes.judge(signals)
	calm := func(id string, a emulator.Attempt) bool {
		return !h.poison.linksHurt(id, a.Sent, a.Ended) && !slices.ContainsFunc(signals[id], func(at time.Time) bool {
			return at.After(a.Sent.Add(-touchTime)) && at.Before(a.Ended)
		})
	}
	for _, v := range h.poison.judge(w, func(instance string, sent, ended time.Time) bool {
		return r.counts(ended) && h.probes.counts(probe{instance: instance, sent: sent, ended: ended}, signals[instance])
	}) {
		r.broken = append(r.broken, "broken: "+v.String())
	}
	wire := h.wire.Counts()
	r.faults["answers repeated"], r.faults["answers to others"] = wire.Repeated, wire.Foreign
	r.faults["requests reset"], r.faults["answers without end"] = wire.Reset, wire.Endless
	for cause, times := range w.Crashes() {
		r.faults["crashes under "+cause] = len(times)
	}
	for _, a := range l.asked {
		r.count(a)
	}
	attempts, ends := make(map[string]emulator.Attempt), make(map[string]time.Time) // ends are deadlines, by path
	clients := slices.Concat(l.clients, h.probes.clients(), h.poison.clients())
	for _, c := range clients {
		for _, a := range c.Attempts() { // in their order
			attempts[a.ID] = a
			r.countTry(a)
			if ends[a.Ask.Path].IsZero() {
				ends[a.Ask.Path] = a.Sent.Add(a.Ask.Deadline)
			}
		}
	}
	at := func(a emulator.Attempt) []string {
		return slices.Concat(l.instancesOf(a, instances), h.probes.instancesOf(a), h.poison.instancesOf(a))
	}
	for _, v := range overlaps(w.Journal.Runs()) {
		a := attempts[v.Attempt]
		if slices.ContainsFunc(at(a), func(id string) bool { return !calm(id, a) }) {
			r.uncounted["overlap, with an instance or a link that was hurt"]++
			continue
		}
		r.weigh(v, a, at(a), kills, a.Ask.Path)
		r.addHistory(w.Journal, a, l.zero)
	}
	for _, v := range w.Check(clients...) {
		a := attempts[v.Attempt] // zero if no client sent it
		if v.Name == emulator.NameTwice || v.Name == emulator.NameRefused {
			r.addHistory(w.Journal, a, l.zero)
		}
		r.weigh(v, a, at(a), kills, fmt.Sprintf("%s at %.2f s, ended %v before its deadline", a.Ask.Path,
			a.Sent.Sub(l.zero).Seconds(), ends[a.Ask.Path].Sub(a.Ended).Round(time.Millisecond)))
	}
	return r
}

// weigh adds a broken promise to an attempt at some instances, unless it ended after the interrupt, or was lost with an
// instance that was killed meanwhile.
func (r *result) weigh(v emulator.Violation, a emulator.Attempt, at []string, kills map[string][]time.Time, where string) {
	const slack = 100 * time.Millisecond // by which the script may note a kill before it is done
	died := slices.ContainsFunc(at, func(id string) bool {
		return slices.ContainsFunc(kills[id], func(kill time.Time) bool { return kill.After(a.Sent.Add(-slack)) && kill.Before(a.Ended) })
	})
	switch {
	case a.ID != "" && !r.counts(a.Ended):
		r.uncounted["interrupted, "+v.Name]++
	case v.Name == emulator.NameLost && died:
		r.uncounted["lost with a killed instance"]++
	default:
		r.broken = append(r.broken, fmt.Sprintf("broken: %s %s %s, at %v: %s", v.Name, v.Attempt, where, at, v.Detail))
	}
}

// countTry adds a try to those that begin a resumable stream, or that take one up.
func (r *result) countTry(a emulator.Attempt) {
	switch {
	case !a.Ask.Resume || !r.counts(a.Ended):
	case a.Resumes == "":
		r.begun.add(a)
	default:
		r.takenUp.add(a)
	}
}

// count adds one request to the shares.
func (r *result) count(a asked) {
	served := a.last.Complete && a.last.Status == http.StatusOK
	how := fmt.Sprintf("status %d", a.last.Status)
	if !a.last.Complete {
		how += map[bool]string{false: " broke off", true: " at the deadline"}[a.last.GaveUp]
	}
	switch {
	case !r.counts(a.last.Ended):
		r.uncounted["interrupted"]++
	case a.leaving:
		r.uncounted["client leaves early"]++
	case !a.revoked.IsZero():
		r.revokeds[how]++
		if served {
			r.revokedLate = max(r.revokedLate, a.last.Sent.Sub(a.revoked))
		}
	default:
		r.asked++
		if served {
			r.served++
			return
		}
		r.unserved[strings.SplitN(a.last.Ask.Path, "/", 3)[1]+", "+how]++
	}
}

// instancesOf are the instances that an attempt was sent to.
func (l *load) instancesOf(a emulator.Attempt, instances []instanceSpec) (ids []string) {
	for _, c := range l.contacts[a.Ask.Path] {
		n := slices.IndexFunc(instances, func(i instanceSpec) bool { return i.Listen == c.address })
		if n >= 0 && !c.at.Before(a.Sent) && !c.at.After(a.Ended) {
			ids = append(ids, instances[n].ID)
		}
	}
	return ids
}

// readSignals returns the times of the signal, or for "" of all signals and starts,
// by id of the instance.
func readSignals(dir, signal string) (map[string][]time.Time, error) {
	times := make(map[string][]time.Time)
	text, err := os.ReadFile(filepath.Join(dir, "signals.txt"))
	for line := range strings.Lines(string(text)) {
		var seconds, micros int64
		var id, name string
		if _, err := fmt.Sscanf(line, "%d.%d %s %s", &seconds, &micros, &id, &name); err != nil {
			return nil, fmt.Errorf("signals.txt: %q: %w", line, err)
		}
		if signal == "" || name == signal {
			times[id] = append(times[id], time.Unix(seconds, micros*1000))
		}
	}
	return times, err
}

// String is the result for people, and for the script, which looks for "broken:" and "wrong:".
func (r result) String() string {
	lines := []string{
		fmt.Sprintf("served %.4f: %d of %d requests; %d runs, %d pieces at targets", float64(r.served)/float64(max(r.asked, 1)), r.served, r.asked, r.runs, r.pieces),
		fmt.Sprintf("not served: %v", r.unserved),
		fmt.Sprintf("not counted: %v", r.uncounted),
		fmt.Sprintf("tries that begin a resumable stream, with an event: %v; that take one up: %v", r.begun, r.takenUp),
		fmt.Sprintf("with a revoked key: %v; the latest was served %v after", r.revokeds, r.revokedLate.Round(time.Millisecond)),
		fmt.Sprintf("faults: %v", r.faults),
		fmt.Sprintf("probes of routes that come and go, at instances in touch: %d", r.probes),
		fmt.Sprintf("promises broken: %d", len(r.broken)),
	}
	if !r.cut.IsZero() {
		lines = append(lines, "interrupted while the load ran: what ended later isn't counted")
	}
	return strings.Join(slices.Concat(lines, r.broken, r.histories, r.wrong), "\n") + "\n"
}
