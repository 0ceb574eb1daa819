package limits

import (
	"encoding/json"
	"sort"
	"strings"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// KeyPrefix is the prefix of the limits' keys in the store; the organisation
// follows.
const KeyPrefix = "limits/"

// Step applies changes of the limits that profile sync keeps on the board. The
// board keeps deleted objects as tombstones and its versions only increase, so no
// other source is needed: 370 instances that each polled the store would use most
// of its capacity for answers that nothing has changed.
func (c *Controller) Step() {
	objects := c.options.Board.Objects.Snapshot()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, object := range objects {
		organisation, ours := strings.CutPrefix(key, KeyPrefix)
		if ours && organisation != "" && object.Version > c.applied[organisation] {
			c.apply(organisation, object)
		}
	}
}

// apply puts one object in force. An object that is not a valid limit leaves the
// previous limit in force. mu must be held.
func (c *Controller) apply(organisation string, object board.ConfigObject) {
	c.applied[organisation] = object.Version
	c.version = max(c.version, object.Version)
	if object.Deleted {
		c.remove(organisation)
		return
	}
	var limit lynxapi.OrganisationLimit
	if err := json.Unmarshal(object.Value, &limit); err != nil || limit.RatePerSecond < 0 || limit.Concurrent < 0 {
		c.options.Logger.Log(event.LimitsInvalid, "key", KeyPrefix+organisation, "version", object.Version)
		return
	}
	limit.Organisation = organisation
	limit.IfVersion = object.Version
	c.objects[organisation] = limit
	c.settling = settleTicks
}

func (c *Controller) remove(organisation string) {
	delete(c.objects, organisation)
	c.options.Board.Limits.Delete(organisation)
	c.options.Board.Usage.Delete(organisation)
}

// Limits returns the limits in force, by organisation.
func (c *Controller) Limits() []lynxapi.OrganisationLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]lynxapi.OrganisationLimit, 0, len(c.objects))
	for _, l := range c.objects {
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Organisation < all[j].Organisation })
	return all
}
