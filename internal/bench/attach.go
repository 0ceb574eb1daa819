package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lynxhill.example/lynxhill/examples/profiles"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// attachTimeout bounds one call to the control endpoint or to an admin API.
const attachTimeout = 5 * time.Second

// Attached is a deployment whose stand-ins and instances run as processes of
// their own.
type Attached struct {
	Layout Layout

	dir     string
	tickets client.TicketUse
	http    *http.Client
}

// Attach reads what Standins has written to a directory.
func Attach(dir string, tickets client.TicketUse) (*Attached, error) {
	text, err := os.ReadFile(filepath.Join(dir, LayoutFile))
	if err != nil {
		return nil, err
	}
	a := &Attached{dir: dir, tickets: tickets, http: &http.Client{Timeout: attachTimeout}}
	if err := json.Unmarshal(text, &a.Layout); err != nil {
		return nil, fmt.Errorf("%s: %w", LayoutFile, err)
	}
	return a, nil
}

// Deployment is the name of the deployment.
func (a *Attached) Deployment() string { return a.Layout.Deployment }

// Zones are the deployment's availability zones.
func (a *Attached) Zones() []string { return a.Layout.Zones }

// Caller returns a client of an organisation.
func (a *Attached) Caller(organisation, zone string) *client.Caller {
	var servers []string
	for _, i := range a.Layout.Instances {
		servers = append(servers, i.Caller)
	}
	return client.NewCaller(client.CallerOptions{
		Servers: servers, Token: a.Layout.CallerTokens[organisation], Zone: zone, Region: a.Layout.Region,
		IdleTimeout: callerSilence, Tickets: a.tickets,
	})
}

// Admin returns a client of one instance's admin API.
func (a *Attached) Admin(i LayoutInstance) *client.Admin {
	return client.NewAdmin(client.AdminOptions{Servers: []string{i.Admin}, Token: a.Layout.OperatorToken})
}

// Profiles returns those of the deployment's profiles that are in force.
func (a *Attached) Profiles(ctx context.Context) ([]profile.Profile, error) {
	examples, err := profiles.Load(a.Layout.Deployment)
	if err != nil {
		return nil, err
	}
	versions, err := a.versions(ctx)
	if err != nil {
		return nil, err
	}
	var list []profile.Profile
	for _, p := range examples {
		if versions[p.Name] > 0 {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return nil, errors.New("no profile is in force: declare some with lynxctl profile set")
	}
	return list, nil
}

// versions are the highest that any instance has of each profile.
func (a *Attached) versions(ctx context.Context) (map[string]uint64, error) {
	highest := make(map[string]uint64)
	var last error
	reached := 0
	for _, i := range a.Layout.Instances {
		views, err := a.profilesOf(ctx, i)
		if err != nil {
			last = err
			continue
		}
		reached++
		for _, v := range views {
			highest[v.Name] = max(highest[v.Name], v.Version)
		}
	}
	if reached == 0 {
		return nil, last
	}
	return highest, nil
}

func (a *Attached) profilesOf(ctx context.Context, i LayoutInstance) ([]lynxapi.ProfileView, error) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	list, err := a.Admin(i).Profiles(ctx)
	return list.Profiles, err
}

// checkProfiles returns what is wrong with the profiles in force: instances
// that are behind a version that was accepted, or that do not come to agree.
// Every instance has to answer. An interrupted run has no time for that.
func (a *Attached) checkProfiles(ctx context.Context, accepted map[string]uint64) []string {
	limited, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for {
		wrong := a.disagreements(limited, accepted)
		if len(wrong) == 0 || interrupted(ctx) {
			return nil
		}
		if sleep.For(limited, 10*readyPoll) != nil && !interrupted(ctx) {
			return wrong
		}
	}
}

func (a *Attached) disagreements(ctx context.Context, accepted map[string]uint64) []string {
	var wrong []string
	agreed := make(map[string]uint64)
	for _, i := range a.Layout.Instances {
		views, err := a.profilesOf(ctx, i)
		if err != nil {
			wrong = append(wrong, fmt.Sprintf("%s tells no profiles: %v", i.ID, err))
			continue
		}
		has := make(map[string]uint64)
		for _, v := range views {
			has[v.Name] = v.Version
			if agreed[v.Name] == 0 {
				agreed[v.Name] = v.Version
			}
			if v.Version != agreed[v.Name] {
				wrong = append(wrong, fmt.Sprintf("%s has %s@%d, another %d", i.ID, v.Name, v.Version, agreed[v.Name]))
			}
		}
		for name, version := range accepted {
			if has[name] < version {
				wrong = append(wrong, fmt.Sprintf("%s has %s@%d, accepted was %d", i.ID, name, has[name], version))
			}
		}
	}
	return wrong
}

// evidence asks the stand-ins for the runs, and reads the violations from the
// instances' logs: a killed instance has no other memory of them.
func (a *Attached) evidence(ctx context.Context, list []profile.Profile) (Evidence, error) {
	query := url.Values{"service": singleRunServices(list)}
	var e Evidence
	if err := a.control(ctx, http.MethodGet, PathEvidence+"?"+query.Encode(), nil, &e); err != nil {
		return e, err
	}
	logs, err := filepath.Glob(filepath.Join(a.dir, LogPattern))
	if err != nil {
		return e, err
	}
	for _, name := range logs {
		found, err := violationsIn(name)
		if err != nil {
			return e, err
		}
		e.Violations = append(e.Violations, found...)
	}
	return e, nil
}

// defectMarks are what a log holds of a defect: the event of a broken
// invariant, or what the runtime writes when a goroutine panics.
var defectMarks = []string{event.Lookup(event.InvariantViolated).Name, "panic:", "panic serving", "fatal error:"}

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

func violationsIn(name string) ([]invariant.Violation, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var found []invariant.Violation
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		for _, mark := range defectMarks {
			if strings.Contains(lines.Text(), mark) {
				found = append(found, invariant.Violation{Rule: invariant.Rule(mark), Detail: filepath.Base(name) + ": " + lines.Text()})
			}
		}
	}
	return found, lines.Err()
}

// Fault has the stand-ins begin a fault.
func (a *Attached) Fault(ctx context.Context, fault Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	return a.control(ctx, http.MethodPost, PathFaults, body, nil)
}

func (a *Attached) control(ctx context.Context, method, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.Layout.Control+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLogLine))
		return fmt.Errorf("control endpoint: %s", strings.TrimSpace(string(text)))
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}

// Ready returns nil if every instance takes requests and sees all others and
// all targets.
func (a *Attached) Ready(ctx context.Context) error {
	for _, i := range a.Layout.Instances {
		ctx, cancel := context.WithTimeout(ctx, attachTimeout)
		status, err := a.Admin(i).Status(ctx)
		cancel()
		if err != nil {
			return fmt.Errorf("%s: %w", i.ID, err)
		}
		if !status.Ready || status.Alive < len(a.Layout.Instances) || status.Targets < len(a.Layout.Targets) {
			return fmt.Errorf("%s: ready %t, sees %d instances and %d targets", i.ID, status.Ready, status.Alive, status.Targets)
		}
	}
	return nil
}
