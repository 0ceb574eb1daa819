// Package explain reconstructs the timeline of one request from the logs of
// several instances. The timeline has the log lines about the request in
// chronological order, each with its meaning from the catalogue of events, the
// inputs of the decision and its outcome. It also has context: log lines about
// the targets and instances named in those lines, from shortly before them.
//
// Times are those of the instances' own clocks: where these differ, lines of
// different instances may be in the wrong order. Logs can be larger than the
// available memory, so they are read twice and only the lines that are shown
// are kept.
package explain

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

const (
	// maxSteps is the maximum number of lines about the request in a timeline.
	maxSteps = 1000
	// maxContext is the maximum number of context lines in a timeline.
	maxContext = 20
)

// ErrUnknown is returned if no log line is about the request.
var ErrUnknown = errors.New("no line of this request")

// Step is a log line with its interpretation.
type Step struct {
	Line
	After   time.Duration `json:"after_ns"` // since the first line of the request
	Meaning string        `json:"meaning"`  // "" if the event is unknown to this version
	Inputs  []Field       `json:"inputs"`
	Outcome []Field       `json:"outcome"`
	Times   []Field       `json:"times"` // durations of the request's phases, in the line that reports how it ended
}

// Timeline holds the steps of one request and their context.
type Timeline struct {
	Request     string        `json:"request"`
	Around      time.Duration `json:"around_ns"`
	Steps       []Step        `json:"steps"`
	MoreSteps   int           `json:"more_steps"` // number of lines omitted after the first maxSteps
	Context     []Step        `json:"context"`
	MoreContext int           `json:"more_context"` // number of lines omitted; lines that name a target or dispatcher and the latest ones are kept
	Unreadable  int           `json:"unreadable"`   // number of lines that contain the request's ID and could not be parsed
}

// ReadTimeline reads the sources and returns the timeline of a request. Context is
// searched in the period around before each of the request's lines. The error
// is ErrUnknown if no line is about the request.
func ReadTimeline(request string, around time.Duration, sources []Source) (Timeline, error) {
	timeline := Timeline{Request: request, Around: around, Steps: []Step{}, Context: []Step{}}
	if err := timeline.readSteps(sources); err != nil {
		return timeline, err
	}
	if len(timeline.Steps) == 0 {
		return timeline, ErrUnknown
	}
	if err := timeline.readSlotRefusals(sources); err != nil {
		return timeline, err
	}
	return timeline, timeline.readContext(sources)
}

