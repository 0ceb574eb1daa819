package lynxapi

import (
	"time"

	"lynxhill.example/lynxhill/internal/profile"
)

// Paths of the admin API.
const (
	PathProfiles        = "/v1/profiles"                // GET: ProfileList
	PathProfile         = "/v1/profiles/:name"          // GET: ProfileView; PUT: ChangeRequest; DELETE ?if_version=&change_id=
	PathProfileRollback = "/v1/profiles/:name/rollback" // POST: RollbackRequest
	PathProfileForce    = "/v1/profiles/:name/force"    // GET: InForceReply
	PathChange          = "/v1/changes/:id"             // GET: ChangeReply
	PathInstances       = "/v1/instances"               // GET: InstanceList
	PathTargets         = "/v1/targets"                 // GET: TargetList
	PathStatus          = "/v1/status"                  // GET: Status
	PathDrains          = "/v1/drains"                  // GET: DrainList; POST: DrainRequest; DELETE ?subject=
	PathLimits          = "/v1/limits"                  // GET: LimitList; PUT: OrganisationLimit
	PathPlacements      = "/v1/placements"              // GET: PlacementList; PUT: ModelPlan
	PathBurn            = "/v1/report/burn"             // GET: BurnReport
	PathBurnLocal       = "/v1/report/burn/local"       // GET: BurnReport of this instance alone
	PathMetrics         = "/debug/vars"

	// ParamWindow is the query parameter for the time that a report covers, such
	// as "10m"; without it, the report covers the longest time that is kept.
	ParamWindow = "window"
)

// Profile states of a change.
const (
	ChangeAccepted = "accepted" // written, and in force wherever requests are accepted
	ChangeWritten  = "written"  // written, but some instances have not confirmed it yet
	ChangeUnknown  = "unknown"  // the platform did not confirm it; query it again by its ID
	ChangeRejected = "rejected"
	ChangeDryRun   = "dry_run"
)

// ChangeRequest declares a profile.
type ChangeRequest struct {
	Profile profile.Profile `json:"profile"`
	// IfVersion is the version that the operator saw, 0 for a new profile.
	IfVersion uint64 `json:"if_version"`
	ChangeID  string `json:"change_id"`
	DryRun    bool   `json:"dry_run"`
	WaitMS    int64  `json:"wait_ms"` // how long to wait for acceptance
}

// RollbackRequest puts an earlier version's content in force as a new version.
type RollbackRequest struct {
	IfVersion uint64 `json:"if_version"`
	Steps     int    `json:"steps"` // 1 = the version before
	ChangeID  string `json:"change_id"`
	DryRun    bool   `json:"dry_run"`
	WaitMS    int64  `json:"wait_ms"`
}

// ChangeReply is the state of a change.
type ChangeReply struct {
	ChangeID string             `json:"change_id"`
	State    string             `json:"state"`
	Name     string             `json:"name"`
	Version  uint64             `json:"version"`
	Diff     []profile.DiffLine `json:"diff,omitempty"`
	Force    InForceReply       `json:"force"`
}

// InForceReply states on how many instances a version is in force.
type InForceReply struct {
	Name    string   `json:"name"`
	Version uint64   `json:"version"`
	Total   int      `json:"total"`    // instances that may serve
	InForce int      `json:"in_force"` // of them, those that have the version or a later one
	Missing []string `json:"missing,omitempty"`
	Fenced  []string `json:"fenced,omitempty"` // unreachable for so long that they accept no work
}

// ProfileView is a profile in force.
type ProfileView struct {
	Name     string          `json:"name"`
	Version  uint64          `json:"version"`
	ChangeID string          `json:"change_id"`
	Operator string          `json:"operator,omitempty"`
	At       time.Time       `json:"at"`
	Profile  profile.Profile `json:"profile"`
	History  int             `json:"history"` // earlier versions kept for rollback
}

