package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

type instancesCommand struct{}

// Run lists the instances.
func (c *instancesCommand) Run(env *environment) error {
	return display(env, (*client.Admin).Instances, func(list lynxapi.InstanceList) {
		env.table([]string{"INSTANCE", "STATE", "PLACE", "REGION", "CALLER", "ADMIN", "ROOM", "IN FLIGHT", "DRAINING"},
			rowsOf(list.Instances, func(i lynxapi.InstanceView) []string {
				return []string{i.ID, i.State, i.Zone, i.Region, i.CallerAddr, i.AdminAddr,
					fmt.Sprintf("%.2f", i.Room), fmt.Sprint(i.InFlight), yesOrNo(i.Draining)}
			}))
	})
}

type targetsCommand struct {
	Service string `help:"Only the targets of this service."`
	Place   string `help:"Only the targets in this place."`
}

// Run lists the targets.
func (c *targetsCommand) Run(env *environment) error {
	return display(env, c.read, func(list lynxapi.TargetList) {
		env.table([]string{"TARGET", "SERVICE", "KIND", "PROVIDER", "PLACE", "ADDRESS", "LEAVING", "RUNNING", "QUEUED", "LOAD AGE", "MODELS"},
			rowsOf(list.Targets, func(t lynxapi.TargetView) []string {
				return []string{t.ID, t.Service, t.Kind, orDash(t.Provider), t.Zone, t.Address, yesOrNo(t.Leaving),
					fmt.Sprintf("%d/%d", t.Running, t.Slots), fmt.Sprint(t.Queued), fmt.Sprintf("%.0f ms", t.LoadAge), orDash(strings.Join(t.Models, " "))}
			}))
	})
}

func (c *targetsCommand) read(admin *client.Admin, ctx context.Context) (lynxapi.TargetList, error) {
	list, err := admin.Targets(ctx)
	list.Targets = c.only(list.Targets)
	return list, err
}

func (c *targetsCommand) only(all []lynxapi.TargetView) []lynxapi.TargetView {
	kept := make([]lynxapi.TargetView, 0, len(all))
	for _, t := range all {
		if (c.Service == "" || t.Service == c.Service) && (c.Place == "" || t.Zone == c.Place) {
			kept = append(kept, t)
		}
	}
	return kept
}

type statusCommand struct{}

// Run shows the status of the answering instance.
func (c *statusCommand) Run(env *environment) error {
	return display(env, (*client.Admin).Status, func(status lynxapi.Status) { printStatus(env, status) })
}

func printStatus(env *environment, s lynxapi.Status) {
	env.printf("instance    %s in %s, up %v\n", s.Instance, s.Zone, (time.Duration(s.UptimeS) * time.Second).String())
	env.printf("ready       %s%s%s\n", yesOrNo(s.Ready), textIf(s.Isolated, ", isolated"), textIf(s.Stopping, ", stopping"))
	env.printf("store       %s, %d calls\n", map[bool]string{true: "up", false: "down"}[s.StoreUp], s.StoreCalls)
	env.printf("instances   %d alive of %d known\n", s.Alive, s.Members)
	env.printf("targets     %d, %d leaving\n", s.Targets, s.Leaving)
	env.printf("in flight   %d\n", s.InFlight)
	env.printf("violations  %d\n", s.Violations)
	for _, g := range s.OrderGivers {
		env.printf("orders      %s: %s, fence %d\n", g.Service, orDash(g.Holder), g.Fence)
	}
	for _, f := range s.Profiles {
		env.printf("profile     %s version %d: %s\n", f.Name, f.Version, forceText(f))
	}
}

func textIf(on bool, text string) string {
	if on {
		return text
	}
	return ""
}

func yesOrNo(on bool) string {
	if on {
		return "yes"
	}
	return "no"
}

type drainCommand struct {
	Subject string `arg:"" help:"instance/ID, place/NAME, target/ID or targets-in/PLACE."`
	Force   bool   `help:"Drain it although no such instance, place or target is known yet."`
}

// Help implements kong.HelpProvider.
func (*drainCommand) Help() string {
	return `Work in flight is not cut. Examples:

  lynxctl drain target/lynx-pool-3
  lynxctl drain place/lac-a         # its instances
  lynxctl drain targets-in/lac-a    # its targets`
}

// Run orders the drain.
func (c *drainCommand) Run(env *environment) error {
	if err := checkSubject(c.Subject); err != nil {
		return err
	}
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		order := admin.Drain
		if c.Force {
			order = admin.ForceDrain
		}
		view, err := order(ctx, c.Subject)
		if err != nil {
			return err
		}
		return env.show(view, func() { env.printf("draining %s\n", view.Subject) })
	})
}

type undrainCommand struct {
	Subject string `arg:"" help:"instance/ID, place/NAME, target/ID or targets-in/PLACE."`
}

// Run ends the drain.
func (c *undrainCommand) Run(env *environment) error {
	if err := checkSubject(c.Subject); err != nil {
		return err
	}
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		if err := admin.Undrain(ctx, c.Subject); err != nil {
			return err
		}
		return env.show(lynxapi.DrainRequest{Subject: c.Subject}, func() { env.printf("no longer draining %s\n", c.Subject) })
	})
}

// checkSubject refuses a subject of no known sort before it is sent.
func checkSubject(subject string) error {
	sort, name, _ := strings.Cut(subject, "/")
	if name == "" || !slices.Contains(board.DrainSubjects, sort+"/") {
		return usagef("%q is none of instance/ID, place/NAME, target/ID and targets-in/PLACE", subject)
	}
	return nil
}

type drainsCommand struct{}

// Run lists the drains.
func (c *drainsCommand) Run(env *environment) error {
	return display(env, (*client.Admin).Drains, func(list lynxapi.DrainList) {
		env.table([]string{"SUBJECT", "BY", "AT"}, rowsOf(list.Drains, func(d lynxapi.DrainView) []string {
			return []string{d.Subject, orDash(d.By), d.At.Format(time.RFC3339)}
		}))
	})
}
