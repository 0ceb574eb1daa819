package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

type profileCommands struct {
	Set      profileSet      `cmd:"" help:"Declare a profile from a TOML file."`
	Get      profileGet      `cmd:"" help:"Show a profile in force, as TOML."`
	List     profileList     `cmd:"" help:"List the profiles in force."`
	Diff     profileDiff     `cmd:"" help:"Show what a file, or a rollback, would change."`
	Rollback profileRollback `cmd:"" help:"Put an earlier version's content in force again."`
	Delete   profileDelete   `cmd:"" help:"Take a profile out of force."`
	Check    profileCheck    `cmd:"" help:"Check files without sending anything."`
}

// condition says which version a change may replace.
type condition struct {
	IfVersion   *uint64 `placeholder:"N" help:"Change only version N, the one that you saw; 0 for a new profile."`
	ForceLatest bool    `help:"Change whatever version is in force now."`
}

// version returns the version to replace. Without a flag only a new profile
// may be declared: overwriting a version that nobody looked at would undo
// another operator's change.
func (c condition) version(current uint64, name string) (uint64, error) {
	switch {
	case c.IfVersion != nil && c.ForceLatest:
		return 0, usagef("--if-version and --force-latest exclude each other")
	case c.IfVersion != nil:
		return *c.IfVersion, nil
	case c.ForceLatest || current == 0:
		return current, nil
	}
	return 0, usagef("profile %s is in force at version %d: give --if-version %d if that is the one you saw, or --force-latest",
		name, current, current)
}

// needsCurrent reports whether the version in force must be read first.
func (c condition) needsCurrent() bool { return c.IfVersion == nil }

// changeFlags are the flags of every change of a profile.
type changeFlags struct {
	condition
	Wait     time.Duration `default:"5s" help:"How long to wait until the change is in force everywhere."`
	DryRun   bool          `help:"Check and show what would change, without changing it."`
	ChangeID string        `placeholder:"ID" help:"Id of the change, to repeat one whose outcome is unknown; default: a new one."`
}

func (f changeFlags) id() string {
	if f.ChangeID != "" {
		return f.ChangeID
	}
	return client.NewKey()
}

type profileSet struct {
	File string `arg:"" help:"TOML file; - for the standard input."`
	changeFlags
}

// Help implements kong.HelpProvider.
func (*profileSet) Help() string {
	return `The file is checked before anything is sent. Examples:

  lynxctl profile set creative-check.toml
  lynxctl profile set creative-check.toml --dry-run --force-latest
  lynxctl profile set creative-check.toml --if-version 12 --wait 10s`
}

// Run declares the profile.
func (c *profileSet) Run(env *environment) error {
	p, err := readProfile(env, c.File)
	if err != nil {
		return err
	}
	return env.change(c.changeFlags, p.Name, func(s *settling, version uint64) (lynxapi.ChangeReply, error) {
		return s.admin.SetProfile(s.ctx, lynxapi.ChangeRequest{
			Profile: p, IfVersion: version, ChangeID: s.id, DryRun: c.DryRun, WaitMS: c.Wait.Milliseconds(),
		})
	})
}

type profileCheck struct {
	Files []string `arg:"" name:"file" help:"TOML files; - for the standard input."`
}

// Run checks the files and reports every fault of all of them.
func (c *profileCheck) Run(env *environment) error {
	var faults []string
	for _, file := range c.Files {
		p, err := readProfile(env, file)
		if err != nil {
			faults = append(faults, err.Error())
			continue
		}
		env.printf("%s: profile %s: %d stages, deadline %v\n", file, p.Name, len(p.Stages), p.Deadline)
	}
	if len(faults) > 0 {
		return usagef("%s", strings.Join(faults, "\n"))
	}
	return nil
}

type profileGet struct {
	Name string `arg:"" help:"Profile."`
}

// Run shows the profile as a file that set takes back.
func (c *profileGet) Run(env *environment) error {
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		view, err := reading(admin.Profile(ctx, c.Name))
		if err != nil {
			return err
		}
		text, err := profile.Marshal(view.Profile)
		if err != nil {
			return err
		}
		return env.show(view, func() {
			env.printf("# version %d, change %s, by %s at %s\n", view.Version, view.ChangeID, orDash(view.Operator), view.At.Format(time.RFC3339))
			env.printf("%s", text)
		})
	})
}

type profileList struct{}

// Run lists the profiles.
func (c *profileList) Run(env *environment) error {
	return display(env, (*client.Admin).Profiles, func(list lynxapi.ProfileList) {
		env.table([]string{"NAME", "VERSION", "PRIORITY", "DEADLINE", "OBJECTIVE", "STAGES", "BY", "AT"},
			rowsOf(list.Profiles, func(p lynxapi.ProfileView) []string {
				return []string{p.Name, fmt.Sprint(p.Version), fmt.Sprint(p.Profile.Priority), p.Profile.Deadline.String(),
					fmt.Sprint(p.Profile.Objective), stageNames(p.Profile), orDash(p.Operator), p.At.Format(time.RFC3339)}
			}))
	})
}

func stageNames(p profile.Profile) string {
	names := make([]string, 0, len(p.Stages))
	for _, s := range p.Stages {
		names = append(names, s.Name)
	}
	return strings.Join(names, " > ")
}

type profileRollback struct {
	Name  string `arg:"" help:"Profile."`
	Steps int    `default:"1" help:"How many versions back."`
	changeFlags
}

// Help implements kong.HelpProvider.
func (*profileRollback) Help() string {
	return `The earlier content becomes a new version; versions never go back. Example:

  lynxctl profile rollback creative-check --if-version 12`
}

// Run rolls back.
func (c *profileRollback) Run(env *environment) error {
	if c.Steps < 1 {
		return usagef("--steps must be 1 or more")
	}
	return env.change(c.changeFlags, c.Name, func(s *settling, version uint64) (lynxapi.ChangeReply, error) {
		return s.admin.Rollback(s.ctx, c.Name, lynxapi.RollbackRequest{
			IfVersion: version, Steps: c.Steps, ChangeID: s.id, DryRun: c.DryRun, WaitMS: c.Wait.Milliseconds(),
		})
	})
}

type profileDelete struct {
	Name string `arg:"" help:"Profile."`
	condition
	Wait     time.Duration `default:"5s" help:"How long to wait until it is out of force everywhere."`
	ChangeID string        `placeholder:"ID" help:"Id of the change; default: a new one."`
}

// Run deletes the profile.
func (c *profileDelete) Run(env *environment) error {
	flags := changeFlags{condition: c.condition, Wait: c.Wait, ChangeID: c.ChangeID}
	return env.change(flags, c.Name, func(s *settling, version uint64) (lynxapi.ChangeReply, error) {
		reply, err := s.admin.DeleteProfile(s.ctx, c.Name, version, s.id)
		reply.Diff = nil // every line of the profile
		return reply, err
	})
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
