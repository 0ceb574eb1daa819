package explain

import (
	"bytes"

	"lynxhill.example/lynxhill/internal/event"
)

// slotRef identifies a request at the coordinator that decided about its slot. Coordinators
// do not know the request's own ID.
type slotRef struct {
	coordinator, owner, number string
}

// readSlotRefusals adds the coordinators' lines about refused slots that the steps refer to.
func (s *Timeline) readSlotRefusals(sources []Source) error {
	refs := s.slotRefs()
	if len(refs) == 0 || len(s.Steps) >= maxSteps {
		return nil
	}
	var lines []Line
	_, err := scan(sources, mayBeSlotRefusal, func(l Line) {
		for _, r := range refs {
			if r.matches(l) && len(s.Steps)+len(lines) < maxSteps {
				lines = append(lines, l)
				return
			}
		}
	})
	for _, step := range s.Steps {
		lines = append(lines, step.Line)
	}
	sortByTime(lines)
	s.Steps = s.Steps[:0]
	for _, l := range lines {
		s.Steps = append(s.Steps, s.step(l, lines[0].Time))
	}
	return err
}

// slotRefs returns the slots that the lines about the request name.
func (s *Timeline) slotRefs() (refs []slotRef) {
	for _, step := range s.Steps {
		number, coordinator := step.Get("slot"), step.Get("dispatcher")
		if event.ID(step.Event) == event.ForwardFailed && number != "" && number != "0" && coordinator != "" {
			refs = append(refs, slotRef{coordinator, step.Instance, number})
		}
	}
	return refs
}

// matches reports whether the line is the refusal that r refers to. Numbers begin with the time
// at which their owner started, so that they do not recur after a restart.
func (r slotRef) matches(l Line) bool {
	return event.ID(l.Event) == event.SlotRefused && l.Instance == r.coordinator && l.Get("owner") == r.owner &&
		l.Get("request") == r.number
}

var slotRefusedMark = []byte("slot_refused")

// mayBeSlotRefusal is a filter for lines that may be refusals of slots.
func mayBeSlotRefusal(text []byte) bool { return bytes.Contains(text, slotRefusedMark) }
