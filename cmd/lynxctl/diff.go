package main

import (
	"os"
	"strings"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

type profileDiff struct {
	What  string `arg:"" name:"file|name" help:"A TOML file (- for the standard input) to compare with what is in force, or a profile to compare with its earlier version."`
	Steps int    `default:"1" help:"For a profile: how many versions back."`
}

// Help implements kong.HelpProvider.
func (*profileDiff) Help() string {
	return `A name that is an existing file, or has a dot or a slash, is a file. Examples:

  lynxctl profile diff creative-check.toml    what the file would change
  lynxctl profile diff creative-check         what a rollback would change`
}

// Run shows the differences.
func (c *profileDiff) Run(env *environment) error {
	ctx, cancel := env.context()
	defer cancel()
	if !isFile(c.What) {
		admin, err := env.admin()
		if err != nil {
			return err
		}
		version, _, err := admin.NewestVersion(ctx, c.What)
		if err != nil {
			return &readError{err}
		}
		reply, err := reading(admin.Rollback(ctx, c.What, lynxapi.RollbackRequest{
			IfVersion: version, Steps: c.Steps, ChangeID: client.NewKey(), DryRun: true,
		}))
		if err != nil {
			return err
		}
		return env.showDiff(reply.Diff)
	}
	p, err := readProfile(env, c.What)
	if err != nil {
		return err
	}
	admin, err := env.admin()
	if err != nil {
		return err
	}
	version, current, err := admin.NewestVersion(ctx, p.Name)
	if err != nil {
		return &readError{err}
	}
	if version == 0 {
		env.printf("profile %s is new\n", p.Name)
		return nil
	}
	return env.showDiff(profile.Diff(current, p))
}

func isFile(what string) bool {
	if what == "-" || strings.ContainsAny(what, "./") {
		return true
	}
	info, err := os.Stat(what)
	return err == nil && info.Mode().IsRegular()
}

func (e *environment) showDiff(diff []profile.DiffLine) error {
	if diff == nil {
		diff = []profile.DiffLine{}
	}
	return e.show(diff, func() {
		if len(diff) == 0 {
			e.printf("no difference\n")
		}
		e.printDiff(diff)
	})
}

func (e *environment) printDiff(diff []profile.DiffLine) {
	for _, line := range diff {
		e.printf("%s\n", line)
	}
}
