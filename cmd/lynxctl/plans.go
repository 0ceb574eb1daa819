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

type planCommands struct {
	Set  planSet  `cmd:"" help:"Say which models the engines of a service hold, from a TOML file."`
	List planList `cmd:"" help:"List the plans."`
}

// planDocument is the TOML form of a plan.
type planDocument struct {
	Service string         `toml:"service"`
	Models  []wantDocument `toml:"models"`
	Roles   []roleDocument `toml:"roles"`
}

type roleDocument struct {
	Role    string `toml:"role"`
	Engines int    `toml:"engines"`
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
  max = 6   # 0 = as many as demand wants
  [[roles]]
  role = "prefill"
  engines = 2`
}

// Run sets the plan.
func (c *planSet) Run(env *environment) error {
	plan, err := readPlan(env, c.File)
	if err != nil {
		return err
	}
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		if plan.IfVersion, err = c.version(ctx, admin, plan.Service); err != nil {
			return err
		}
		plan, err = admin.SetPlan(ctx, plan)
		if err != nil {
			return err
		}
		return env.show(plan, func() {
			env.printf("%s: %d models, %d roles\n", plan.Service, len(plan.Models), len(plan.Roles))
		})
	})
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
	for _, r := range doc.Roles {
		plan.Roles = append(plan.Roles, lynxapi.RoleWant(r))
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
	for i, r := range plan.Roles {
		if r.Role == "" || r.Engines < 0 {
			return usagef("%s: roles[%d]: role is needed, and engines must not be negative", file, i)
		}
	}
	return nil
}

type planList struct{}

// Run lists the plans.
func (c *planList) Run(env *environment) error {
	return display(env, (*client.Admin).Plans, func(list lynxapi.PlacementList) {
		var rows [][]string
		for _, p := range list.Plans {
			for _, m := range p.Models {
				rows = append(rows, []string{p.Service, m.Model, m.Version, orDash(strings.Join(m.Adapters, " ")),
					fmt.Sprint(m.Min), fmt.Sprint(m.Max), fmt.Sprint(p.IfVersion)})
			}
		}
		env.table([]string{"SERVICE", "MODEL", "VERSION", "ADAPTERS", "MIN", "MAX", "PLAN VERSION"}, rows)
		printRoles(env, list.Plans)
	})
}

// printRoles lists the roles under the models, if any plan has some.
func printRoles(env *environment, plans []lynxapi.ModelPlan) {
	var rows [][]string
	for _, p := range plans {
		for _, r := range p.Roles {
			rows = append(rows, []string{p.Service, r.Role, fmt.Sprint(r.Engines)})
		}
	}
	if len(rows) > 0 {
		env.printf("\n")
		env.table([]string{"SERVICE", "ROLE", "ENGINES"}, rows)
	}
}
