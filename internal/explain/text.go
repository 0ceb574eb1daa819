package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// WriteText writes the timeline as readable text. Values with characters that
// are not visible are quoted: callers choose some of the values and could
// otherwise send control sequences to the reader's terminal.
func (s Timeline) WriteText(out io.Writer) error {
	w := &textWriter{out: out}
	s.writeHead(w)
	seen := make(map[int]bool)
	for _, step := range s.Steps {
		writeStep(w, step, !seen[step.Event])
		seen[step.Event] = true
	}
	if s.MoreSteps > 0 {
		w.printf("  and %d more lines of the request\n", s.MoreSteps)
	}
	s.writeContext(w)
	if s.Unreadable > 0 {
		w.printf("\n%d lines that hold this id could not be read\n", s.Unreadable)
	}
	return w.err
}

// textWriter writes formatted text. It keeps the first error of its writer and
// writes nothing after it.
type textWriter struct {
	out io.Writer
	err error
}

func (w *textWriter) printf(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format, args...)
	}
}

func (s Timeline) writeHead(w *textWriter) {
	last := s.Steps[len(s.Steps)-1]
	w.printf("request %s: %s from %s, %s UTC, over %v\n", quoteUnsafe(s.Request), plural(len(s.Steps)+s.MoreSteps, "line"),
		strings.Join(s.instances(), ", "), s.Steps[0].Time.UTC().Format("2006-01-02 15:04:05.000"), last.After.Round(time.Millisecond))
	w.printf("last: %s on %s: %s\n\n", quoteUnsafe(last.Name), quoteUnsafe(last.Instance), pairs(last.Outcome))
}

func plural(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}

// instances returns the names of the instances that wrote lines about the
// request, sorted.
func (s Timeline) instances() []string {
	var names []string
	for _, step := range s.Steps {
		names = append(names, quoteUnsafe(step.Instance))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// unknownMeaning is shown for events that are not in the catalogue.
const unknownMeaning = "This version of lynxctl does not know the event."

func writeStep(w *textWriter, step Step, explain bool) {
	w.printf("%s\n", heading(step))
	if explain {
		text := step.Meaning
		if text == "" {
			text = unknownMeaning
		}
		w.printf("               %s\n", text)
	}
	w.printf("      inputs   %s\n      outcome  %s\n", pairs(step.Inputs), pairs(step.Outcome))
	if len(step.Times) > 0 {
		w.printf("      times    %s\n", pairs(step.Times))
	}
}

func heading(step Step) string {
	return fmt.Sprintf("%+9.3f s  %s  %s (%d, %s)", step.After.Seconds(), quoteUnsafe(step.Instance), quoteUnsafe(step.Name), step.Event, quoteUnsafe(step.Level))
}

func (s Timeline) writeContext(w *textWriter) {
	if len(s.Context) == 0 {
		w.printf("\nno context in the %v before these lines\n", s.Around)
		return
	}
	w.printf("\ncontext, in the %v before these lines:\n", s.Around)
	for _, step := range s.Context {
		w.printf("%s  %s\n", heading(step), pairs(slices.Concat(step.Inputs, step.Outcome, step.Times)))
	}
	if s.MoreContext > 0 {
		w.printf("  and %d more; --around shortens the time\n", s.MoreContext)
	}
}

// pairs formats fields as logfmt, or "-" if there are none.
func pairs(fields []Field) string {
	if len(fields) == 0 {
		return "-"
	}
	words := make([]string, 0, len(fields))
	for _, f := range fields {
		words = append(words, quoteUnsafe(f.Key)+"="+quoteUnsafe(f.Value))
	}
	return strings.Join(words, " ")
}

// quoteUnsafe quotes text that is empty or has spaces, quotes, equal signs or
// characters that are not printable. It returns other text unchanged.
func quoteUnsafe(text string) string {
	odd := func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || !unicode.IsPrint(r) }
	if text == "" || strings.ContainsFunc(text, odd) {
		return strconv.Quote(text)
	}
	return text
}
