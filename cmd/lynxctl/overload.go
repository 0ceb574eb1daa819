package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/overloadapi"
)

type overloadCommand struct {
	Addresses    []string `arg:"" name:"address" help:"Metrics address of an instance (ingress.metrics), host:port or URL."`
	Organisation string   `placeholder:"NAME" help:"Only the rows of this organisation."`
	Route        string   `placeholder:"NAME" help:"Only the rows of this route."`
	JSON         bool     `name:"json" help:"The same as --output json."`
}

// Help implements kong.HelpProvider.
func (*overloadCommand) Help() string {
	return `Only the instances that decide for a service or cell show its requests: ask all of them, or those that event 4211 names in dispatcher. What several tell is added up. Examples:

  lynxctl overload 10.0.0.1:9090
  lynxctl overload 10.0.0.1:9090 10.0.0.2:9090 --organisation agency-1
  lynxctl overload 10.0.0.1:9090 --route booking --json`
}

// Run shows the merged pages. If an instance gave none, the others are shown and the command
// fails.
func (c *overloadCommand) Run(env *environment) error {
	if c.JSON {
		env.Output = "json"
	}
	ctx, cancel := env.context()
	defer cancel()
	config, err := env.tls()
	if err != nil {
		return err
	}
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	report, err := c.fetch(ctx, &http.Client{Transport: transport}, config != nil)
	if len(report.Instances) == 0 {
		return err
	}
	report.Keep(c.Organisation, c.Route)
	if shown := env.show(report, func() { printOverload(env, report) }); shown != nil {
		return shown
	}
	return err
}

// maxFetches bounds the pages that are fetched at a time.
const maxFetches = 16

// fetch fetches the pages of all addresses and merges them in their order. The error joins
// those of the addresses without a page.
func (c *overloadCommand) fetch(ctx context.Context, caller *http.Client, tls bool) (overloadapi.Report, error) {
	pages, errs := make([]overloadapi.Page, len(c.Addresses)), make([]error, len(c.Addresses))
	places := make(chan struct{}, maxFetches)
	var fetching sync.WaitGroup
	for k, address := range c.Addresses {
		fetching.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			pages[k], errs[k] = fetchOverload(ctx, caller, address, tls)
		})
	}
	fetching.Wait()
	var report overloadapi.Report
	for k, address := range c.Addresses {
		if errs[k] == nil {
			report.Add(address, pages[k])
		}
	}
	return report, joinPageErrors(errs)
}

// pageError says which instance gave no page, and why.
type pageError struct {
	address string
	err     error
}

// Error implements error.
func (e *pageError) Error() string { return e.address + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *pageError) Unwrap() error { return e.err }

// joinPageErrors returns one error for all pages that are missing. An instance that was not
// reached decides about the exit status.
func joinPageErrors(errs []error) error {
	joined := errors.Join(errs...)
	var transport *client.TransportError
	switch {
	case joined == nil:
		return nil
	case errors.As(joined, &transport):
		return &readError{&client.TransportError{Server: "no page", Err: joined}}
	}
	return &readError{joined}
}

func fetchOverload(ctx context.Context, caller *http.Client, address string, tls bool) (page overloadapi.Page, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, overloadURL(address, tls), nil)
	if err != nil {
		return page, usagef("%s is no address: %w", address, err)
	}
	answer, err := caller.Do(request)
	if err != nil {
		return page, &client.TransportError{Server: address, Err: fmt.Errorf("not reachable: %w", err)}
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return page, &pageError{address, errkind.New(errkind.NotFound, "there is no page %s: the instance runs an older version, or this is not its metrics address", overloadapi.Path)}
	default:
		return page, &pageError{address, fmt.Errorf("status %d for %s", answer.StatusCode, overloadapi.Path)}
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, overloadapi.MaxBytes))
	if err != nil {
		return page, &client.TransportError{Server: address, Err: fmt.Errorf("the page broke off: %w", err)}
	}
	if err := json.Unmarshal(text, &page); err != nil {
		return page, &pageError{address, fmt.Errorf("the page can't be read: %w", err)}
	}
	return page, nil
}

func overloadURL(address string, tls bool) string {
	switch {
	case strings.Contains(address, "://"):
	case tls:
		address = "https://" + address
	default:
		address = "http://" + address
	}
	return strings.TrimRight(address, "/") + overloadapi.Path
}
