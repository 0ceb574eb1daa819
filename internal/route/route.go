// Package route holds what operators declare about plain HTTP requests: which
// host and path lead to which service, under which limits, with which stages
// before the last call, and which organisations' keys open them. A Table is one
// version of all of it. It is pure data: it does no I/O and reads no clock.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // at most once
	Idempotent                // may run more than once
	Streaming                 // a stream of events; at most once unless Route.Resumable
)

// String returns the kind as it stands in logs.
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

// Route leads requests of a host and path to a service.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with "/"
	Kind          Kind
	Timeout       time.Duration // longest time that a request is kept waiting; 0 = not bounded
	TargetLatency time.Duration // within which an answer (the first event of a stream) is on time
	FirstWait     time.Duration // callers leave if nothing of a stream has come by then; 0 = not said
	EventGap      time.Duration // longest pause between events of a stream that is on time
	Priority      int           // 0 is the most urgent
	Services      []WeightedService
	MaxAttempts   int // targets that one request may be sent to
	Stages        []Stage
	Anonymous     bool // needs no key
	Affinity      bool // requests carry prompt parts, see relay.Prompt
	Resumable     bool // a stream may go on at another target
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Name   string
	Weight int
}

// Stage is work to be done by a service before the last call.
type Stage struct {
	Service     string
	After       []int // stages whose results it needs, by number
	ResultBytes int64 // about the size of one result
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick chooses the service for a request by weight; u is uniform in [0, 1).
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

// Service is a group of equal targets.
type Service struct {
	Name            string
	HealthPath      string
	ConnectionLimit int // of one target, from all instances together
	// ColdTime is how long a target is cold after its start; 0 = targets of the
	// service never are. ColdRate is how many requests a second it bears then,
	// from all instances together; 0 = it is not bounded.
	ColdTime time.Duration
	ColdRate float64
	Engine   *Engine // of model engines, else nil
	Pieces   *Pieces // of stage services, else nil
}

// Engine is what a model engine of a service can do.
type Engine struct {
	Slots         int   // requests run at once
	MemoryTokens  int64 // for running requests and kept prompt parts
	EventTokens   int   // tokens in one event of a stream
	MoveLifetime  time.Duration
	TokenBytes    int64 // memory of one token
	MovesAllowed  bool
	BackupAllowed bool
}

// Pieces is what one target of a stage service can do.
type Pieces struct {
	Slots          int // calls in progress at once
	Queue          int // calls that may wait
	Batch          int // pieces of one call
	CallTime       time.Duration
	ItemTime       time.Duration // of one piece, about
	ResultRoom     int64         // bytes
	ResultLifetime time.Duration // of a result that nobody frees, after its call
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // replaces the route's; negative = none
}

// Table is one version of the declared routes. It never changes once built.
type Table struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Limits        Limits
	Organisations []Organisation

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Organisation
}

// Build fills the table's indexes. It is called once, before the table is
// shared.
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

// Match returns the route of the host with the longest prefix of the path, or
// nil. A port in the host is ignored.
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

// Keyed reports whether requests need a key at all.
func (t *Table) Keyed() bool { return len(t.Organisations) > 0 }

// Holder returns the organisation that holds the key, or nil.
func (t *Table) Holder(key string) *Organisation { return t.byKey[key] }

// Priority returns the rank of a request of the route by the organisation,
// which may be nil.
func Priority(r *Route, o *Organisation) int {
	if o != nil && o.Priority >= 0 {
		return o.Priority
	}
	return r.Priority
}
