package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// DemoOptions are those of the demo.
type DemoOptions struct {
	Out       io.Writer
	Log       io.Writer // the instances' logs; nil discards them
	Instances int       // of each deployment
	Requests  int       // of each kind, after the ones that are shown
	Keep      bool      // go on until ctx ends
	Seed      uint64
}

// demoRequest is a kind of request that the demo shows.
type demoRequest struct {
	deployment, profile, organisation, title string
	input                                    string
}

var demoRequests = []demoRequest{
	{fleet.MediaPlace, "creative-check", "agency-1", "check a creative against publisher rules", `{"creative":"summer banner 728x90","publisher":"daily-news"}`},
	{fleet.MediaPlace, "booking", "agency-2", "book a line item, at most once", `{"order":"IO-2041","line":7,"impressions":250000}`},
	{fleet.Kilimanjaro, "curve-write", "dealer-1", "write a curve and bill the fitting, at most once", `{"headset":"KA-12","curve":[0.5,1.5,-2.0,0.0]}`},
	{fleet.Kilimanjaro, "tuning-report", "dealer-2", "draft a full tuning report", `{"headset":"KA-12","room":"workshop","listener":"L-381"}`},
}

// shownText is how much of a long streamed answer the terminal shows.
const shownText = 160

// Demo runs both deployments, sends requests of both and prints what happened.
// It returns an error if a promise was broken; times never decide.
func Demo(ctx context.Context, opts DemoOptions) error {
	started := time.Now()
	demo := &demo{opts: opts, clusters: make(map[string]*Cluster), profiles: make(map[string]map[string]profile.Profile)}
	defer demo.close()
	if err := demo.start(ctx); err != nil {
		return err
	}
	demo.printf("ready after %s\n", time.Since(started).Round(10*time.Millisecond))
	for _, r := range demoRequests {
		demo.show(ctx, r)
	}
	demo.crowd(ctx)
	demo.summary()
	if opts.Keep {
		demo.keep(ctx)
	}
	return demo.verdict()
}

// demo is a run of the demo.
type demo struct {
	opts     DemoOptions
	clusters map[string]*Cluster
	profiles map[string]map[string]profile.Profile

	mu       sync.Mutex        // guards what follows
	attained map[string]*tally // by profile
	broken   []string
}

// tally counts the requests of a profile.
type tally struct{ sent, whole, inTime int }

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.opts.Out, format, args...) }

