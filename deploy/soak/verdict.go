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
	stalls                                string
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
	j := newJudging(o, instances, w, l, h, cut)
	j.judgeInstances()
	j.countFaults()
	for _, a := range l.asked {
		j.count(a)
	}
	j.judgeOverlaps()
	j.judgeAttempts()
	return j.result
}

// judging is the state of a verdict.
type judging struct {
	result
	instances      []instanceSpec
	world          *emulator.World
	load           *load
	hurter         *hurter
	clients        []*emulator.Client
	signals, kills map[string][]time.Time      // by id of the instance; signals include starts
	attempts       map[string]emulator.Attempt // by id
	ends           map[string]time.Time        // deadlines, by path
}

func newJudging(o options, instances []instanceSpec, w *emulator.World, l *load, h *hurter, cut time.Time) *judging {
	j := &judging{
		result: result{
			cut: cut, wrong: h.wrong, runs: len(w.Journal.Runs()), pieces: len(w.Journal.Pieces()), faults: h.counts,
			stalls: h.stalls.describe(l.zero), unserved: make(map[string]int), uncounted: make(map[string]int), revokeds: make(map[string]int),
		},
		instances: instances, world: w, load: l, hurter: h, clients: slices.Concat(l.clients, h.probes.clients(), h.poison.clients()),
		attempts: make(map[string]emulator.Attempt), ends: make(map[string]time.Time),
	}
	var err, signalsErr error
	j.kills, err = readSignals(o.dir, "KILL")
	j.signals, signalsErr = readSignals(o.dir, "")
	if err := errors.Join(err, signalsErr); err != nil {
		j.wrong = append(j.wrong, "wrong: "+err.Error())
	}
	for _, c := range j.clients {
		for _, a := range c.Attempts() { // in their order
			j.attempts[a.ID] = a
			j.countTry(a)
			if j.ends[a.Ask.Path].IsZero() {
				j.ends[a.Ask.Path] = a.Sent.Add(a.Ask.Deadline)
			}
		}
	}
	return j
}

// judgeInstances adds the broken promises that no single request shows.
func (j *judging) judgeInstances() {
	h := j.hurter
	j.broken, j.probes = h.probes.judge(j.signals)
	found := j.world.CheckRepeats(h.repeats, j.clients...)
	found = append(found, h.poison.judge(j.world, func(instance string, sent, ended time.Time) bool {
		return j.counts(ended) && h.probes.counts(probe{instance: instance, sent: sent, ended: ended}, j.signals[instance])
	})...)
	for _, v := range found {
		j.broken = append(j.broken, "broken: "+v.String())
	}
}

func (j *judging) countFaults() {
	wire := j.hurter.wire.Counts()
	j.faults["answers repeated"], j.faults["answers to others"] = wire.Repeated, wire.Foreign
	j.faults["requests reset"], j.faults["answers without end"] = wire.Reset, wire.Endless
	for cause, times := range j.world.Crashes() {
		j.faults["crashes under "+cause] = len(times)
	}
}

// judgeOverlaps adds the requests on which two servers worked, unless an instance that had
// the request, or a link of it, was hurt.
func (j *judging) judgeOverlaps() {
	for _, v := range overlaps(j.world.Journal.Runs()) {
		a := j.attempts[v.Attempt]
		at := j.at(a)
		if slices.ContainsFunc(at, func(id string) bool { return j.hurt(id, a) }) {
			j.uncounted["overlap, with an instance or a link that was hurt"]++
			continue
		}
		j.weigh(v, a, at, j.kills, a.Ask.Path)
		j.addHistory(j.world.Journal, a, j.load.zero)
	}
}

// judgeAttempts adds the broken promises that single requests show.
func (j *judging) judgeAttempts() {
	for _, v := range j.world.Check(j.clients...) {
		a := j.attempts[v.Attempt] // zero if no client sent it
		if v.Name == emulator.NameTwice || v.Name == emulator.NameRefused {
			j.addHistory(j.world.Journal, a, j.load.zero)
		}
		j.weigh(v, a, j.at(a), j.kills, fmt.Sprintf("%s at %.2f s, ended %v before its deadline", a.Ask.Path,
			a.Sent.Sub(j.load.zero).Seconds(), j.ends[a.Ask.Path].Sub(a.Ended).Round(time.Millisecond)))
	}
}

// at returns the ids of the instances that an attempt was sent to.
func (j *judging) at(a emulator.Attempt) []string {
	return slices.Concat(j.load.instancesOf(a, j.instances), j.hurter.probes.instancesOf(a), j.hurter.poison.instancesOf(a))
}

// hurt reports whether the instance got a signal, or its links were hurt, during an attempt
// or within touchTime before it.
func (j *judging) hurt(instance string, a emulator.Attempt) bool {
	return j.hurter.poison.linksHurt(instance, a.Sent, a.Ended) || slices.ContainsFunc(j.signals[instance], func(at time.Time) bool {
		return at.After(a.Sent.Add(-touchTime)) && at.Before(a.Ended)
	})
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
		r.stalls,
		fmt.Sprintf("probes of routes that come and go, at instances in touch: %d", r.probes),
		fmt.Sprintf("promises broken: %d", len(r.broken)),
	}
	if !r.cut.IsZero() {
		lines = append(lines, "interrupted while the load ran: what ended later isn't counted")
	}
	return strings.Join(slices.Concat(lines, r.broken, r.histories, r.wrong), "\n") + "\n"
}
