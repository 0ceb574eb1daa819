package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// instanceTable holds the instance list. Reads show it as it was a lag ago.
type instanceTable struct {
	lag time.Duration
	ttl time.Duration
	now func() time.Time

	mu       sync.Mutex // guards the fields below
	version  uint64
	versions map[string][]entryVersion // by instance id, oldest first
}

// entryVersion is what the list said of an instance from a moment on.
type entryVersion struct {
	from     time.Time
	expires  time.Time // zero: never
	gone     bool
	instance platformapi.Instance
}

func newInstanceTable(lag, ttl time.Duration, now func() time.Time) *instanceTable {
	return &instanceTable{lag: lag, ttl: ttl, now: now, versions: make(map[string][]entryVersion)}
}

// register announces or refreshes an instance; it expires after the TTL.
func (t *instanceTable) register(instance platformapi.Instance) {
	t.add(instance.ID, entryVersion{instance: instance, expires: t.now().Add(t.ttl)})
}

// set places an entry that doesn't expire.
func (t *instanceTable) set(instance platformapi.Instance) {
	t.add(instance.ID, entryVersion{instance: instance})
}

func (t *instanceTable) remove(id string) { t.add(id, entryVersion{gone: true}) }

func (t *instanceTable) add(id string, next entryVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	next.from = t.now()
	t.versions[id] = append(t.trimmed(t.versions[id], next.from), next)
}

// trimmed drops the versions that no read can show any more: those followed
// by another that has been visible for the lag already.
func (t *instanceTable) trimmed(all []entryVersion, now time.Time) []entryVersion {
	visible := now.Add(-t.lag)
	for len(all) > 1 && !all[1].from.After(visible) {
		all = all[1:]
	}
	return slices.Clone(all)
}

// list returns the instances as they were a lag ago.
func (t *instanceTable) list() platformapi.InstanceList {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.now().Add(-t.lag)
	list := platformapi.InstanceList{Version: t.version, Instances: []platformapi.Instance{}}
	for _, versions := range t.versions {
		if instance, ok := versionAt(versions, at); ok {
			list.Instances = append(list.Instances, instance)
		}
	}
	slices.SortFunc(list.Instances, func(a, b platformapi.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func versionAt(versions []entryVersion, at time.Time) (platformapi.Instance, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		if v.from.After(at) {
			continue
		}
		expired := !v.expires.IsZero() && !v.expires.After(at)
		return v.instance, !v.gone && !expired
	}
	return platformapi.Instance{}, false
}
