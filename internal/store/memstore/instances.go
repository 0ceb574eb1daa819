package memstore

import (
	"context"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

// listing is an entry of the instance list since a moment.
type listing struct {
	since    time.Time
	gone     bool
	instance store.Instance
}

// Instances implements store.InstanceLister: the list as it was InstanceLag ago.
func (s *Store) Instances(ctx context.Context) ([]store.Instance, error) {
	var out []store.Instance
	err := s.read(ctx, func() error {
		out = s.listed(s.opts.Clock.Now().Add(-s.opts.InstanceLag))
		return nil
	})
	return out, err
}

// listed returns the instances as of the moment, by id. s.mu is held.
func (s *Store) listed(at time.Time) []store.Instance {
	var out []store.Instance
	for _, history := range s.instances {
		for i := len(history) - 1; i >= 0; i-- {
			if history[i].since.After(at) {
				continue
			}
			if !history[i].gone {
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

// SetInstance changes the list as the platform itself would.
func (s *Store) SetInstance(instance store.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstance(instance, false)
}

// RemoveInstance takes an instance off the list.
func (s *Store) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstance(store.Instance{ID: id}, true)
}

func (s *Store) setInstance(instance store.Instance, gone bool) {
	entry := listing{since: s.opts.Clock.Now(), gone: gone, instance: instance}
	s.instances[instance.ID] = append(s.instances[instance.ID], entry)
}

var _ store.Store = (*Store)(nil)