// ProfileList is the list of profiles.
type ProfileList struct {
	Profiles []ProfileView `json:"profiles"`
}

// InstanceView is an instance as the answering instance sees it.
type InstanceView struct {
	ID          string  `json:"id"`
	Incarnation uint64  `json:"incarnation"`
	State       string  `json:"state"`
	CallerAddr  string  `json:"caller_addr"`
	AdminAddr   string  `json:"admin_addr"`
	Zone        string  `json:"place"`
	Region      string  `json:"region"`
	Room        float64 `json:"room"`
	InFlight    int     `json:"in_flight"`
	Draining    bool    `json:"draining"`
}

// InstanceList is the list of instances.
type InstanceList struct {
	Instances []InstanceView `json:"instances"`
}

// TargetView is a target as the answering instance sees it.
type TargetView struct {
	ID       string   `json:"id"`
	Service  string   `json:"service"`
	Kind     string   `json:"kind"`
	Provider string   `json:"provider"`
	Zone     string   `json:"place"`
	Address  string   `json:"address"`
	Leaving  bool     `json:"leaving"`
	Running  int      `json:"running"`
	Queued   int      `json:"queued"`
	Slots    int      `json:"slots"`
	LoadAge  float64  `json:"load_age_ms"`
	Models   []string `json:"models,omitempty"`
}

// TargetList is the list of targets.
type TargetList struct {
	Targets []TargetView `json:"targets"`
}

// Status is a summary of an instance and of what it sees of the system.
type Status struct {
	Instance    string         `json:"instance"`
	Zone        string         `json:"place"`
	Ready       bool           `json:"ready"`
	Isolated    bool           `json:"isolated"`
	Stopping    bool           `json:"stopping"`
	StoreUp     bool           `json:"store_up"`
	Members     int            `json:"members"`
	Alive       int            `json:"alive"`
	Targets     int            `json:"targets"`
	Leaving     int            `json:"leaving"`
	InFlight    int            `json:"in_flight"`
	Profiles    []InForceReply `json:"profiles"`
	Violations  int            `json:"violations"`
	StoreCalls  uint64         `json:"store_calls"`
	UptimeS     float64        `json:"uptime_s"`
	OrderGivers []OrderGiver   `json:"order_givers,omitempty"`
}

// OrderGiver is the instance that gives orders to the engines of a service.
type OrderGiver struct {
	Service string `json:"service"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
}

// DrainRequest orders a drain: the subject gets no new work.
type DrainRequest struct {
	Subject string `json:"subject"` // instance/ID, place/NAME, target/ID or targets-in/PLACE
	// Force drains a subject even if the answering instance does not know it;
	// otherwise such a request is refused as not_found.
	Force bool `json:"force,omitempty"`
}

// DrainView is a drain in force.
type DrainView struct {
	Subject string    `json:"subject"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// DrainList is the list of drains.
type DrainList struct {
	Drains []DrainView `json:"drains"`
}

// OrganisationLimit is the limit of an organisation across all instances.
type OrganisationLimit struct {
	Organisation  string  `json:"organisation"`
	RatePerSecond float64 `json:"rate_per_second"`
	Concurrent    int     `json:"concurrent"`
	IfVersion     uint64  `json:"if_version"`
}

// LimitList is the list of limits.
type LimitList struct {
	Limits []OrganisationLimit `json:"limits"`
}

// ModelPlan states which models the engines of a service should hold.
type ModelPlan struct {
	Service   string      `json:"service"`
	Models    []ModelWant `json:"models"`
	Roles     []RoleWant  `json:"roles,omitempty"`
	IfVersion uint64      `json:"if_version"`
}

// RoleWant states how many engines should have a role.
type RoleWant struct {
	Role    string `json:"role"`
	Engines int    `json:"engines"`
}

// ModelWant is a model version that a service should have ready.
type ModelWant struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Min      int      `json:"min"` // minimum number of targets that hold it
	Max      int      `json:"max"` // 0 = as many as demand requires
}

