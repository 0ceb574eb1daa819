package stagework

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// zone gives the number of targets in a zone: of each of three stage services,
// and engines.
type zone struct {
	name                                 string
	booking, billing, reporting, engines int
}

// divided returns the names of the cells for a view of the zones.
func divided(d *Partition, zones ...zone) string {
	table := &route.Table{Services: map[string]*route.Service{
		"booking": {Pieces: &route.Pieces{}}, "billing": {Pieces: &route.Pieces{}}, "reporting": {Pieces: &route.Pieces{}},
		"lm": {Engine: &route.Engine{}},
	}}
	var targets []fleet.Target
	for _, z := range zones {
		for service, n := range map[string]int{"booking": z.booking, "billing": z.billing, "reporting": z.reporting, "lm": z.engines} {
			for k := range n {
				targets = append(targets, fleet.Target{ID: fmt.Sprint(service, z.name, k), Service: service, Zone: z.name})
			}
		}
	}
	var names []string
	for _, c := range d.Update(table, fleet.NewView(1, targets)) {
		names = append(names, c.Name())
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// TestACellStaysWhileTargetsComeAndGo guards against merging and separating
// cells when targets crash and return. If three of five booking targets of zone
// d crashed and d were merged with c, two dispatchers would have jobs for both
// zones, twice; their calls would take 250 ms longer than nominal, and requests
// would be refused for seconds.
func TestACellStaysWhileTargetsComeAndGo(t *testing.T) {
	full := []zone{{"a", 4, 4, 4, 20}, {"b", 5, 4, 4, 20}, {"c", 5, 4, 5, 20}, {"d", 5, 3, 5, 20}}
	with := func(last ...zone) []zone { return append(slices.Clone(full[:3]), last...) }
	d := &Partition{}
	for _, c := range []struct {
		what  string
		zones []zone
		want  string
	}{
		{"all targets", full, "a b c d"},
		{"three targets crash", with(zone{"d", 2, 3, 5, 20}), "a b c d"},
		{"one target of each service is left", with(zone{"d", 1, 1, 1, 1}), "a b c d"},
		{"all targets are back", full, "a b c d"},
		{"the zone is evacuated", with(), "a b c"},
		{"targets crash meanwhile", []zone{{"a", 1, 4, 4, 20}, full[1], full[2]}, "a b c"},
		{"the evacuation ends", full, "a b c d"},
		{"no target of a service is left", with(zone{"d", 5, 0, 5, 20}), "a b c,d"},
		{"the service is back", full, "a b c d"},
		{"a zone is added", append(slices.Clone(full), zone{"e", 5, 5, 5, 5}), "a b c d e"},
		{"a small zone is added", append(slices.Clone(full), zone{"e", 5, 5, 5, 5}, zone{"f", 1, 1, 1, 1}), "a b c d e,f"},
	} {
		if got := divided(d, c.zones...); got != c.want {
			t.Errorf("%s: %q, want %q", c.what, got, c.want)
		}
	}
}
