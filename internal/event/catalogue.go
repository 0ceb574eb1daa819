package event

import (
	"fmt"
	"sort"
	"sync"
)

// catalogue holds every definition by number. Packages add theirs in a file
// of this package named after them, catalogue_PACKAGE.go.
var (
	catalogueMu sync.RWMutex // guards catalogue
	catalogue   = make(map[ID]Definition)
)

// define adds definitions; it panics when a number stands twice, which the
// first test run shows.
func define(defs ...Definition) bool {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	for _, d := range defs {
		if old, taken := catalogue[d.ID]; taken {
			panic(fmt.Sprintf("event %d defined twice: %s and %s", d.ID, old.Name, d.Name))
		}
		catalogue[d.ID] = d
	}
	return true
}

// Lookup returns the definition of the number. An unknown number is reported
// as an error event, so that it shows in the log instead of vanishing.
func Lookup(id ID) Definition {
	catalogueMu.RLock()
	defer catalogueMu.RUnlock()
	if d, ok := catalogue[id]; ok {
		return d
	}
	return Definition{ID: id, Level: Error, Name: "undefined_event"}
}

// All returns the catalogue in the order of the numbers.
func All() []Definition {
	catalogueMu.RLock()
	defer catalogueMu.RUnlock()
	all := make([]Definition, 0, len(catalogue))
	for _, d := range catalogue {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
