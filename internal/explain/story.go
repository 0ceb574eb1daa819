// Package explain tells the story of one request from the logs of several
// instances: the request's own lines in the order of their times, each with
// its meaning from the catalogue of events, what it was decided by and how it
// ended, and beside them what the logs say about the targets and instances
// that the lines name, shortly before.
//
// Times are those of the instances' own clocks: where these differ, lines of
// different instances may stand in the wrong order. Logs can be larger than
// the memory, so they are read twice and only what is told is kept.
package explain

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

const (
	// maxSteps bounds the lines of one request that are told.
	maxSteps = 1000
	// maxContext bounds the lines beside the story that are told.
	maxContext = 20
)

// ErrUnknown is returned for a request that no line is about.
var ErrUnknown = errors.New("no line of this request")

// Step is a line with what it means.
type Step struct {
	Line
	After   time.Duration `json:"after_ns"` // since the first line of the request
	Meaning string        `json:"meaning"`  // "" if the event is unknown to this version
	Inputs  []Field       `json:"inputs"`
	Outcome []Field       `json:"outcome"`
	Times   []Field       `json:"times"` // where the time went, of the line that tells how the request ended
}

// Story is what the logs say about one request.
type Story struct {
	Request     string        `json:"request"`
	Around      time.Duration `json:"around_ns"`
	Steps       []Step        `json:"steps"`
	MoreSteps   int           `json:"more_steps"` // left out after the first ones
	Context     []Step        `json:"context"`
	MoreContext int           `json:"more_context"` // left out; those that name a target and the latest are kept
	Unreadable  int           `json:"unreadable"`   // lines that hold the request's id and cannot be read
}

// Tell reads the sources and tells the story of a request, with context of up
// to around before each of its lines. The error is ErrUnknown if no line is
// about the request.
func Tell(request string, around time.Duration, sources []Source) (Story, error) {
	story := Story{Request: request, Around: around, Steps: []Step{}, Context: []Step{}}
	if err := story.readSteps(sources); err != nil {
		return story, err
	}
	if len(story.Steps) == 0 {
		return story, ErrUnknown
	}
	return story, story.readContext(sources)
}

// readSteps finds the request's own lines.
func (s *Story) readSteps(sources []Source) error {
	var lines []Line
	unreadable, err := scan(sources, mentions(s.Request), func(l Line) {
		switch {
		case !l.of(s.Request):
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

// readContext finds the lines beside the story.
func (s *Story) readContext(sources []Source) error {
	c := collector{story: s}
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
	s.MoreContext = c.left
	return nil
}

// outcomeKeys are the fields that say how something ended. All others are what
// it was decided by.
var outcomeKeys = map[string]bool{
	"status": true, "outcome": true, "ran": true, "sent": true, "err": true, "error": true,
	"reason": true, "kind": true, "run_state": true, "cause": true,
}

// timeKeys are the fields that say where a request's time went. The last one
// stands in other lines too, which have none of the others.
var timeKeys = []string{"read_ms", "wait_ms", "first_ms", "ms"}

func (s *Story) step(l Line, begin time.Time) Step {
	step := Step{Line: l, After: l.Time.Sub(begin), Meaning: meaning(l), Inputs: []Field{}, Outcome: []Field{}, Times: []Field{}}
	timed := l.Get(timeKeys[0]) != ""
	for _, f := range l.Fields {
		switch {
		case f.names(s.Request) || f.Value == "" || f.Value == "null":
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

// meaning returns what the catalogue says about the line's event. A number
// that stands for another name comes from another version, whose meaning is
// not known here.
func meaning(l Line) string {
	if def := event.Lookup(event.ID(l.Event)); def.Name == l.Name {
		return def.Meaning
	}
	return ""
}

// How much a line says about a step of the story.
const (
	unrelated = iota
	sameInstance
	namesSubject // of its target or dispatcher
)

// candidate is a line that may be told as context.
type candidate struct {
	Line
	relation int
}

// collector keeps the lines that say most.
type collector struct {
	story *Story
	found []candidate
	left  int
}

func (c *collector) add(l Line) {
	if !contextual(l) || l.of(c.story.Request) {
		return
	}
	relation := unrelated
	for _, step := range c.story.Steps {
		if before := step.Time.Sub(l.Time); before >= 0 && before <= c.story.Around {
			relation = max(relation, relate(l, step.Line))
		}
	}
	if relation == unrelated {
		return
	}
	c.found = append(c.found, candidate{l, relation})
	if len(c.found) >= 100*maxContext { // a storm must not fill the memory
		c.trim()
	}
}

// trim keeps maxContext lines: those that name a target or dispatcher first,
// and of these the latest.
func (c *collector) trim() {
	slices.SortStableFunc(c.found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.relation, a.relation), b.Time.Compare(a.Time))
	})
	kept := min(len(c.found), maxContext)
	c.left += len(c.found) - kept
	c.found = c.found[:kept]
}

// contextual reports whether the line is of a kind that explains others:
// warnings, errors, and what changes or fails beside a request.
func contextual(l Line) bool {
	switch event.ID(l.Event) {
	case event.TargetsChanged, event.DispatcherLost, event.StageCallFailed:
		return true
	}
	return l.Level == "warn" || l.Level == "error"
}

// relate returns what a line says about a step. What its instance says counts
// unless it is about another target or another request; what a dispatcher
// says counts whole, as its targets are not known to the request's instance.
func relate(l, step Line) int {
	target, dispatcher := step.Get("target"), step.Get("dispatcher")
	switch {
	case speaksOf(l, target), speaksOf(l, dispatcher):
		return namesSubject
	case dispatcher != "" && l.Instance == dispatcher:
		return namesSubject
	case l.Instance == step.Instance && l.Get("target") == "" && l.Get("request") == "":
		return sameInstance
	}
	return unrelated
}

// speaksOf reports whether a field of the line holds the name.
func speaksOf(l Line, name string) bool {
	return name != "" && slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == name })
}