// readSteps collects the lines about the request, sorted by time.
func (s *Timeline) readSteps(sources []Source) error {
	var lines []Line
	unreadable, err := scan(sources, idFilter(s.Request), func(l Line) {
		switch {
		case !l.concerns(s.Request):
		case len(lines) == maxSteps:
			s.MoreSteps++
		default:
			lines = append(lines, l)
		}
	})
	s.Unreadable = unreadable
	if len(lines) == 0 {
		return err
	}
	sortByTime(lines)
	for _, l := range lines {
		s.Steps = append(s.Steps, s.step(l, lines[0].Time))
	}
	return err
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// readContext collects the context lines, sorted by time.
func (s *Timeline) readContext(sources []Source) error {
	c := collector{timeline: s}
	if _, err := scan(sources, mayBeContext, c.add); err != nil {
		return err
	}
	c.trim()
	lines := make([]Line, 0, len(c.found))
	for _, f := range c.found {
		lines = append(lines, f.Line)
	}
	sortByTime(lines)
	for _, l := range lines {
		s.Context = append(s.Context, s.step(l, s.Steps[0].Time))
	}
	s.MoreContext = c.omitted
	return nil
}

// outcomeKeys are the keys of fields that describe an outcome. All other fields
// are inputs.
var outcomeKeys = map[string]bool{
	"status": true, "outcome": true, "ran": true, "sent": true, "end": true, "ends": true, "err": true, "error": true,
	"reason": true, "kind": true, "run_state": true, "cause": true, "rule": true, "retry_after_ms": true, "due_ms": true,
}

// timeKeys are the keys of fields with the durations of a request's phases. Only
// the last one occurs in other lines too, which have none of the others.
var timeKeys = []string{"read_ms", "wait_ms", "first_ms", "ms"}

func (s *Timeline) step(l Line, begin time.Time) Step {
	step := Step{Line: l, After: l.Time.Sub(begin), Meaning: meaning(l), Inputs: []Field{}, Outcome: []Field{}, Times: []Field{}}
	timed := l.Get(timeKeys[0]) != ""
	for _, f := range l.Fields {
		switch {
		case f.identifies(s.Request) || f.Value == "" || f.Value == "null":
		case timed && slices.Contains(timeKeys, f.Key):
			step.Times = append(step.Times, f)
		case outcomeKeys[f.Key]:
			step.Outcome = append(step.Outcome, f)
		default:
			step.Inputs = append(step.Inputs, f)
		}
	}
	return step
}

// meaning returns the description of the line's event from the catalogue. It
// returns "" if the catalogue has another name for the event's number: the line
// then comes from another version, whose meaning is unknown.
func meaning(l Line) string {
	if def := event.Lookup(event.ID(l.Event)); def.Name == l.Name {
		return def.Meaning
	}
	return ""
}

// Relations of a line to a step of the timeline, the closest last.
const (
	unrelated = iota
	sameInstance
	mentionsSubject // names the step's target or dispatcher, or comes from that dispatcher
)

// candidate is a line that may be shown as context.
type candidate struct {
	Line
	relation int
}

// collector keeps the most relevant context lines.
type collector struct {
	timeline *Timeline
	found    []candidate
	omitted  int
}

func (c *collector) add(l Line) {
	if !isContext(l) || l.concerns(c.timeline.Request) {
		return
	}
	relation := unrelated
	for _, step := range c.timeline.Steps {
		if before := step.Time.Sub(l.Time); before >= 0 && before <= c.timeline.Around {
			relation = max(relation, relationOf(l, step.Line))
		}
	}
	if relation == unrelated {
		return
	}
	c.found = append(c.found, candidate{l, relation})
	if len(c.found) >= 100*maxContext { // bounds memory when logs have very many such lines
		c.trim()
	}
}

// trim keeps maxContext lines: those with the closest relation first and, among
// equals, the latest. It adds the number of the others to omitted.
func (c *collector) trim() {
	slices.SortStableFunc(c.found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.relation, a.relation), b.Time.Compare(a.Time))
	})
	kept := min(len(c.found), maxContext)
	c.omitted += len(c.found) - kept
	c.found = c.found[:kept]
}

// isContext reports whether the line is of a kind that can explain others:
// warnings, errors, and events of changed targets, lost dispatchers and failed
// stage calls.
func isContext(l Line) bool {
	switch event.ID(l.Event) {
	case event.TargetsChanged, event.DispatcherLost, event.StageCallFailed:
		return true
	}
	return l.Level == "warn" || l.Level == "error"
}

// relationOf returns the relation of a line to a step. A line of the step's
// instance is related unless it is about another target or request. Every line of
// the step's dispatcher is related, because the request's instance does not
// know the dispatcher's targets.
func relationOf(l, step Line) int {
	target, dispatcher := step.Get("target"), step.Get("dispatcher")
	switch {
	case hasValue(l, target), hasValue(l, dispatcher):
		return mentionsSubject
	case dispatcher != "" && l.Instance == dispatcher:
		return mentionsSubject
	case l.Instance == step.Instance && l.Get("target") == "" && l.Get("request") == "":
		return sameInstance
	}
	return unrelated
}

// hasValue reports whether the value of a field of the line is name. It returns
// false for an empty name.
func hasValue(l Line, name string) bool {
	return name != "" && slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == name })
}
