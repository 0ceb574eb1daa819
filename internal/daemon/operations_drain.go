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

// Drain stops new work for a subject. Without Force it refuses an unknown subject: if
// the name was mistyped, the typo would be reported as drained while the intended
// subject continues to receive work.
func (o *operations) Drain(ctx context.Context, operator string, req lynxapi.DrainRequest) (lynxapi.DrainView, error) {
	if !req.Force && !o.knows(req.Subject) {
		return lynxapi.DrainView{}, errkind.New(errkind.NotFound, "%s is not known here; force drains it all the same, for when it appears", req.Subject)
	}
	if err := o.d.drains.Drain(ctx, req.Subject, operator); err != nil {
		return lynxapi.DrainView{}, err
	}
	return lynxapi.DrainView{Subject: req.Subject, By: operator, At: o.d.opts.Clock.Now().UTC()}, nil
}

// knows reports whether this instance knows the subject of a drain. It returns true
// for a subject without a valid prefix; the drain controller rejects it.
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
	for _, prefix := range []string{board.DrainZone, board.DrainTargetsIn} {
		if zone, ok := strings.CutPrefix(subject, prefix); ok {
			return o.knowsZone(zone)
		}
	}
	return true
}

func (o *operations) knowsZone(zone string) bool {
	if zone == o.d.cfg.Instance.Zone {
		return true
	}
	for _, m := range o.d.board.Members.Snapshot() {
		if m.Zone == zone {
			return true
		}
	}
	for _, t := range o.d.board.Targets.Snapshot() {
		if t.Zone == zone {
			return true
		}
	}
	return false
}

// Undrain cancels a drain.
func (o *operations) Undrain(ctx context.Context, _, subject string) error {
	return o.d.drains.Undrain(ctx, subject)
}
