package bench

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// raceLog keeps what operators were told of their changes.
type raceLog struct {
	mu      sync.Mutex // guards results
	results []raceResult
}

type raceResult struct {
	kind     string // state of the change, or kind of the error
	profile  string
	version  uint64
	changeID string
	took     time.Duration
}

func (r *raceLog) add(result raceResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *raceLog) all() []raceResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]raceResult(nil), r.results...)
}

// String counts the results by kind, with the time that acceptance took.
func (r *raceLog) String() string {
	counts := make(map[string]int)
	accepted := newHistogram()
	for _, result := range r.all() {
		counts[result.kind]++
		if result.kind == lynxapi.ChangeAccepted {
			record(accepted, result.took)
		}
	}
	var parts []string
	for kind, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, kind))
	}
	sort.Strings(parts)
	return fmt.Sprintf("%s; accepted after p50 %.0f ms, p99 %.0f ms", strings.Join(parts, ", "), millis(accepted, 50), millis(accepted, 99))
}

// declared returns the profiles that were declared.
func (c *Cluster) declared() []profile.Profile {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.profiles
}

// settleTime is how long instances may take to agree after the last fault.
const settleTime = 10 * time.Second

// checkProfiles returns what is wrong with the profiles in force: an instance
// that is behind an accepted version, two accepted changes of one version, or
// instances that do not come to agree. An interrupted run has no time for that.
func (c *Cluster) checkProfiles(ctx context.Context) []string {
	highest, wrong := c.race.accepted()
	limited, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for !c.agree(highest) {
		if sleep.For(limited, readyPoll) == nil {
			continue
		}
		if !interrupted(ctx) {
			return append(wrong, "instances do not agree on the profiles in force: "+c.versions())
		}
		break
	}
	return wrong
}

// agree reports whether all instances have the same versions, none below the
// highest that an operator was told.
func (c *Cluster) agree(highest map[string]uint64) bool {
	instances := c.Instances()
	for _, p := range c.declared() {
		seen := make(map[uint64]bool)
		for _, n := range instances {
			v, _ := n.Daemon.Board().Profiles.Get(p.Name)
			if v.Version < highest[p.Name] {
				return false
			}
			seen[v.Version] = true
		}
		if len(seen) > 1 {
			return false
		}
	}
	return true
}

func (c *Cluster) versions() string {
	var parts []string
	for _, n := range c.Instances() {
		for _, p := range c.declared() {
			v, _ := n.Daemon.Board().Profiles.Get(p.Name)
			parts = append(parts, fmt.Sprintf("%s %s@%d", n.ID, p.Name, v.Version))
		}
	}
	return strings.Join(parts, ", ")
}
