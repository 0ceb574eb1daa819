package main

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

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
	ctx, cancel := env.context()
	defer cancel()
	admin, err := env.admin()
	if err != nil {
		return err
	}
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
	ctx, cancel := env.context()
	defer cancel()
	admin, err := env.admin()
	if err != nil {
		return err
	}
	list, err := reading(admin.Limits(ctx))
	if err != nil {
		return err
	}
	return env.show(list, func() {
		rows := make([][]string, 0, len(list.Limits))
		for _, l := range list.Limits {
			rows = append(rows, []string{l.Organisation, orNone(l.RatePerSecond), orNone(float64(l.Concurrent)), fmt.Sprint(l.IfVersion)})
		}
		env.table([]string{"ORGANISATION", "A SECOND", "AT ONCE", "VERSION"}, rows)
	})
}

type planCommands struct {
	Set  planSet  `cmd:"" help:"Say which models the engines of a service hold, from a TOML file."`
	List planList `cmd:"" help:"List the plans."`
}

// planDocument is the TOML form of a plan.
type planDocument struct {
	Service string         `toml:"service"`
	Models  []wantDocument `toml:"models"`
}

type wantDocument struct {
	Model    string   `toml:"model"`
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
	Min      int      `toml:"min"`
	Max      int      `toml:"max"`
}

type planSet struct {
	File      string  `arg:"" help:"TOML file; - for the standard input."`
	IfVersion *uint64 `placeholder:"N" help:"Change only version N; default: the one in force now."`
}

// Help implements kong.HelpProvider.
func (*planSet) Help() string {
	return `Example of a file:

  service = "lynx-pool"
  [[models]]
  model = "lynx-large"
  version = "2"
  adapters = ["tuning-report"]
  min = 2   # targets that hold it at least
  max = 6   # 0 = as many as demand wants`
}

// Run sets the plan.
func (c *planSet) Run(env *environment) error {
	plan, err := readPlan(env, c.File)
	if err != nil {
		return err
	}
	ctx, cancel := env.context()
	defer cancel()
	admin, err := env.admin()
	if err != nil {
		return err
	}
	if plan.IfVersion, err = c.version(ctx, admin, plan.Service); err != nil {
		return err
	}
	plan, err = admin.SetPlan(ctx, plan)
	if err != nil {
		return err
	}
	return env.show(plan, func() { env.printf("%s: %d models\n", plan.Service, len(plan.Models)) })
}

func (c *planSet) version(ctx context.Context, admin *client.Admin, service string) (uint64, error) {
	if c.IfVersion != nil {
		return *c.IfVersion, nil
	}
	list, err := reading(admin.Plans(ctx))
	if err != nil {
		return 0, err
	}
	for _, p := range list.Plans {
		if p.Service == service {
			return p.IfVersion, nil
		}
	}
	return 0, nil
}

func readPlan(env *environment, file string) (lynxapi.ModelPlan, error) {
	text, err := readFile(env, file)
	if err != nil {
		return lynxapi.ModelPlan{}, err
	}
	var doc planDocument
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&doc); err != nil {
		return lynxapi.ModelPlan{}, usagef("%s: %w", file, err)
	}
	plan := lynxapi.ModelPlan{Service: doc.Service}
	for _, m := range doc.Models {
		plan.Models = append(plan.Models, lynxapi.ModelWant(m))
	}
	return plan, checkPlan(file, plan)
}

func checkPlan(file string, plan lynxapi.ModelPlan) error {
	if plan.Service == "" {
		return usagef("%s: service is missing", file)
	}
	for i, m := range plan.Models {
		if m.Model == "" || m.Version == "" {
			return usagef("%s: models[%d]: model and version are needed", file, i)
		}
		if m.Min < 0 || m.Max < 0 || (m.Max > 0 && m.Max < m.Min) {
			return usagef("%s: models[%d]: min %d and max %d must fit, max 0 = any", file, i, m.Min, m.Max)
		}
	}
	return nil
}

type planList struct{}

// Run lists the plans.
func (c *planList) Run(env *environment) error {
	ctx, cancel := env.context()
	defer cancel()
	admin, err := env.admin()
	if err != nil {
		return err
	}
	list, err := reading(admin.Plans(ctx))
	if err != nil {
		return err
	}
	return env.show(list, func() {
		var rows [][]string
		for _, p := range list.Plans {
			for _, m := range p.Models {
				rows = append(rows, []string{p.Service, m.Model, m.Version, orDash(strings.Join(m.Adapters, " ")),
					fmt.Sprint(m.Min), fmt.Sprint(m.Max), fmt.Sprint(p.IfVersion)})
			}
		}
		env.table([]string{"SERVICE", "MODEL", "VERSION", "ADAPTERS", "MIN", "MAX", "PLAN VERSION"}, rows)
	})
}
