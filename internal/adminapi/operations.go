package adminapi

import (
	"strconv"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

func (a *api) profiles(c *call) (any, error)  { return a.operations.Profiles(c.ctx) }
func (a *api) profile(c *call) (any, error)   { return a.operations.Profile(c.ctx, c.path("name")) }
func (a *api) force(c *call) (any, error)     { return a.operations.InForce(c.ctx, c.path("name")) }
func (a *api) instances(c *call) (any, error) { return a.operations.Instances(c.ctx) }
func (a *api) targets(c *call) (any, error)   { return a.operations.Targets(c.ctx) }
func (a *api) status(c *call) (any, error)    { return a.operations.Status(c.ctx) }
func (a *api) drains(c *call) (any, error)    { return a.operations.Drains(c.ctx) }
func (a *api) limits(c *call) (any, error)    { return a.operations.Limits(c.ctx) }
func (a *api) plans(c *call) (any, error)     { return a.operations.Plans(c.ctx) }

func (a *api) burn(c *call) (any, error) {
	window, err := burnWindow(c)
	if err != nil {
		return nil, err
	}
	return a.operations.Burn(c.ctx, window)
}

func (a *api) burnLocal(c *call) (any, error) {
	window, err := burnWindow(c)
	if err != nil {
		return nil, err
	}
	return a.operations.BurnLocal(c.ctx, window)
}

// burnWindow returns the window parameter of a report, or 0 if the call has
// none.
func burnWindow(c *call) (time.Duration, error) {
	text := c.query(lynxapi.ParamWindow)
	if text == "" {
		return 0, nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window <= 0 {
		return 0, errkind.New(errkind.BadRequest, "%s %q is not a duration above 0 with its unit, such as 10m", lynxapi.ParamWindow, text)
	}
	return window, nil
}

func (a *api) changeByID(c *call) (any, error) { return a.operations.Change(c.ctx, c.path("id")) }

func (a *api) setProfile(c *call) (any, error) {
	c.subject = c.path("name")
	var req lynxapi.ChangeRequest
	if err := httpserver.DecodeJSON(c.body, &req); err != nil {
		return nil, err
	}
	if req.Profile.Name != c.subject {
		return nil, errkind.New(errkind.BadRequest, "the profile's name is %q, the path says %q", req.Profile.Name, c.subject)
	}
	if err := checkChange(req.ChangeID, req.WaitMS); err != nil {
		return nil, err
	}
	return a.operations.SetProfile(c.ctx, c.operator, c.subject, req)
}

func (a *api) deleteProfile(c *call) (any, error) {
	c.subject = c.path("name")
	ifVersion, err := strconv.ParseUint(c.query("if_version"), 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "if_version must be the version that you saw")
	}
	changeID := c.query("change_id")
	if err := checkChange(changeID, 0); err != nil {
		return nil, err
	}
	return a.operations.DeleteProfile(c.ctx, c.operator, c.subject, ifVersion, changeID)
}

func (a *api) rollback(c *call) (any, error) {
	c.subject = c.path("name")
	var req lynxapi.RollbackRequest
	if err := httpserver.DecodeJSON(c.body, &req); err != nil {
		return nil, err
	}
	if req.Steps < 1 {
		return nil, errkind.New(errkind.BadRequest, "steps must be 1 or more")
	}
	if err := checkChange(req.ChangeID, req.WaitMS); err != nil {
		return nil, err
	}
	return a.operations.Rollback(c.ctx, c.operator, c.subject, req)
}

// checkChange validates the parameters of a change. The change id is required
// because, after a lost reply, it is the only way to find out whether the change
// was written.
func checkChange(changeID string, waitMS int64) error {
	if changeID == "" || len(changeID) > maxNameLength {
		return errkind.New(errkind.BadRequest, "change_id must hold 1 to %d bytes", maxNameLength)
	}
	if waitMS < 0 || waitMS > maxWaitMS {
		return errkind.New(errkind.BadRequest, "wait_ms must be between 0 and %d", maxWaitMS)
	}
	return nil
}

const (
	maxNameLength = 256
	maxWaitMS     = 10 * 60 * 1000
)

func (a *api) drain(c *call) (any, error) {
	var req lynxapi.DrainRequest
	if err := httpserver.DecodeJSON(c.body, &req); err != nil {
		return nil, err
	}
	c.subject = req.Subject
	if err := checkName("subject", req.Subject); err != nil {
		return nil, err
	}
	return a.operations.Drain(c.ctx, c.operator, req)
}

func (a *api) undrain(c *call) (any, error) {
	c.subject = c.query("subject")
	if err := checkName("subject", c.subject); err != nil {
		return nil, err
	}
	return struct{}{}, a.operations.Undrain(c.ctx, c.operator, c.subject)
}

func (a *api) setLimit(c *call) (any, error) {
	var limit lynxapi.OrganisationLimit
	if err := httpserver.DecodeJSON(c.body, &limit); err != nil {
		return nil, err
	}
	c.subject = limit.Organisation
	if err := checkName("organisation", limit.Organisation); err != nil {
		return nil, err
	}
	if limit.RatePerSecond < 0 || limit.Concurrent < 0 {
		return nil, errkind.New(errkind.BadRequest, "a limit must not be negative; 0 means none")
	}
	return a.operations.SetLimit(c.ctx, c.operator, limit)
}

func (a *api) setPlan(c *call) (any, error) {
	var plan lynxapi.ModelPlan
	if err := httpserver.DecodeJSON(c.body, &plan); err != nil {
		return nil, err
	}
	c.subject = plan.Service
	if err := checkName("service", plan.Service); err != nil {
		return nil, err
	}
	for _, m := range plan.Models {
		if m.Model == "" || m.Version == "" || m.Min < 0 || m.Max < 0 || (m.Max > 0 && m.Max < m.Min) {
			return nil, errkind.New(errkind.BadRequest, "a model needs model, version and 0 <= min <= max (max 0 = any)")
		}
	}
	for _, r := range plan.Roles {
		if r.Role == "" || r.Engines < 0 {
			return nil, errkind.New(errkind.BadRequest, "a role needs its name and engines, 0 or more")
		}
	}
	return a.operations.SetPlan(c.ctx, c.operator, plan)
}

func checkName(field, value string) error {
	if value == "" || len(value) > maxNameLength {
		return errkind.New(errkind.BadRequest, "%s must hold 1 to %d bytes", field, maxNameLength)
	}
	return nil
}
