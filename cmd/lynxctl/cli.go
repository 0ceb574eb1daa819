package main

import (
	"time"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// globals are the flags of every command.
type globals struct {
	Server      []string      `short:"s" env:"LYNXCTL_SERVER" placeholder:"ADDR" help:"Admin address of an instance, host:port or URL; several are tried in turn."`
	Token       string        `env:"LYNXCTL_TOKEN" placeholder:"TOKEN" help:"Token. Better in the environment or a file: arguments show in the process list."`
	TokenFile   string        `env:"LYNXCTL_TOKEN_FILE" placeholder:"FILE" help:"File that holds the token."`
	Caller      []string      `env:"LYNXCTL_CALLER" placeholder:"ADDR" help:"Caller address of an instance, for address, send and outcome; default: --server."`
	CallerToken string        `env:"LYNXCTL_CALLER_TOKEN" placeholder:"TOKEN" help:"Token for address, send and outcome; default: --token."`
	CAFile      string        `name:"ca-file" env:"LYNXCTL_CA_FILE" placeholder:"FILE" help:"Certificates of the authority to trust, PEM; means TLS."`
	Output      string        `enum:"text,json" default:"text" help:"text or json."`
	Timeout     time.Duration `default:"30s" help:"Longest time for the whole command."`
}

// cli is the command line.
type cli struct {
	globals

	Profile    profileCommands   `cmd:"" help:"Declare and show profiles."`
	Change     changeCommand     `cmd:"" help:"Tell what became of a change."`
	Address    addressCommand    `cmd:"" help:"Show which instances callers are told to use."`
	Send       sendCommand       `cmd:"" help:"Send a request to a profile and show its answer."`
	Outcome    outcomeCommand    `cmd:"" help:"Tell what became of a request by its idempotency key."`
	Instances  instancesCommand  `cmd:"" help:"List lynxhill's instances."`
	Targets    targetsCommand    `cmd:"" help:"List the targets with their load."`
	Status     statusCommand     `cmd:"" help:"Show the answering instance and what it sees."`
	Drain      drainCommand      `cmd:"" help:"Order that an instance, a place or a target take no new work."`
	Undrain    undrainCommand    `cmd:"" help:"End a drain."`
	Drains     drainsCommand     `cmd:"" help:"List the drains in force."`
	Limit      limitCommands     `cmd:"" help:"Set and list limits of organisations."`
	Plan       planCommands      `cmd:"" help:"Set and list which models the engines of a service hold."`
	Overload   overloadCommand   `cmd:"" help:"Show what the overload control decides: who waits, who is refused and why."`
	Explain    explainCommand    `cmd:"" help:"Tell from logs what became of a request, and why."`
	Report     reportCommands    `cmd:"" help:"Service-level reports."`
	Completion completionCommand `cmd:"" help:"Set up tab completion of the shell."`
}

// completionCommand insists on a shell: the library would otherwise start a
// process to find out which one it is.
type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
	Code  bool   `short:"c" help:"Print the code that sets completion up, not how to run it."`
}

// Help implements kong.HelpProvider.
func (*completionCommand) Help() string {
	return "Example:\n\n  eval \"$(lynxctl completion -c bash)\""
}

// Run prints how to set up completion.
func (c *completionCommand) Run(ctx *kong.Context) error {
	return (&kongcompletion.Completion{Shell: c.Shell, Code: c.Code}).Run(ctx)
}
