// Command lynxctl is the tool of lynxhill's operators and callers. It declares
// profiles, shows instances, targets and service levels, drains, and sends
// requests. docs/LYNXCTL.md describes every command and exit status.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
	"github.com/zeromicro/go-zero/core/logx"
)

func main() {
	// go-zero's HTTP client logs each failed call to the standard output, which
	// is where the answer goes.
	logx.Disable()
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// exitRequest carries a status out of kong, which ends the process for --help.
type exitRequest struct{ status int }

// run carries out one command line and returns the exit status.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) (status int) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		request, ok := cause.(exitRequest)
		if !ok {
			panic(cause)
		}
		status = request.status
	}()
	var commands cli
	parser, err := newParser(&commands, stdout, stderr)
	if err != nil {
		fmt.Fprintln(stderr, "lynxctl:", err)
		return exitRefused
	}
	kongcompletion.Register(parser)
	parsed, err := parser.Parse(args)
	if err != nil {
		return usage(parser, stderr, err)
	}
	env := &environment{globals: commands.globals, stdin: stdin, stdout: stdout, stderr: stderr}
	if err := parsed.Run(env); err != nil {
		env.complain(err)
		return exitStatus(err)
	}
	return exitOK
}

func newParser(commands *cli, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(commands,
		kong.Name("lynxctl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(status int) { panic(exitRequest{status}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
	)
}

// helpWidth is the widest that help is wrapped at.
const helpWidth = 100

const description = `Drives lynxhill: profiles, instances, targets, limits and reports through the admin API, and requests through the caller API.

Exit status: 0 done; 1 refused; 2 usage or an invalid file; 3 conflict with another change; 4 outcome unknown; 5 unreachable; 6 written, but not in force everywhere yet.`

// usage says what is wrong with the command line and where to read on.
func usage(parser *kong.Kong, stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "lynxctl:", err)
	var parse *kong.ParseError
	if errors.As(err, &parse) && parse.Context != nil && parse.Context.Selected() != nil {
		fmt.Fprintf(stderr, "See lynxctl %s --help.\n", parse.Context.Selected().Path())
		return exitUsage
	}
	fmt.Fprintf(stderr, "See %s --help.\n", parser.Model.Name)
	return exitUsage
}
