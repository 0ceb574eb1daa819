// Package slo measures how well requests meet their deadlines against the
// objective of their profile: attainment, remaining error budget, burn rate,
// causes of misses, and the cost of each stage by provider.
//
// Each instance counts its own requests in bounded memory. Instances exchange
// their totals per profile in their heartbeats, so that each can compute the
// fleet's attainment; the full report merges the instances' local reports on
// demand. Nothing is written to the platform.
package slo

import (
	"expvar"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/pipeline"
)

// Defaults of Options.
const (
	DefaultShortWindow      = 5 * time.Minute
	DefaultLongWindow       = time.Hour
	DefaultMaxOrganisations = 256
	DefaultObjective        = 0.99
)

// minLongWindow keeps a step of the count rings at a second or more, because
// digests identify a step by its start in whole seconds.
const minLongWindow = countSteps * time.Second

// shardCount is the number of shards of each scope. Sharding reduces lock
// contention between requests of different profiles and organisations.
const shardCount = 16

var (
	metricRequests = metrics.Define("slo_requests_total", "requests", "Requests that count against an objective.")
	metricMissed   = metrics.Define("slo_missed_total", "requests", "Requests that failed or were answered after their deadline.")
	metricExcluded = metrics.Define("slo_excluded_total", "requests", "Failed requests that count against no objective, being the caller's own doing.")
	metricFolded   = metrics.Define("slo_organisations_folded_total", "organisations", "Times an organisation's counts were folded into \"other\" to bound memory.")
	metricDropped  = metrics.Define("slo_fleet_rows_dropped_total", "rows", "Rows of other instances that were ignored because the table was full.")
	metricFleet    = metrics.Define("slo_fleet_attainment", "share by profile", "Attainment of the whole fleet over the long window, as told by heartbeats.")
)

// Windows are the two windows over which the burn rate is computed.
type Windows struct {
	Short time.Duration // default 5 minutes
	Long  time.Duration // default 1 hour; also the longest window of a report
}

// Options configures a Tracker.
type Options struct {
	Clock clock.Clock
	// Objectives returns the objective of a profile, a share such as 0.99, or
	// 0 if it is unknown (DefaultObjective then applies).
	Objectives func(profile string) float64
	Windows    Windows
	// MaxOrganisations is how many organisations keep a row of their own after
	// a trim; the table grows to twice as many between two trims.
	MaxOrganisations int
	Instance         string
	Zone             string
	Logger           *event.Logger
	Metrics          *metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	if o.Objectives == nil {
		o.Objectives = func(string) float64 { return DefaultObjective }
	}
	defaults.Positive(&o.Windows.Short, DefaultShortWindow)
	defaults.Positive(&o.Windows.Long, DefaultLongWindow)
	o.Windows.Long = max(o.Windows.Long, minLongWindow)
	defaults.Positive(&o.MaxOrganisations, DefaultMaxOrganisations)
	return o
}

// Sample is the result of one finished request.
type Sample struct {
	Profile      string
	Organisation string
	Zone         string // of the instance that answered; default Options.Zone
	// Attained reports whether the whole answer was delivered before the deadline.
	Attained bool
	// Err is why the answer is missing or incomplete; its errkind is the cause.
	// Nil with Attained false means that the answer was complete but late.
	Err        error
	Total      time.Duration // from arrival to the end
	FirstToken time.Duration // from arrival to the first frame; 0 if not streamed
	Stages     []pipeline.StageReport
}

// Tracker counts the requests of one instance. It is safe for concurrent use.
type Tracker struct {
	clock      clock.Clock
	objectives func(string) float64
	windows    Windows
	instance   string
	zone       string
	started    time.Time
	logger     *event.Logger

	requests *expvar.Int
	missed   *expvar.Int
	excluded *expvar.Int

	profiles      [shardCount]profileShard
	zones         [shardCount]cellShard
	organisations [shardCount]organisationShard
	fleet         *fleet
}

// New returns an empty tracker.
func New(opts Options) *Tracker {
	opts = opts.withDefaults()
	t := &Tracker{
		clock:      opts.Clock,
		objectives: opts.Objectives,
		windows:    opts.Windows,
		instance:   opts.Instance,
		zone:       opts.Zone,
		started:    opts.Clock.Now(),
		logger:     opts.Logger,
		requests:   opts.Metrics.Counter(metricRequests),
		missed:     opts.Metrics.Counter(metricMissed),
		excluded:   opts.Metrics.Counter(metricExcluded),
	}
	t.fleet = newFleet(t, opts.Metrics.Counter(metricDropped))
	folded := opts.Metrics.Counter(metricFolded)
	perShard := max(1, opts.MaxOrganisations/shardCount)
	for i := range shardCount {
		t.profiles[i].byName = make(map[string]*profileCell)
		t.zones[i].byName = make(map[string]*cell)
		t.organisations[i] = newOrganisationShard(perShard, opts.Windows, folded)
	}
	opts.Metrics.Func(metricFleet, func() any { return t.fleetAttainment() })
	return t
}

// Observe counts one request. It is called once per request, when the request
// has ended; rejected requests are observed too.
func (t *Tracker) Observe(s Sample) {
	now := t.clock.Now()
	defaults.Set(&s.Zone, t.zone)
	o := t.observationOf(s)
	t.count(o)
	t.profiles[shardOf(s.Profile)].observe(now, t.windows, s, o)
	t.zones[shardOf(s.Zone)].observe(now, t.windows, s.Zone, o)
	t.organisations[shardOf(s.Organisation)].observe(now, s.Organisation, o)
}

// observation is what one request adds to each cell.
type observation struct {
	excluded      bool
	missed        bool
	answered      bool    // the answer is complete, so its times count
	allowedMisses float64 // fraction of a miss that the objective allows for one request
	cost          float64
	totalMS       float64
	firstMS       float64
}

func (t *Tracker) observationOf(s Sample) observation {
	o := observation{
		excluded:      s.Err != nil && causedByClient(errkind.Of(s.Err)),
		answered:      s.Err == nil,
		allowedMisses: 1 - t.objective(s.Profile),
		totalMS:       milliseconds(s.Total),
		firstMS:       milliseconds(s.FirstToken),
	}
	o.missed = !o.excluded && !s.Attained
	for _, stage := range s.Stages {
		o.cost += stage.Cost
	}
	return o
}

func (t *Tracker) objective(profile string) float64 {
	objective := t.objectives(profile)
	if objective <= 0 || objective >= 1 {
		return DefaultObjective
	}
	return objective
}

func (t *Tracker) count(o observation) {
	if o.excluded {
		t.excluded.Add(1)
		return
	}
	t.requests.Add(1)
	if o.missed {
		t.missed.Add(1)
	}
}

// causedByClient reports whether the caller caused an error of this kind, so
// that it says nothing about the service. If such errors counted, one broken
// client would spend the error budget of all callers.
func causedByClient(k errkind.Kind) bool {
	switch k {
	case errkind.BadRequest, errkind.NoOrganisation, errkind.Unauthenticated, errkind.Forbidden,
		errkind.UnknownProfile, errkind.UnknownKey, errkind.NotFound, errkind.TooLarge, errkind.DeadlinePast,
		errkind.OrganisationLimit, errkind.TargetRejectedInput, errkind.CrashesTargets,
		errkind.KeyReused, errkind.KeyExpired, errkind.KeyInProgress, errkind.Cancelled:
		return true
	}
	return false
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
