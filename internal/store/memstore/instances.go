package memstore

import (
	"context"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

// listEntry is an entry of the instance list, valid from the time since.
type listEntry struct {
	since    time.Time
	removed  bool
	instance store.Instance
}

// Instances implements store.InstanceLister. It returns the list as it was
// InstanceLag ago.
func (s *Store) Instances(ctx context.Context) ([]store.Instance, error) {
	var out []store.Instance
	err := s.read(ctx, func() error {
		out = s.instancesAt(s.opts.Clock.Now().Add(-s.opts.InstanceLag))
		return nil
	})
	return out, err
}

// instancesAt returns the instances listed at the given time, by id. The caller holds
// s.mu.
func (s *Store) instancesAt(at time.Time) []store.Instance {
	var out []store.Instance
	for _, history := range s.instances {
		for i := len(history) - 1; i >= 0; i-- {
			if history[i].since.After(at) {
				continue
			}
			if !history[i].removed {
				out = append(out, history[i].instance)
			}
			break
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Register implements store.InstanceLister.
func (s *Store) Register(ctx context.Context, self store.Instance) error {
	_, err := s.write(ctx, func() (store.Object, error) {
		s.setInstance(self, false)
		return store.Object{}, nil
	})
	return err
}

// SetInstance adds or replaces an entry of the list, as the platform itself would.
func (s *Store) SetInstance(instance store.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstance(instance, false)
}

// RemoveInstance removes an instance from the list.
func (s *Store) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstance(store.Instance{ID: id}, true)
}

func (s *Store) setInstance(instance store.Instance, gone bool) {
	entry := listEntry{since: s.opts.Clock.Now(), removed: gone, instance: instance}
	s.instances[instance.ID] = append(s.instances[instance.ID], entry)
}

var _ store.Store = (*Store)(nil)
