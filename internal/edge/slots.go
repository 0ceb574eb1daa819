package edge

import (
	"sync"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/slotqueue"
)

var metricSlotQueue = metrics.Define("edge_slot_queue", "0 or 1", "Whether requests of this instance to the plain service acquire slots; a service appears with its first request.")

// slots is this instance's part in sharing the slots of plain targets: the client for its
// own requests, and the coordinator for the services for which it ranks first. It
// implements forwarding.SlotQueue.
type slots struct {
	*slotqueue.Client
	i           *Instance
	coordinator *slotqueue.Coordinator
	ended       chan struct{} // closed when this instance stops to coordinate

	mu      sync.Mutex // guards enabled
	enabled map[string]bool
}

func (i *Instance) newSlots() *slots {
	s := &slots{i: i, ended: make(chan struct{}), enabled: make(map[string]bool)}
	s.coordinator = slotqueue.New(slotqueue.Options{
		Clock: i.o.Clock, Logger: i.o.Logger, Metrics: i.metrics, Rand: i.rand(),
		Targets: func(service string) []fleet.Target { return i.routes.Targets().Ready(service) },
		Bounds: slotqueue.Bounds{
			TargetBodyBytes: i.cfg.Overload.TargetBodyBytes, ColdRate: i.coldRate, TargetRate: i.notices.Limit,
		},
	})
	s.Client = slotqueue.NewClient(slotqueue.ClientOptions{
		Self: i.id(), Members: i.dispatcherCandidates, Capacity: i.capacity, Joining: i.discoveringMembers,
		Open: i.peers.OpenSlots, Local: s.coordinator.Open,
		Clock: i.o.Clock, Logger: i.o.Logger, Metrics: i.metrics,
	})
	i.metrics.Func(metricSlotQueue, func() any { return s.values() })
	return s
}

// coldRate returns the requests per second that a cold target of the service may get; 0 =
// not limited.
func (i *Instance) coldRate(service string) float64 {
	table := i.routes.Table()
	if table == nil || table.Services[service] == nil {
		return 0
	}
	return table.Services[service].ColdRate
}

// Enabled implements forwarding.SlotQueue.
func (s *slots) Enabled(service string) bool {
	setting, paced, enabled := s.inForce(service)
	s.mu.Lock()
	was := s.enabled[service]
	s.enabled[service] = enabled
	s.mu.Unlock()
	if was != enabled {
		s.i.o.Logger.Log(event.SlotQueueSwitched, "service", service, "enabled", enabled, "setting", setting, "paced", paced)
	}
	return enabled
}

// inForce tells whether the queue is in force for the service, and what that rests on.
func (s *slots) inForce(service string) (setting config.Mode, paced, enabled bool) {
	setting, paced = s.i.inForce.Load().Overload.SlotQueue, s.i.loads.StatesPace(service)
	return setting, paced, setting.Enabled(paced)
}

func (s *slots) values() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]int64, len(s.enabled))
	for service, enabled := range s.enabled {
		values[service] = 0
		if enabled {
			values[service] = 1
		}
	}
	return values
}

// accept opens a session of another instance with the coordinator. An instance that is
// stopping names another one instead.
func (s *slots) accept(instance string, answer func(slotqueue.Answer)) (session slotqueue.Session, first string) {
	if s.i.ingress.Stopping() {
		for _, first := range rendezvous.Top(s.i.id(), s.i.dispatcherCandidates(), 1) {
			return nil, first
		}
		return nil, ""
	}
	return s.coordinator.Open(instance, answer), ""
}

// handOver ends the sessions of all instances, which state their slots to those that rank
// next.
func (s *slots) handOver() {
	close(s.ended)
	s.Leave(s.i.id())
}
