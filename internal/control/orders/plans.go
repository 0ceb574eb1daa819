package orders

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"strings"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// readPlan updates the service's plan from the board's copy of the platform's
// objects. If the object cannot be decoded, the previous plan stays in force.
func (c *Controller) readPlan(s *service) {
	object, found := c.opts.Board.Objects.Get(KeyPrefix + s.name)
	if !found || object.Deleted {
		s.plan, s.planned = lynxapi.ModelPlan{Service: s.name}, object.Version
		return
	}
	if object.Version == s.planned {
		return
	}
	s.planned = object.Version
	var plan lynxapi.ModelPlan
	if err := json.Unmarshal(object.Value, &plan); err != nil {
		c.opts.Logger.Log(event.PlanUnreadable, "service", s.name, "error", err)
		return
	}
	s.plan = plan
}

// Plans returns the plans in force by service, with their versions in
// IfVersion.
func (c *Controller) Plans(context.Context) ([]lynxapi.ModelPlan, error) {
	var plans []lynxapi.ModelPlan
	for key, object := range c.opts.Board.Objects.Snapshot() {
		service, ours := strings.CutPrefix(key, KeyPrefix)
		if !ours || object.Deleted {
			continue
		}
		plan := lynxapi.ModelPlan{Service: service}
		if err := json.Unmarshal(object.Value, &plan); err != nil {
			plan = lynxapi.ModelPlan{Service: service}
		}
		plan.IfVersion = object.Version
		plans = append(plans, plan)
	}
	sort.Slice(plans, func(i, j int) bool { return plans[i].Service < plans[j].Service })
	return plans, nil
}

// SetPlan writes a service's plan if its version is plan.IfVersion, and returns
// the new version. Errors: BadRequest, Conflict, ChangeUnknown,
// StoreUnavailable.
func (c *Controller) SetPlan(ctx context.Context, plan lynxapi.ModelPlan) (uint64, error) {
	if err := validate(plan); err != nil {
		return 0, err
	}
	ifVersion := plan.IfVersion
	plan.IfVersion = 0
	value, err := json.Marshal(plan)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Internal, "model plan")
	}
	object, err := c.opts.Store.Put(store.WithPriority(ctx, store.PriorityOperator), KeyPrefix+plan.Service, value, ifVersion)
	switch {
	case err == nil:
		c.opts.Board.AdoptObject(object.Key, board.ConfigObject{Version: object.Version, Value: value})
		return object.Version, nil
	case errors.Is(err, store.ErrConflict):
		return object.Version, errkind.Wrap(err, errkind.Conflict, "the plan was changed meanwhile; its version is %d", object.Version)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled):
		return 0, errkind.Wrap(err, errkind.StoreUnavailable, "model plan")
	default:
		return 0, errkind.Wrap(err, errkind.ChangeUnknown, "model plan; list the plans to see whether it took effect")
	}
}

func validate(plan lynxapi.ModelPlan) error {
	if plan.Service == "" || strings.Contains(plan.Service, "/") {
		return errkind.New(errkind.BadRequest, "the plan names no service")
	}
	seen := make(map[ModelVersion]bool)
	for _, w := range plan.Models {
		v := ModelVersion{Model: w.Model, Version: w.Version}
		switch {
		case w.Model == "" || w.Version == "":
			return errkind.New(errkind.BadRequest, "a model of the plan lacks its name or version")
		case seen[v]:
			return errkind.New(errkind.BadRequest, "model %s %s stands twice", w.Model, w.Version)
		case w.Min < 0 || w.Max < 0 || w.Max > 0 && w.Min > w.Max:
			return errkind.New(errkind.BadRequest, "model %s %s: min %d and max %d do not fit", w.Model, w.Version, w.Min, w.Max)
		}
		seen[v] = true
	}
	return nil
}