func (d *demo) start(ctx context.Context) error {
	d.attained = make(map[string]*tally)
	for _, name := range fleet.Names() {
		c, err := StartCluster(ClusterOptions{
			Fleet: fleet.Options{Name: name}, Instances: d.opts.Instances, Seed: d.opts.Seed, Log: d.opts.Log,
		})
		if err != nil {
			return err
		}
		d.clusters[name] = c
		if err := d.prepare(ctx, name, c); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) prepare(ctx context.Context, name string, c *Cluster) error {
	if err := c.AwaitReady(ctx); err != nil {
		return err
	}
	list, err := c.DeclareProfiles(ctx)
	if err != nil {
		return err
	}
	d.profiles[name] = make(map[string]profile.Profile)
	for _, p := range list {
		d.profiles[name][p.Name] = p
	}
	d.printf("%s: %d targets in %s, %d instances, profiles %s\n", name, len(c.Fleet.Members()),
		strings.Join(c.Fleet.Zones, ", "), d.opts.Instances, profileNames(list))
	return nil
}

func profileNames(list []profile.Profile) string {
	var names []string
	for _, p := range list {
		names = append(names, p.Name)
	}
	return strings.Join(names, ", ")
}

// show sends one request and prints its answer as it comes. A request that
// runs at most once is sent twice with the same key, to show that the second
// gets the first one's answer.
func (d *demo) show(ctx context.Context, r demoRequest) {
	d.printf("\n%s: %s (%s)\n", r.deployment, r.title, r.profile)
	shown := 0
	result, err := d.send(ctx, r, client.NewKey(), json.RawMessage(r.input), func(f lynxapi.Frame) error {
		text := f.Text[:min(len(f.Text), max(0, shownText-shown))]
		shown += len(f.Text)
		d.printf("%s", text)
		return nil
	})
	if err != nil {
		d.printf("  refused: %s\n", errkind.Of(err))
		return
	}
	if shown > shownText {
		d.printf(" ...")
	}
	if !result.Reply.Streamed {
		d.printf("%s", result.Reply.Output)
	}
	d.printf("\n  %s from %s, %d stages, whole after %.0f ms\n", r.profile, result.Reply.Instance, len(result.Reply.Stages), result.Reply.TotalMS)
	d.showAgain(ctx, r, result)
}

func (d *demo) showAgain(ctx context.Context, r demoRequest, first client.Result) {
	if !d.runsOnce(r) {
		return
	}
	again, err := d.send(ctx, r, first.Reply.Key, json.RawMessage(r.input), nil)
	if err != nil {
		d.breach("%s: a resend under the same key failed: %v", r.profile, err)
		return
	}
	if string(again.Reply.Output) != string(first.Reply.Output) {
		d.breach("%s: a resend under the same key got another answer", r.profile)
	}
	d.printf("  sent again with the same key: the same answer, repeated=%t\n", again.Reply.Repeated)
}

func (d *demo) runsOnce(r demoRequest) bool {
	for _, stage := range d.profiles[r.deployment][r.profile].Stages {
		if !stage.Idempotent {
			return true
		}
	}
	return false
}

// send sends one request and checks its answer.
func (d *demo) send(ctx context.Context, r demoRequest, key string, input json.RawMessage, deliver client.FrameFunc) (client.Result, error) {
	c := d.clusters[r.deployment]
	prof := d.profiles[r.deployment][r.profile]
	started := time.Now()
	result, err := c.Caller(r.organisation, c.Fleet.Zones[0]).Send(ctx, r.profile, lynxapi.SendRequest{
		Organisation: r.organisation, Key: key, Input: input, Stream: true,
	}, deliver)
	d.count(r.profile, err == nil, time.Since(started) <= prof.Deadline)
	if err != nil {
		d.checkRefusal(ctx, r, err)
		return result, err
	}
	if err := CheckWhole(result, prof.Stages[len(prof.Stages)-1], r.organisation, input); err != nil {
		d.breach("%s: %v", r.profile, err)
	}
	return result, nil
}

// checkRefusal takes a refusal with a kind for an answer: on a slow machine a
// deadline may pass. Silence, and errors that say nothing, are broken promises.
func (d *demo) checkRefusal(ctx context.Context, r demoRequest, err error) {
	if ctx.Err() == nil && errkind.Is(err, errkind.Internal) {
		d.breach("%s: no final answer: %v", r.profile, err)
	}
}

func (d *demo) count(name string, whole, inTime bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.attained[name]
	if t == nil {
		t = &tally{}
		d.attained[name] = t
	}
	t.sent++
	if whole {
		t.whole++
	}
	if whole && inTime {
		t.inTime++
	}
}

func (d *demo) breach(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

// crowd sends many requests of all kinds at once.
func (d *demo) crowd(ctx context.Context) {
	d.printf("\nsending %d more of each at once\n", d.opts.Requests)
	var sending sync.WaitGroup
	for _, r := range demoRequests {
		for i := range d.opts.Requests {
			input := json.RawMessage(fmt.Sprintf(`{"number":%d,"of":%s}`, i, r.input))
			sending.Go(func() { _, _ = d.send(ctx, r, client.NewKey(), input, nil) })
		}
	}
	sending.Wait()
}

// verdict checks the promises over everything that was sent.
func (d *demo) verdict() error {
	for name, c := range d.clusters {
		var list []profile.Profile
		for _, p := range d.profiles[name] {
			list = append(list, p)
		}
		for _, run := range c.Fleet.DoubledRuns(singleRunServices(list)...) {
			d.breach("%s: key ran twice at %s, stage %s", name, run.Target, run.Stage)
		}
		for _, v := range c.Violations.Violations() {
			d.breach("%s: invariant %s: %s", name, v.Rule, v.Detail)
		}
	}
	if len(d.broken) > 0 {
		return fmt.Errorf("promises broken:\n  %s", strings.Join(d.broken, "\n  "))
	}
	d.printf("\nevery answer was whole, its own and single\n")
	return nil
}

func (d *demo) close() {
	var ending sync.WaitGroup
	for _, c := range d.clusters {
		ending.Go(c.Close)
	}
	ending.Wait()
}