// PlacementList is the list of model plans.
type PlacementList struct {
	Plans []ModelPlan `json:"plans"`
}

// BurnReport is the service-level report on error budgets and costs.
type BurnReport struct {
	Instance  string       `json:"instance"`
	Instances int          `json:"instances"` // number of instances merged into the report
	Missing   []string     `json:"missing,omitempty"`
	At        time.Time    `json:"at"`
	WindowS   float64      `json:"window_s"`
	ShortS    float64      `json:"short_s"` // lengths of the two burn windows
	LongS     float64      `json:"long_s"`
	Rows      []BurnRow    `json:"rows"`
	Causes    []BurnCause  `json:"causes"`
	Costs     []CostRow    `json:"costs"`
	Series    []BurnSeries `json:"series"`
}

// BurnRow is the attainment of one profile, organisation or availability zone
// (whose scope is "place").
type BurnRow struct {
	Scope      string  `json:"scope"` // profile, organisation or place
	Name       string  `json:"name"`
	Profile    string  `json:"profile,omitempty"`
	Objective  float64 `json:"objective"`
	Total      uint64  `json:"total"`
	Attained   uint64  `json:"attained"`
	Attainment float64 `json:"attainment"`
	BudgetLeft float64 `json:"budget_left"` // share of the error budget; below 0 when overspent
	BurnShort  float64 `json:"burn_short"`  // error rate over the short window as a multiple of the budgeted one
	BurnLong   float64 `json:"burn_long"`
	P50MS      float64 `json:"p50_ms"`
	P95MS      float64 `json:"p95_ms"`
	P99MS      float64 `json:"p99_ms"`
	FirstP95MS float64 `json:"first_p95_ms"`
	// Excluded counts requests that failed because of the caller, such as with a
	// malformed body; no other figure includes them.
	Excluded uint64 `json:"excluded,omitempty"`
	// Allowed is how many misses the objective allows for Total. With it and the
	// counts of the two burn windows, rows of several instances can be added.
	Allowed float64    `json:"allowed"`
	Short   BurnWindow `json:"short"`
	Long    BurnWindow `json:"long"`
	// LatencySketch and FirstSketch are DDSketches of milliseconds, from which
	// the quantiles of a merged row are computed.
	LatencySketch []byte `json:"latency_sketch,omitempty"`
	FirstSketch   []byte `json:"first_sketch,omitempty"`
}

// BurnWindow holds the counts of one burn window.
type BurnWindow struct {
	Total   uint64  `json:"total"`
	Missed  uint64  `json:"missed"`
	Allowed float64 `json:"allowed"`
}

// BurnCause is a cause of misses that consumed error budget, with their number.
type BurnCause struct {
	Profile   string `json:"profile"`
	Stage     string `json:"stage"`
	Target    string `json:"target"`
	ErrorKind string `json:"error_kind"`
	Count     uint64 `json:"count"`
}

// CostRow is the cost of a stage by provider.
type CostRow struct {
	Profile  string  `json:"profile"`
	Stage    string  `json:"stage"`
	Provider string  `json:"provider"`
	Calls    uint64  `json:"calls"`
	Cost     float64 `json:"cost"`
	Wasted   float64 `json:"wasted"`
	Tokens   uint64  `json:"tokens"`
	MeanMS   float64 `json:"mean_ms"`
}

// BurnSeries is attainment over time, in steps of a minute or less.
type BurnSeries struct {
	Profile string      `json:"profile"`
	StepS   float64     `json:"step_s"` // length of one point
	Points  []BurnPoint `json:"points"`
}

// BurnPoint is one step of a series.
type BurnPoint struct {
	At       time.Time `json:"at"`
	Total    uint64    `json:"total"`
	Attained uint64    `json:"attained"`
	Cost     float64   `json:"cost"`
}
