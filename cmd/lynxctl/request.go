package main

import (
	"encoding/json"
	"fmt"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// location is where the caller is.
type location struct {
	Place  string `help:"Place of the caller; its instances come first."`
	Region string `help:"Region of the caller."`
}

type addressCommand struct{ location }

// Run shows the address answer.
func (c *addressCommand) Run(env *environment) error {
	ctx, cancel := env.context()
	defer cancel()
	caller, err := env.caller(client.CallerOptions{Zone: c.Place, Region: c.Region})
	if err != nil {
		return err
	}
	answer, err := reading(caller.Address(ctx))
	if err != nil {
		return err
	}
	return env.show(answer, func() {
		env.table([]string{"INSTANCE", "ADDRESS", "PLACE", "REGION", "WEIGHT"},
			rowsOf(answer.Addresses, func(a lynxapi.Address) []string {
				return []string{a.ID, a.Address, a.Zone, a.Region, fmt.Sprintf("%.2f", a.Weight)}
			}))
		env.printf("keep for %v\n", time.Duration(answer.KeepMS)*time.Millisecond)
	})
}

type sendCommand struct {
	Profile      string        `arg:"" help:"Profile."`
	Organisation string        `required:"" env:"LYNXCTL_ORGANISATION" help:"Organisation of the request; must be that of the token."`
	Input        string        `xor:"input" help:"Input, JSON; text that is no JSON is sent as a JSON string."`
	InputFile    string        `xor:"input" placeholder:"FILE" help:"File that holds the input; - for the standard input."`
	Key          string        `help:"Idempotency key; default: a new one. The same key never runs a booking twice."`
	Deadline     time.Duration `help:"Time for the whole answer; default: the profile's."`
	Stream       bool          `help:"Show the answer as it is made."`
	Prefix       string        `help:"Name of the prompt prefix that the input shares with others."`
	NoResend     bool          `help:"Send once, whatever comes back."`
	location
}

// Help implements kong.HelpProvider.
func (*sendCommand) Help() string {
	return `Asks which instance to use, connects there, checks that the answer is whole, and sends again under the same key where that is safe. Examples:

  lynxctl send trafficking-note --organisation agency-1 --input '{"campaign": 7}' --stream
  lynxctl send booking --organisation agency-1 --input-file line.json --key line-4711 --deadline 5s`
}

// Run sends the request.
func (c *sendCommand) Run(env *environment) error {
	input, err := c.input(env)
	if err != nil {
		return err
	}
	if c.Deadline < 0 {
		return usagef("--deadline must be above 0")
	}
	ctx, cancel := env.context()
	defer cancel()
	opts := client.CallerOptions{Zone: c.Place, Region: c.Region}
	if c.NoResend {
		opts.MaxAttempts = 1
	}
	caller, err := env.caller(opts)
	if err != nil {
		return err
	}
	req := lynxapi.SendRequest{
		Organisation: c.Organisation, Key: c.Key, DeadlineMS: c.Deadline.Milliseconds(),
		Input: input, Prefix: c.Prefix, Stream: c.Stream,
	}
	result, err := caller.Send(ctx, c.Profile, req, c.deliver(env))
	if err != nil {
		return &sendError{key: lastKey(req, result), err: err}
	}
	return c.show(env, result)
}

// lastKey returns the key that the request was last sent under. The client makes
// the key of a request without one, by a ticket while the store is down.
func lastKey(req lynxapi.SendRequest, result client.Result) string {
	if n := len(result.Keys); n > 0 {
		return result.Keys[n-1]
	}
	return req.Key
}

// input returns the input as JSON.
func (c *sendCommand) input(env *environment) (json.RawMessage, error) {
	text := []byte(c.Input)
	if c.InputFile != "" {
		raw, err := readFile(env, c.InputFile)
		if err != nil {
			return nil, err
		}
		text = raw
	}
	if len(text) == 0 {
		return nil, usagef("no input: give --input or --input-file")
	}
	if json.Valid(text) {
		return text, nil
	}
	return json.Marshal(string(text))
}

// deliver prints the pieces of a streamed answer as they come.
func (c *sendCommand) deliver(env *environment) client.FrameFunc {
	if !c.Stream || env.json() {
		return nil
	}
	return func(frame lynxapi.Frame) error {
		_, err := fmt.Fprint(env.stdout, frame.Text)
		return err
	}
}

// sent is the JSON form of an answer.
type sent struct {
	lynxapi.SendReply
	Text     string `json:"text,omitempty"`
	Attempts int    `json:"attempts"`
}

func (c *sendCommand) show(env *environment, result client.Result) error {
	reply := result.Reply
	return env.show(sent{SendReply: reply, Text: result.Text, Attempts: result.Attempts}, func() {
		switch {
		case c.Stream && result.Text != "":
			env.printf("\n")
		case result.Text != "":
			env.printf("%s\n", result.Text)
		default:
			env.printf("%s\n", reply.Output)
		}
		fmt.Fprintf(env.stderr, "key %s, instance %s, version %d, %.0f ms%s, %d tokens%s%s\n",
			reply.Key, orDash(reply.Instance), reply.ProfileVersion, reply.TotalMS,
			textIf(reply.FirstTokenMS > 0, fmt.Sprintf(", first token %.0f ms", reply.FirstTokenMS)), reply.Tokens,
			textIf(result.Attempts > 1, fmt.Sprintf(", %d attempts", result.Attempts)),
			textIf(reply.Repeated, ", answer of an earlier request with this key"))
		c.showStages(env, reply.Stages)
	})
}

func (c *sendCommand) showStages(env *environment, stages []lynxapi.StageCost) {
	for _, s := range stages {
		fmt.Fprintf(env.stderr, "  %-18s %-8s %-18s %7.1f ms  cost %.4f  attempts %d\n",
			s.Stage, s.Provider, s.Target, s.DurationMS, s.Cost, s.Attempts)
	}
}

type outcomeCommand struct {
	Key          string `arg:"" help:"Idempotency key."`
	Organisation string `required:"" env:"LYNXCTL_ORGANISATION" help:"Organisation of the request."`
}

// Run tells what became of a key.
func (c *outcomeCommand) Run(env *environment) error {
	ctx, cancel := env.context()
	defer cancel()
	caller, err := env.caller(client.CallerOptions{})
	if err != nil {
		return err
	}
	reply, err := reading(caller.Outcome(ctx, c.Organisation, c.Key))
	if err != nil {
		return err
	}
	return env.show(reply, func() {
		env.printf("%s\n", reply.State)
		if reply.ErrorKind != "" {
			env.printf("error kind %s, run state %s\n", reply.ErrorKind, reply.RunState)
		}
		if len(reply.Output) > 0 {
			env.printf("%s\n", reply.Output)
		}
	})
}
