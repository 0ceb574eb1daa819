// Package route holds the configuration of plain HTTP requests that operators
// declare: the service for a host and path, the limits, the stages before the
// last call, and the API keys of organisations. A Table is one version of the
// whole configuration. The package does no I/O and reads no clock.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request of a route may run more than once.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // at most once
	Idempotent                // may run more than once
	Streaming                 // a stream of events; at most once unless Route.Resumable
)

// String returns the kind as it is written to logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Route maps requests of a host and path to one or more services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with "/"
	Kind             Kind
	Timeout          time.Duration // longest time that a caller waits for an answer; 0 = unlimited
	LatencyObjective time.Duration // latency objective of an answer, or of the first event of a stream
	AbandonAfter     time.Duration // time after which callers abandon a stream without a first event; 0 = unknown
	EventGap         time.Duration // objective for the longest pause between events of a stream
	Priority         int           // 0 is the most urgent
	Services         []WeightedService
	MaxAttempts      int // number of targets that one request may be sent to
	Stages           []Stage
	Anonymous        bool // needs no key
	Affinity         bool // requests carry prompt parts, see relay.Prompt
	Resumable        bool // a stream may be resumed at another target
}

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	Name   string
	Weight int
}

// Stage is a step that a service performs before the last call.
type Stage struct {
	Service     string
	After       []int // indexes of the stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick chooses the service for a request by weight. u is a random number,
// uniform in [0, 1). Pick returns "" if the route has no service.
func (r *Route) Pick(u float64) string {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	rest := int(u * float64(total))
	for _, s := range r.Services {
		if rest -= max(s.Weight, 0); rest < 0 {
			return s.Name
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Name
}

// Service is a group of interchangeable targets.
type Service struct {
	Name            string
	HealthPath      string
	ConnectionLimit int // connections to one target from all instances together
	// ColdTime is how long a target is cold after its start; 0 = targets of the
	// service are never cold. ColdRate is the number of requests per second that
	// a cold target can handle from all instances together; 0 = unlimited.
	ColdTime time.Duration
	ColdRate float64
	Engine   *Engine // set for model engines, else nil
	Pieces   *Pieces // set for stage services, else nil
}

// Engine describes the capacity and abilities of one model engine of a service.
type Engine struct {
	Slots         int           // maximum number of requests that run at once
	MemoryTokens  int64         // memory in tokens, shared by running requests and cached prompt parts
	EventTokens   int           // tokens in one event of a stream
	MoveLifetime  time.Duration // lifetime of the handle of a move
	TokenBytes    int64         // memory of one token, in bytes
	MovesAllowed  bool
	BackupAllowed bool
}

// Pieces describes the capacity of one target of a stage service.
type Pieces struct {
	Slots          int           // maximum number of calls that run at once
	Queue          int           // maximum number of calls that wait
	Batch          int           // maximum number of pieces in one call
	CallTime       time.Duration // approximate fixed time of a call
	ItemTime       time.Duration // approximate time of one piece
	ResultMemory   int64         // memory for results, in bytes
	ResultLifetime time.Duration // how long after its call a result expires that is not freed
}

// Limits bounds what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is an organisation with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // overrides the priority of the route; negative = no override
}

// Table is one version of the declared routes. It is immutable once built.
type Table struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Limits        Limits
	Organisations []Organisation

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Organisation
}

// Build builds the table's indexes and returns the table. It must be called once,
// before the table is shared between goroutines.
func (t *Table) Build() *Table {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	t.byKey = make(map[string]*Organisation)
	for i := range t.Organisations {
		for _, key := range t.Organisations[i].Keys {
			t.byKey[key] = &t.Organisations[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest matching path prefix, or
// nil if there is none. A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// KeysRequired reports whether any organisation is declared. If none is, requests need
// no key.
func (t *Table) KeysRequired() bool { return len(t.Organisations) > 0 }

// OrganisationByKey returns the organisation that holds the key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.byKey[key] }

// routePriorities is the number of priorities of routes that CombinedPriority tells apart.
const routePriorities = 10

// CombinedPriority returns the rank of a request among those that compete for the same
// targets: by its priority, and among requests of the same priority, which may be that of
// their organisations, by the priority of their routes.
func CombinedPriority(priority, routePriority int) int {
	return priority*routePriorities + min(max(routePriority, 0), routePriorities-1)
}

// Priority returns the priority of a request of the route by the organisation,
// which may be nil: the organisation's priority if it has one, else the route's.
func Priority(r *Route, o *Organisation) int {
	if o != nil && o.Priority >= 0 {
		return o.Priority
	}
	return r.Priority
}
