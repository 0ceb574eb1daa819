package bench

import (
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// System is what a load is sent to: the instances of this process (Cluster),
// or instances that run as processes of their own (Attached).
type System interface {
	Deployment() string // fleet.MediaPlace or fleet.Kilimanjaro
	Zones() []string
	Caller(organisation, zone string) *client.Caller
}

// Evidence is what targets and instances have noted during a load. The answers
// that callers got are held against it.
type Evidence struct {
	Runs            []targetapi.RunRecord `json:"runs"`
	Doubled         []targetapi.RunRecord `json:"doubled"`          // runs beyond the first that may be run once
	CrossedPrevious int                   `json:"crossed_previous"` // runs given another request's output
	Violations      []invariant.Violation `json:"violations,omitempty"`
}

// Deployment is the name of the deployment.
func (c *Cluster) Deployment() string { return c.Fleet.Name }

// Zones are the deployment's availability zones.
func (c *Cluster) Zones() []string { return c.Fleet.Zones }

func (c *Cluster) evidence(list []profile.Profile) Evidence {
	return Evidence{
		Runs:            c.Fleet.Runs(),
		Doubled:         c.Fleet.DoubledRuns(singleRunServices(list)...),
		CrossedPrevious: c.Fleet.CrossedPrevious(),
		Violations:      c.Violations.Violations(),
	}
}
