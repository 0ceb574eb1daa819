package main

import (
	"context"
	"fmt"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

type limitCommands struct {
	Set  limitSet  `cmd:"" help:"Set the limit of an organisation over all instances."`
	List limitList `cmd:"" help:"List the limits."`
}

type limitSet struct {
	Organisation string   `arg:"" help:"Organisation."`
	Rate         *float64 `placeholder:"N" help:"Requests a second; 0 = no limit; default: as it is."`
	Concurrent   *int     `placeholder:"N" help:"Requests at once; 0 = no limit; default: as it is."`
	IfVersion    *uint64  `placeholder:"N" help:"Change only version N; default: the one in force now."`
}

// Help implements kong.HelpProvider.
func (*limitSet) Help() string {
	return "Example:\n\n  lynxctl limit set agency-1 --rate 200 --concurrent 400"
}

// Run sets the limit.
func (c *limitSet) Run(env *environment) error {
	if c.Rate == nil && c.Concurrent == nil {
		return usagef("give --rate, --concurrent or both")
	}
	if (c.Rate != nil && *c.Rate < 0) || (c.Concurrent != nil && *c.Concurrent < 0) {
		return usagef("--rate and --concurrent must not be negative")
	}
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		limit, err := c.changed(ctx, admin)
		if err != nil {
			return err
		}
		limit, err = admin.SetLimit(ctx, limit)
		if err != nil {
			return err
		}
		return env.show(limit, func() {
			env.printf("%s: %s requests a second, %s at once\n", limit.Organisation, orNone(limit.RatePerSecond), orNone(float64(limit.Concurrent)))
		})
	})
}

// changed returns the limit in force with the flags' changes.
func (c *limitSet) changed(ctx context.Context, admin *client.Admin) (lynxapi.OrganisationLimit, error) {
	limit := lynxapi.OrganisationLimit{Organisation: c.Organisation}
	list, err := reading(admin.Limits(ctx))
	if err != nil {
		return limit, err
	}
	for _, l := range list.Limits {
		if l.Organisation == c.Organisation {
			limit = l
		}
	}
	if c.Rate != nil {
		limit.RatePerSecond = *c.Rate
	}
	if c.Concurrent != nil {
		limit.Concurrent = *c.Concurrent
	}
	if c.IfVersion != nil {
		limit.IfVersion = *c.IfVersion
	}
	return limit, nil
}

func orNone(v float64) string {
	if v == 0 {
		return "unlimited"
	}
	return fmt.Sprint(v)
}

type limitList struct{}

// Run lists the limits.
func (c *limitList) Run(env *environment) error {
	return display(env, (*client.Admin).Limits, func(list lynxapi.LimitList) {
		env.table([]string{"ORGANISATION", "A SECOND", "AT ONCE", "VERSION"},
			rowsOf(list.Limits, func(l lynxapi.OrganisationLimit) []string {
				return []string{l.Organisation, orNone(l.RatePerSecond), orNone(float64(l.Concurrent)), fmt.Sprint(l.IfVersion)}
			}))
	})
}
