package edge

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/control/routesync"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// storeConns is an instance's connection pool to the store. A call uses an idle connection
// or opens one; a failed call closes all idle connections.
type storeConns struct {
	mu   sync.Mutex // guards the fields below
	open map[*storeConn]bool
	idle []*storeConn
}

type storeConn struct{ silent atomic.Bool }

func (s *storeConns) take() *storeConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.idle); n > 0 {
		conn := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return conn
	}
	if s.open == nil {
		s.open = make(map[*storeConn]bool)
	}
	conn := new(storeConn)
	s.open[conn] = true
	return conn
}

func (s *storeConns) put(conn *storeConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, conn)
}

func (s *storeConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.idle {
		delete(s.open, conn)
	}
	s.idle = nil
}

func (s *storeConns) sever() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		conn.silent.Store(true)
	}
}

// severing describes which open connections go silent permanently.
type severing struct {
	share  float64 // share of the instances that are affected
	toPeer bool    // connections between instances
	oneWay bool    // these only in the direction towards the instance that opened them
	store  bool    // connections to the store
}

func (s severing) String() string {
	return fmt.Sprintf("share %v, peers %v (one way %v), store %v", s.share, s.toPeer, s.oneWay, s.store)
}

// sever makes open connections of the first instances in the ranking of watchers go
// silent permanently; new connections work.
func (f *testFleet) sever(s severing) {
	struck := f.byRank()[:int(s.share*float64(len(f.all)))]
	var addresses []string
	for _, m := range struck {
		addresses = append(addresses, m.socket.serving...)
		if s.store {
			m.socket.toStore.sever()
		}
	}
	for _, m := range f.all {
		m.socket.mu.Lock()
		for _, c := range m.socket.opened {
			if s.toPeer && (slices.Contains(struck, m) || slices.Contains(addresses, c.to)) {
				if s.oneWay {
					c.receivesNothing.Store(true)
				} else {
					c.silent.Store(true)
				}
			}
		}
		m.socket.mu.Unlock()
	}
}

// change puts a new target and a new table into the store. It returns a function that
// reports whether both are in force on an instance, and the host of the new route.
func (f *testFleet) change(n int) (inForce func(*member) bool, host string) {
	f.put(fmt.Sprintf("targets/s%d", n), fmt.Sprintf("10.0.1.%d:1", n))
	object, err := f.store.Get(f.t.Context(), routesync.TableKey)
	if err == nil {
		_, err = f.store.Put(f.t.Context(), routesync.TableKey, append(object.Value, 'x'), object.Version)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	version := int64(len(object.Value) + 1)
	return func(m *member) bool {
		_, listed := m.routes.Targets().Get(fmt.Sprintf("s%d", n))
		return listed && m.routes.Table().Version >= version
	}, addedHost(version)
}

// maxAnswerTime is the time within which an instance has to respond to a request for a
// route that it may not know yet.
const maxAnswerTime = 500 * time.Millisecond

// severedCase is a fleet whose connections go silent several times in succession, each
// time followed by a change.
type severedCase struct {
	instances int
	delays    []time.Duration // from the silence to the change; each is tested with a separate fleet
	severings []severing
}

var (
	severings = []severing{
		{share: 1, toPeer: true, store: true},
		{share: 0.9, toPeer: true, store: true},
		{share: 0.7, toPeer: true, store: true},
		{share: 1, toPeer: true, oneWay: true, store: true},
		{share: 0.3, toPeer: true, store: true},
		{share: 1, store: true},
		{share: 1, toPeer: true},
	}
	severedDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}
)

// allSeverings runs all cases at all sizes, which takes minutes.
var allSeverings = flag.Bool("all-severings", false, "play all cases of open connections that go silent at all sizes")

func severedCases() []severedCase {
	small := severedCase{instances: 8, delays: severedDelays, severings: severings}
	large := severedCase{instances: 78, delays: severedDelays, severings: severings}
	if !*allSeverings {
		large.delays = []time.Duration{severedDelays[0], severedDelays[2], severedDelays[4]}
		large.severings = severings[:4]
	}
	return []severedCase{small, large}
}

