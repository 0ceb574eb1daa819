package daemon

import (
	"context"
	"strings"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Drains lists the drains in force.
func (o *operations) Drains(context.Context) (lynxapi.DrainList, error) {
	var list lynxapi.DrainList
	for _, d := range o.d.drains.List() {
		list.Drains = append(list.Drains, lynxapi.DrainView{Subject: d.Subject, By: d.By, At: d.At})
	}
	return list, nil
}

// Drain orders that a subject take no new work. A subject that nobody has heard
// of is refused: mistyped, it would be reported as drained while the one that
// was meant goes on taking work.
func (o *operations) Drain(ctx context.Context, operator string, req lynxapi.DrainRequest) (lynxapi.DrainView, error) {
	if !req.Force && !o.knows(req.Subject) {
		return lynxapi.DrainView{}, errkind.New(errkind.NotFound, "%s is not known here; force drains it all the same, for when it appears", req.Subject)
	}
	if err := o.d.drains.Drain(ctx, req.Subject, operator); err != nil {
		return lynxapi.DrainView{}, err
	}
	return lynxapi.DrainView{Subject: req.Subject, By: operator, At: o.d.opts.Clock.Now().UTC()}, nil
}

// knows reports whether this instance has heard of the subject of a drain.
// What is no subject at all is left to the drains to refuse.
func (o *operations) knows(subject string) bool {
	b := o.d.board
	if id, ok := strings.CutPrefix(subject, board.DrainInstance); ok {
		_, known := b.Members.Get(id)
		return known || id == o.d.id()
	}
	if id, ok := strings.CutPrefix(subject, board.DrainTarget); ok {
		_, known := b.Targets.Get(id)
		return known
	}
	for _, prefix := range []string{board.DrainPlace, board.DrainTargetsIn} {
		if place, ok := strings.CutPrefix(subject, prefix); ok {
			return o.knowsPlace(place)
		}
	}
	return true
}

func (o *operations) knowsPlace(place string) bool {
	if place == o.d.cfg.Instance.Place {
		return true
	}
	for _, m := range o.d.board.Members.Snapshot() {
		if m.Place == place {
			return true
		}
	}
	for _, t := range o.d.board.Targets.Snapshot() {
		if t.Place == place {
			return true
		}
	}
	return false
}

// Undrain takes a drain back.
func (o *operations) Undrain(ctx context.Context, _, subject string) error {
	return o.d.drains.Undrain(ctx, subject)
}
