// Package overloadapi defines the page on which an instance tells operators what its overload
// control decides. Instances serve it, lynxctl reads it.
package overloadapi

// Path is the HTTP path of the page, at the metrics address.
const Path = "/overload"

// MaxRows bounds each list of a page.
const MaxRows = 128

// MaxBytes bounds what is read of a page. Names are at most a few hundred bytes long.
const MaxBytes = 4 << 20

// Page is what one instance tells. All times are relative to its own clock.
type Page struct {
	Instance string `json:"instance"`
	Parts    []Part `json:"parts"`
	Decisions
}

// Part is a part of the overload control.
type Part struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"` // of PartSlotQueue, which is switched for each service
	InForce bool   `json:"in_force"`
	Setting string `json:"setting"` // "auto", "on" or "off"
	Why     Why    `json:"why"`
}

// Names of parts.
const (
	PartSlotQueue    = "slot_queue"
	PartReservations = "reservations"
	PartShares       = "shares"
)

// Why is the reason for which a part is in force or not.
type Why string

// The reasons.
const (
	WhySetting Why = "setting"                  // the setting is on or off
	WhyScarce  Why = "scarce_capacity"          // the platform announces scarce capacity
	WhyPaced   Why = "pace_stated"              // a target has stated its pace
	WhyBoth    Why = "scarce_capacity_and_pace" // both
	WhyNeither Why = "nothing_demands_it"       // neither
)

// Decisions is what an instance decides as dispatcher of stage work and as coordinator of slots.
type Decisions struct {
	Slots        []Slots        `json:"slots"`
	Queues       []Queue        `json:"queues"`
	Refusals     []Refusal      `json:"refusals"`
	Reservations []Reservations `json:"reservations"`
	Shares       []Share        `json:"shares"`
	Routes       []RouteShare   `json:"routes"`
	// Since the start: reservations by what became of them, jobs that became late or were
	// refused by the rules of the shares, results of stage targets by what became of them.
	ReservationCounts map[string]int   `json:"reservation_counts"`
	LateByRule        map[string]int   `json:"late_by_rule"`
	RefusedByRule     map[string]int   `json:"refused_by_rule"`
	Results           map[string]int64 `json:"results"`
	OmittedRows       int              `json:"omitted_rows"` // beyond MaxRows of a list
}

// Decider is the role in which an instance decides.
type Decider string

// The roles.
const (
	Dispatcher  Decider = "dispatcher"
	Coordinator Decider = "coordinator"
)

// Slots is the state of one shard of a service of which the instance is the coordinator.
type Slots struct {
	Service  string         `json:"service"`
	Shard    int            `json:"shard"`
	Sessions int            `json:"sessions"` // instances that ask this one, for any service
	Slots    int            `json:"slots"`
	Used     int            `json:"used"`
	MeanPace float64        `json:"mean_pace"`
	Demand   float64        `json:"demand"`   // slots' worth of work that arrives, also what is refused
	Capacity float64        `json:"capacity"` // slots' worth of work that can be done
	Targets  map[string]int `json:"targets"`  // by state
}

// Queue is the requests of one organisation and route to a service: those that wait for a slot
// or for their stages, and those that hold a slot or have been placed at an engine.
type Queue struct {
	Decider      Decider `json:"decider"`
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"`
	Route        string  `json:"route"`
	Waiting      int     `json:"waiting"`
	Late         int     `json:"late"`      // of those waiting, not expected to be on time
	OldestMS     int64   `json:"oldest_ms"` // longest time that one of them has waited
	Held         int     `json:"held"`
}

// Refusal is the refusals of one organisation and route by one rule in the last ten seconds.
type Refusal struct {
	Decider      Decider `json:"decider"`
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"`
	Route        string  `json:"route"`
	Rule         string  `json:"rule"`
	Count        int     `json:"count"`
	LastMS       int64   `json:"last_ms"`  // time since the latest
	UntilMS      int64   `json:"until_ms"` // time until the last of their callers is due, by Retry-After; negative = passed
}

// Reservations is the callers of one organisation and route for whom capacity is reserved.
type Reservations struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Callers      int    `json:"callers"`
	NextMS       int64  `json:"next_ms"` // time until the first of them is due; negative = passed
}

// Share is the recent work of an organisation's jobs at a stage service.
type Share struct {
	Cell         string `json:"cell"`
	Service      string `json:"service"`
	Short        bool   `json:"short"` // jobs were late recently for want of the service's targets
	Organisation string `json:"organisation"`
	Priority     int    `json:"priority"`
	OnTimeMS     int64  `json:"on_time_ms"`
	LateMS       int64  `json:"late_ms"`
	ShareMS      int64  `json:"share_ms"` // its equal share
	Over         bool   `json:"over"`     // it is above its share
}

// RouteShare is the recent jobs of a route at a stage service, and the parts of them that are on
// time: of all sizes, of the largest tenth, and of the fifth below it.
type RouteShare struct {
	Cell          string  `json:"cell"`
	Service       string  `json:"service"`
	Route         string  `json:"route"`
	Jobs          float64 `json:"jobs"`
	OnTime        float64 `json:"on_time"`
	LargestOnTime float64 `json:"largest_on_time"`
	LargeOnTime   float64 `json:"large_on_time"`
}