// Guards against late propagation of a change, and 404 responses for its route, when open
// connections go silent permanently while new ones work.
func TestAChangeIsInTimeThoughOpenConnectionsGoSilent(t *testing.T) {
	for _, c := range severedCases() {
		for k, delay := range c.delays {
			t.Run(fmt.Sprintf("%d instances, %v", c.instances, delay), func(t *testing.T) {
				t.Parallel()
				runFleetWithBounds(t, c.instances, true, boundsAt(c.instances), func(f *testFleet) {
					time.Sleep(14*time.Second + time.Duration(k)*270*time.Millisecond)
					for k, s := range c.severings {
						f.changeAfter(s, delay, k)
						time.Sleep(settleTime)
					}
				})
			})
		}
	}
}

// settleTime is the time between two severings in a fleet.
const settleTime = 7 * time.Second

// changeAfter severs connections, makes a change after a delay and checks that it is in
// force in time on all instances, and that an instance without it does not respond that
// its route does not exist.
func (f *testFleet) changeAfter(s severing, delay time.Duration, k int) {
	f.t.Helper()
	f.sever(s)
	time.Sleep(delay)
	inForce, host := f.change(k)
	made := time.Now()
	time.Sleep(f.bounds.apply)
	late, denied := 0, 0
	for _, m := range f.all {
		if inForce(m) {
			continue
		}
		late++
		asked, w := time.Now(), httptest.NewRecorder()
		m.ingress.Server().Handler.ServeHTTP(w, httptest.NewRequest("GET", "http://"+host+"/x", nil))
		if took := time.Since(asked); took > maxAnswerTime {
			f.t.Errorf("%v: %s answered after %v", s, m.id(), took)
		}
		if w.Code == http.StatusNotFound {
			denied++
		}
	}
	if late > 0 || denied > 0 {
		f.t.Errorf("%d instances, %v, change after %v: %d lack it %v later, %d respond 404 for its route", len(f.all), s, delay, late, f.bounds.apply, denied)
	}
	virtualtest.Until(f.t, 20*time.Millisecond, 30*time.Second, "all have the change", func() bool {
		return !slices.ContainsFunc(f.all, func(m *member) bool { return !inForce(m) })
	})
	f.t.Logf("%d instances, %v, change after %v: in force everywhere after %v", len(f.all), s, delay, time.Since(made))
}

// maxNoticeDelay is the time within which all instances have to follow a notice in a
// target's responses.
const maxNoticeDelay = 2 * time.Second

// Guards against evacuation orders, their end, and targets' notices that take effect late
// when open connections go silent permanently while new ones work.
func TestOrdersAndNoticesAreInTimeThoughOpenConnectionsGoSilent(t *testing.T) {
	everything := severings[0]
	for _, n := range evacuationFleets() {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			t.Parallel()
			runFleetWithBounds(t, n, true, boundsAt(n), func(f *testFleet) {
				f.put("targets/b", "10.0.0.2:1@north")
				time.Sleep(14 * time.Second)
				check := func(what string, within time.Duration, make func(), each func(*member) bool) {
					f.sever(everything)
					time.Sleep(300 * time.Millisecond)
					make()
					took := virtualtest.Until(t, 20*time.Millisecond, 30*time.Second, what, func() bool {
						return !slices.ContainsFunc(f.all, func(m *member) bool { return !each(m) })
					})
					t.Logf("%d instances: %s after %v", n, what, took)
					if took > within {
						t.Errorf("%d instances: %s after %v, want %v at most", n, what, took, within)
					}
					time.Sleep(settleTime)
				}
				evacuated := func(m *member) bool { return !m.routes.Targets().Usable("b") }
				check("all have the order", maxEvacuationDelay, func() { f.put("evacuations/north", "{}") }, evacuated)
				check("all have the end of the order", maxEvacuationDelay, func() { f.remove("evacuations/north") },
					func(m *member) bool { return !evacuated(m) })
				limit := 2.0
				check("all know the limit", maxNoticeDelay, func() { f.all[1].receiveNotice("a", fleet.Notice{Limit: &limit}) },
					func(m *member) bool { _, named := m.notices.Limit("a"); return named })
				check("all know that it leaves", maxNoticeDelay, func() { f.all[2].receiveNotice("a", fleet.Notice{Leaving: true}) },
					func(m *member) bool { return !m.routes.Targets().Usable("a") })
			})
		})
	}
}
