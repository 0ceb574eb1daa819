package event

import (
	"fmt"
	"sort"
	"sync"
)

// catalogue maps each event number to its definition. The events of a package
// are defined in a file of this package named catalogue_PACKAGE.go.
var (
	catalogueMu sync.RWMutex // guards catalogue
	catalogue   = make(map[ID]Definition)
)

// define adds definitions to the catalogue. It panics if a number is defined
// twice; it runs at package initialisation, so any test run detects that.
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

// Lookup returns the definition of the event number. For an unknown number it
// returns an error event, so that the event appears in the log instead of being
// dropped.
func Lookup(id ID) Definition {
	catalogueMu.RLock()
	defer catalogueMu.RUnlock()
	if d, ok := catalogue[id]; ok {
		return d
	}
	return Definition{ID: id, Level: Error, Name: "undefined_event"}
}

// All returns all definitions, sorted by event number.
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
