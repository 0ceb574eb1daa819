// Package metrics keeps the metrics of one instance as expvar variables. Each
// metric is defined once, with its unit and meaning, so that a test can compare
// docs/METRICS.md with the code. A registry belongs to one daemon, not to the
// process, so that several daemons can run in one process, as in package bench.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"sync"
)

// Definition describes a metric.
type Definition struct {
	Name    string
	Unit    string
	Meaning string
}

var (
	definitionsMu sync.RWMutex // guards definitions
	definitions   = make(map[string]Definition)
)

// Define adds a metric to the catalogue and returns its definition. Call it
// only to initialise package-level variables: it panics if the name is already
// defined.
func Define(name, unit, meaning string) Definition {
	definitionsMu.Lock()
	defer definitionsMu.Unlock()
	if _, taken := definitions[name]; taken {
		panic(fmt.Sprintf("metric %s defined twice", name))
	}
	d := Definition{Name: name, Unit: unit, Meaning: meaning}
	definitions[name] = d
	return d
}

// All returns all definitions, sorted by name.
func All() []Definition {
	definitionsMu.RLock()
	defer definitionsMu.RUnlock()
	all := make([]Definition, 0, len(definitions))
	for _, d := range definitions {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Registry holds the metrics of one daemon.
type Registry struct {
	mu   sync.Mutex // guards vars
	vars map[string]expvar.Var
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{vars: make(map[string]expvar.Var)}
}

// Counter returns the counter or gauge of the definition, which is created at
// its first use. A nil registry returns a new one that is not published.
func (r *Registry) Counter(d Definition) *expvar.Int {
	return variable(r, d, func() *expvar.Int { return new(expvar.Int) })
}

// Labelled returns the counters of the definition, keyed by label.
func (r *Registry) Labelled(d Definition) *expvar.Map {
	return variable(r, d, func() *expvar.Map { return new(expvar.Map).Init() })
}

// Func publishes a value that is computed when it is read.
func (r *Registry) Func(d Definition, f func() any) {
	variable(r, d, func() expvar.Func { return f })
}

func variable[V expvar.Var](r *Registry, d Definition, create func() V) V {
	if r == nil {
		return create()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.vars[d.Name].(V); ok {
		return v
	}
	v := create()
	r.vars[d.Name] = v
	return v
}

// Value returns the current JSON value of a metric, or "" if it has none.
func (r *Registry) Value(d Definition) string {
	r.mu.Lock()
	v := r.vars[d.Name]
	r.mu.Unlock()
	if v == nil {
		return ""
	}
	return v.String()
}

// ServeHTTP writes all metrics as one JSON object, as expvar does.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	for i, name := range r.names() {
		if i > 0 {
			fmt.Fprint(w, ",\n")
		}
		fmt.Fprintf(w, "%q: %s", name, r.Value(Definition{Name: name}))
	}
	fmt.Fprint(w, "\n}\n")
}

func (r *Registry) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.vars))
	for name := range r.vars {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
