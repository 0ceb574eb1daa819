package routing

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/board"
)

// Entry is a target that accepts new work, with its hash for rendezvous hashing.
type Entry struct {
	Target board.Target
	hash   uint64
}

// Service holds the targets of one service that accept new work, ordered by ID.
type Service struct {
	All      []*Entry
	byZone   map[string][]*Entry
	byRegion map[string][]*Entry
}

// Index maps services to their targets. It is rebuilt only after the table of
// targets or of drains has changed, so that a choice among hundreds of targets
// does not copy the board's tables.
type Index struct {
	board   *board.Board
	mu      sync.Mutex // serialises rebuilds
	current atomic.Pointer[indexView]
}

type indexView struct {
	targets  uint64 // revision of the table of targets
	drains   uint64 // revision of the table of drains
	services map[string]*Service
}

// NewIndex returns an index over the board.
func NewIndex(b *board.Board) *Index { return &Index{board: b} }

// Service returns the targets of a service, or nil if it has none. The caller
// must not modify the result.
func (x *Index) Service(name string) *Service { return x.view().services[name] }

func (x *Index) view() *indexView {
	if v := x.current.Load(); x.isCurrent(v) {
		return v
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if v := x.current.Load(); x.isCurrent(v) {
		return v
	}
	v := x.build()
	x.current.Store(v)
	return v
}

func (x *Index) isCurrent(v *indexView) bool {
	return v != nil && v.targets == x.board.Targets.Revision() && v.drains == x.board.Drains.Revision()
}

// build builds a view of the board. It reads the revisions before the rows: if a
// row changes meanwhile, the view has an old revision and the next call rebuilds
// it.
func (x *Index) build() *indexView {
	v := &indexView{
		targets:  x.board.Targets.Revision(),
		drains:   x.board.Drains.Revision(),
		services: make(map[string]*Service),
	}
	for id, t := range x.board.Targets.Snapshot() {
		if t.Leaving || x.board.TargetDrained(t) {
			continue
		}
		v.add(&Entry{Target: t, hash: xxhash.Sum64String(id)})
	}
	for _, s := range v.services {
		s.group()
	}
	return v
}

func (v *indexView) add(e *Entry) {
	s := v.services[e.Target.Service]
	if s == nil {
		s = &Service{byZone: make(map[string][]*Entry), byRegion: make(map[string][]*Entry)}
		v.services[e.Target.Service] = s
	}
	s.All = append(s.All, e)
}

// group sorts the targets by ID and groups them by zone and region.
func (s *Service) group() {
	sort.Slice(s.All, func(i, j int) bool { return s.All[i].Target.ID < s.All[j].Target.ID })
	for _, e := range s.All {
		s.byZone[e.Target.Zone] = append(s.byZone[e.Target.Zone], e)
		s.byRegion[e.Target.Region] = append(s.byRegion[e.Target.Region], e)
	}
}
