package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
)

// environment is what the commands work with.
type environment struct {
	globals
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// context ends with --timeout and on an interrupt.
func (e *environment) context() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

// admin returns a client of the admin API.
func (e *environment) admin() (*client.Admin, error) {
	if len(e.Server) == 0 {
		return nil, usagef("no server: give --server or set LYNXCTL_SERVER")
	}
	token, err := e.token()
	if err != nil {
		return nil, err
	}
	config, err := e.tls()
	if err != nil {
		return nil, err
	}
	return client.NewAdmin(client.AdminOptions{Servers: e.Server, Token: token, TLS: config}), nil
}

// withAdmin calls work with a client of the admin API, and with a context that
// ends with --timeout and on an interrupt.
func (e *environment) withAdmin(work func(ctx context.Context, admin *client.Admin) error) error {
	ctx, cancel := e.context()
	defer cancel()
	admin, err := e.admin()
	if err != nil {
		return err
	}
	return work(ctx, admin)
}

// display asks with a call that changes nothing, such as (*client.Admin).Status,
// and shows the answer: as JSON, or by text.
func display[M any](env *environment, ask func(*client.Admin, context.Context) (M, error), text func(M)) error {
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		message, err := reading(ask(admin, ctx))
		if err != nil {
			return err
		}
		return env.show(message, func() { text(message) })
	})
}

// caller returns a client of the caller API.
func (e *environment) caller(opts client.CallerOptions) (*client.Caller, error) {
	opts.Servers = e.Caller
	if len(opts.Servers) == 0 {
		opts.Servers = e.Server
	}
	if len(opts.Servers) == 0 {
		return nil, usagef("no caller address: give --caller or set LYNXCTL_CALLER")
	}
	opts.Token = e.CallerToken
	if opts.Token == "" {
		token, err := e.token()
		if err != nil {
			return nil, err
		}
		opts.Token = token
	}
	config, err := e.tls()
	if err != nil {
		return nil, err
	}
	opts.TLS = config
	return client.NewCaller(opts), nil
}

func (e *environment) token() (string, error) {
	if e.Token != "" || e.TokenFile == "" {
		return e.Token, nil
	}
	raw, err := os.ReadFile(e.TokenFile)
	if err != nil {
		return "", &usageError{fmt.Errorf("--token-file: %w", err)}
	}
	return strings.TrimSpace(string(raw)), nil
}

// tls returns nil without --ca-file; a server URL with https then trusts the
// system's authorities.
func (e *environment) tls() (*tls.Config, error) {
	if e.CAFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(e.CAFile)
	if err != nil {
		return nil, &usageError{fmt.Errorf("--ca-file: %w", err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, usagef("--ca-file: %s holds no PEM certificate", e.CAFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func (e *environment) json() bool { return e.Output == "json" }

// printf writes to the standard output.
func (e *environment) printf(format string, args ...any) {
	fmt.Fprintf(e.stdout, format, args...)
}

// show writes message as JSON, or calls text.
func (e *environment) show(message any, text func()) error {
	if !e.json() {
		text()
		return nil
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(message)
}

// table writes aligned columns.
func (e *environment) table(header []string, rows [][]string) {
	const gap = 2
	tab := tabwriter.NewWriter(e.stdout, 0, 0, gap, ' ', 0)
	fmt.Fprintln(tab, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	_ = tab.Flush()
}

// rowsOf returns a row of a table for each of all.
func rowsOf[T any](all []T, row func(T) []string) [][]string {
	rows := make([][]string, 0, len(all))
	for _, one := range all {
		rows = append(rows, row(one))
	}
	return rows
}

// failure is the JSON form of an error.
type failure struct {
	Error      string           `json:"error"`
	Kind       string           `json:"kind,omitempty"`
	RunState   errkind.RunState `json:"run_state,omitempty"`
	Resend     errkind.Resend   `json:"resend,omitempty"`
	Key        string           `json:"key,omitempty"` // of the request that failed
	ExitStatus int              `json:"exit_status"`
}

// complain writes an error to the standard error.
func (e *environment) complain(err error) {
	told := failure{Error: err.Error(), ExitStatus: exitStatus(err)}
	var usage *usageError
	var pending *pendingError
	var transport *client.TransportError
	var request *sendError
	if errors.As(err, &request) {
		told.Key = request.key
	}
	local := errors.As(err, &usage) || errors.As(err, &pending) || client.IsUnreachable(err) && errors.Is(err, client.ErrNoServers)
	if !local {
		told.RunState = client.RunStateOf(err)
	}
	// The last call broke: that is the whole answer, unless it stands in one
	// that speaks for all attempts.
	broken := errors.As(err, &transport) && errkind.Of(err) == errkind.Internal
	if !local && !broken {
		answer := errkind.Of(err).Answer()
		told.Kind, told.Resend = answer.Name, answer.Resend
	}
	if e.json() {
		_ = json.NewEncoder(e.stderr).Encode(told)
		return
	}
	fmt.Fprintf(e.stderr, "lynxctl: %s\n", told.Error)
	if told.Key != "" {
		fmt.Fprintf(e.stderr, "  key %s\n", told.Key)
	}
	if told.Kind != "" {
		fmt.Fprintf(e.stderr, "  kind %s, run state %s, resend %s\n", told.Kind, told.RunState, told.Resend)
	}
}
