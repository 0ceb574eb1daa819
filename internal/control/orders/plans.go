package orders

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// readPlan reads the service's plan object when it is due. Without the store
// the plan known stays in force.
func (c *Controller) readPlan(ctx context.Context, s *service) {
	now := c.opts.Clock.Now()
	if !s.planned.IsZero() && now.Sub(s.planned) < c.opts.PlansEvery {
		return
	}
	s.planned = now
	callCtx, cancel := loop.WithTimeout(store.WithPriority(ctx, store.PriorityBackground), c.opts.Clock, c.opts.CallTimeout)
	defer cancel()
	object, err := c.opts.Store.Get(callCtx, KeyPrefix+s.name)
	switch {
	case errors.Is(err, store.ErrNotFound):
		s.plan = lynxapi.ModelPlan{Service: s.name}
	case err != nil:
		c.opts.Logger.Log(event.PlanStoreFailure, "service", s.name, "error", err)
	default:
		c.takePlan(s, object)
	}
}

func (c *Controller) takePlan(s *service, object store.Object) {
	var plan lynxapi.ModelPlan
	if err := json.Unmarshal(object.Value, &plan); err != nil {
		c.opts.Logger.Log(event.PlanUnreadable, "service", s.name, "error", err)
		return
	}
	s.plan = plan
}

// Plans returns the plan objects with their versions in IfVersion. Errors:
// StoreUnavailable.
func (c *Controller) Plans(ctx context.Context) ([]lynxapi.ModelPlan, error) {
	objects, _, err := c.opts.Store.List(ctx, KeyPrefix)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "model plans")
	}
	plans := make([]lynxapi.ModelPlan, 0, len(objects))
	for _, object := range objects {
		var plan lynxapi.ModelPlan
		if json.Unmarshal(object.Value, &plan) != nil {
			plan = lynxapi.ModelPlan{Service: strings.TrimPrefix(object.Key, KeyPrefix)}
		}
		plan.IfVersion = object.Version
		plans = append(plans, plan)
	}
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
