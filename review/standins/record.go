package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// recorder keeps what happened and writes the record.
type recorder struct {
	began   time.Time
	network *faultyNetwork

	mu     sync.Mutex // guards events
	events []string
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, r.at(time.Now())+" "+fmt.Sprintf(format, args...))
}

func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%8.3f s", t.Sub(r.began).Seconds()) }

// judge writes the record and returns the exit code. One case breaks the rule: the pages allow
// no number of them.
func (r *recorder) judge(path string, play scenario, w *emulator.World, l *load, trouble bool) (status int, err error) {
	attempts, runs, pieces := l.attempts(), w.Journal.Runs(), w.Journal.Pieces()
	var broken []emulator.Violation
	for _, v := range w.Check(l.clients...) {
		if slices.Contains(play.rules, v.Name) {
			broken = append(broken, v)
		}
	}
	served, statuses := 0, make(map[int]int)
	for _, a := range attempts {
		statuses[a.Status]++
		if a.Complete && a.Status/100 == 2 {
			served++
		}
	}
	if served < len(attempts)/2 {
		err = fmt.Errorf("%d of %d attempts were served: the case could not run", served, len(attempts))
	}
	copies, given := r.network.secondCopies()
	f, openErr := os.Create(path)
	if openErr != nil {
		return exitFailed, openErr
	}
	out := bufio.NewWriter(f)
	summary := fmt.Sprintf("disruption %v; %d attempts, %d served, by status %v; %d runs, %d results of stages; %d answers of faulty servers, %d of them came twice; rule broken %d times",
		trouble, len(attempts), served, statuses, len(runs), len(pieces), given, len(copies), len(broken))
	fmt.Fprintln(out, summary)
	fmt.Println(summary)
	section(out, "the rule was broken", broken, func(v emulator.Violation) string { return v.String() })
	section(out, "disruption", r.events, func(e string) string { return e })
	section(out, "answers that came a second time", copies, func(c secondCopy) string {
		return fmt.Sprintf("%s %s, %d bytes", r.at(c.at), c.address, c.bytes)
	})
	section(out, "sent and answered", attempts, func(a emulator.Attempt) string {
		return fmt.Sprintf("%s %s %s to %s: %d, whole %v, %d events, %v", r.at(a.Sent), a.ID, a.Ask.Path, r.at(a.Ended), a.Status, a.Complete, len(a.Events), a.Err)
	})
	section(out, "run by servers", runs, func(run emulator.Run) string {
		return fmt.Sprintf("%s %s as %s to %s: %d, %s", r.at(run.Began), run.Attempt, run.ID, r.at(run.Ended), run.Status, run.Outcome)
	})
	section(out, "results of stages", pieces, func(p emulator.Piece) string {
		return fmt.Sprintf("%s %s stage %d piece %d at %s: %s of %v", r.at(p.Ended), p.Attempt, p.Stage, p.Index, p.Server, p.Handle, p.Inputs)
	})
	if flushErr := out.Flush(); flushErr != nil {
		return exitFailed, flushErr
	}
	if closeErr := f.Close(); closeErr != nil {
		return exitFailed, closeErr
	}
	switch {
	case len(broken) > 0:
		return exitBroken, nil
	case err != nil:
		return exitFailed, err
	}
	return exitHeld, nil
}

func section[T any](out *bufio.Writer, title string, list []T, line func(T) string) {
	fmt.Fprintf(out, "\n== %s: %d\n", title, len(list))
	for _, entry := range list {
		fmt.Fprintln(out, line(entry))
	}
}
