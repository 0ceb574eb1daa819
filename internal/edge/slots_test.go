package edge

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/config"
)

const (
	slotTargetCount = 6
	slotsPerTarget  = 9                     // as fakePlatform.Target states
	slotWork        = 60 * time.Millisecond // of a request
)

// slotTargets are targets that state their pace and count what they get.
type slotTargets struct {
	mu      sync.Mutex     // guards all below
	arrived map[string]int // by path
	running [slotTargetCount]int
	most    int // requests at one target at a time
}

// ServeHTTP implements target n.
func (s *slotTargets) serve(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.arrived[r.URL.Path]++
		s.running[n]++
		s.most = max(s.most, s.running[n])
		s.mu.Unlock()
		time.Sleep(slotWork)
		s.mu.Lock()
		s.running[n]--
		s.mu.Unlock()
		w.Header().Set("Pace", "1")
	}
}

// reset returns the largest number of requests that a target had at a time since the last
// call.
func (s *slotTargets) reset() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.most
	s.most = 0
	return most
}

// withSlotTargets runs the test with a fleet and targets with slots; all instances have
// had a response that states the pace if warm is set.
func withSlotTargets(t *testing.T, n int, warm bool, test func(f *testFleet, s *slotTargets)) {
	runFleet(t, n, func(f *testFleet) {
		s := &slotTargets{arrived: make(map[string]int)}
		var servers []*http.Server
		for k := range slotTargetCount {
			address := fmt.Sprintf("%s%d:1", targetNetwork, k+1)
			l, err := (&instanceNetwork{memoryNetwork: f.net}).listen("", address)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: s.serve(k)}
			go func() { _ = server.Serve(l) }()
			servers = append(servers, server)
			if k > 0 {
				f.put(fmt.Sprintf("targets/%c", 'a'+k), address)
			}
		}
		time.Sleep(10 * time.Second)
		if warm {
			for _, m := range f.all {
				m.statusOfSlow("warm")
			}
		}
		s.reset()
		test(f, s)
		for _, server := range servers {
			_ = server.Close()
		}
	})
}

// statusOfSlow sends a request that may run once to the instance.
func (m *member) statusOfSlow(name string) int {
	r, answer := httptest.NewRequest("POST", "http://h/slow/"+name, nil), httptest.NewRecorder()
	r.Header.Set("Key", "k")
	m.ingress.Server().Handler.ServeHTTP(answer, r)
	return answer.Code
}

// slotCoordinator returns the index of the instance with the most sessions.
func (f *testFleet) slotCoordinator() (index, sessions int) {
	index = -1
	for k, m := range f.all {
		if n := len(m.slots.coordinator.Snapshot().Sessions); n > sessions {
			index, sessions = k, n
		}
	}
	return index, sessions
}

// slotBurst is what became of the requests of a burst.
type slotBurst struct {
	sent, failed, onTime int
	longest              time.Duration
}

// burst sends requests to the instances of which lost is not one, for the time given.
func (f *testFleet) burst(name string, perSecond float64, during time.Duration, lost *member) *slotBurst {
	var mu sync.Mutex
	var callers sync.WaitGroup
	source, b := rand.New(rand.NewPCG(1, 1)), &slotBurst{}
	for end := time.Now().Add(during); time.Now().Before(end); {
		time.Sleep(time.Duration(source.ExpFloat64() / perSecond * float64(time.Second)))
		m := f.all[source.IntN(len(f.all))]
		if m == lost {
			continue
		}
		b.sent++
		id := fmt.Sprint(name, b.sent)
		callers.Go(func() {
			began := time.Now()
			status := m.statusOfSlow(id)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			b.longest = max(b.longest, took)
			if status != http.StatusOK {
				b.failed++
			} else if took <= 300*time.Millisecond {
				b.onTime++
			}
		})
	}
	callers.Wait()
	return b
}

// Guards against requests that are lost, run twice or wait for seconds when the coordinator
// is lost in the middle of a burst, in each way in which it can be, and against targets that
// get more than they have slots for while there is one coordinator.
func TestSlotCoordinatorLostInABurst(t *testing.T) {
	const rate, n = 620.0, 8 // 0.69 of the capacity
	for name, lose := range map[string]func(f *testFleet, k int){
		"its connections are closed": func(f *testFleet, k int) { f.all[k].socket.losePower() },
		"it is silent":               func(f *testFleet, k int) { f.silence(f.all[k]) },
		"it stops":                   func(f *testFleet, k int) { f.all[k].kill() },
	} {
		t.Run(name, func(t *testing.T) {
			withSlotTargets(t, n, true, func(f *testFleet, s *slotTargets) {
				calm := f.burst("calm", rate, 2*time.Second, nil)
				first, sessions := f.slotCoordinator()
				most := s.reset()
				if sessions != n || calm.failed > 0 || most > slotsPerTarget || calm.onTime < calm.sent*99/100 {
					t.Errorf("with a coordinator of %d instances: %+v; %d requests at a target of %d slots", sessions, calm, most, slotsPerTarget)
				}
				lost := f.all[first]
				time.AfterFunc(time.Second, func() { lose(f, first) })
				during := f.burst("burst", rate, 3*time.Second, lost)
				f.all, f.dead = append(f.all[:first:first], f.all[first+1:]...), append(f.dead, lost)
				next, sessions := f.slotCoordinator()
				t.Logf("%s: %+v, %d requests at a target of %d slots; next coordinator has %d instances", name, during, s.reset(), slotsPerTarget, sessions)
				if during.failed > 0 || during.longest > 1500*time.Millisecond || during.onTime < during.sent*9/10 || next < 0 || sessions != n-1 {
					t.Errorf("%+v; the next coordinator, %d, has %d instances", during, next, sessions)
				}
				after := f.burst("after", rate, 2*time.Second, nil)
				if most := s.reset(); after.failed > 0 || after.onTime < after.sent*99/100 || most > slotsPerTarget {
					t.Errorf("after the loss: %+v; %d requests at a target of %d slots", after, most, slotsPerTarget)
				}
				for path, count := range s.arrived {
					if count > 1 && path != "/slow/warm" {
						t.Errorf("%s ran %d times", path, count)
					}
				}
			})
		})
	}
}

// Guards against a queue in deployments whose targets state no pace, and against a setting
// that takes effect at the next start only.
func TestWhenTheSlotQueueIsUsed(t *testing.T) {
	withSlotTargets(t, 3, false, func(f *testFleet, s *slotTargets) {
		set := func(mode config.Mode) {
			for _, m := range f.all {
				cfg := *m.inForce.Load()
				cfg.Overload.SlotQueue = mode
				if changed, restart := m.Reload(cfg); len(changed) != 1 || len(restart) != 0 {
					t.Errorf("changed %v, at the next start %v", changed, restart)
				}
			}
		}
		expect := func(when string, want int) {
			time.Sleep(6 * time.Second) // streams that are idle end
			for k, m := range f.all {
				if status := m.statusOfSlow(strings.ReplaceAll(fmt.Sprint(when, k), " ", "-")); status != http.StatusOK {
					t.Errorf("%s: status %d", when, status)
				}
			}
			if _, sessions := f.slotCoordinator(); sessions != want {
				t.Errorf("%s: %d instances use the queue, want %d", when, sessions, want)
			}
		}
		expect("no pace known", 0)
		expect("pace known", 3)
		set(config.Off)
		expect("off", 0)
		set(config.On)
		expect("on", 3)
	})
}

// cutFromInstances prevents the instance from reaching others, and closes its connections
// with them.
func (f *testFleet) cutFromInstances(cut *member) {
	cut.socket.mu.Lock()
	cut.socket.isolated = true
	made := slices.Clone(cut.socket.opened)
	cut.socket.mu.Unlock()
	for _, c := range made {
		if !strings.HasPrefix(c.to, targetNetwork) {
			_ = c.Close()
		}
	}
	f.cutCallers(cut)
}

// Guards against requests that wait for a coordinator that their owner can't reach: the
// owner is cut off from the other instances, but not from callers and targets.
func TestSlotOwnerCutOffInABurst(t *testing.T) {
	withSlotTargets(t, 8, true, func(f *testFleet, s *slotTargets) {
		f.burst("calm", 400, time.Second, nil)
		first, _ := f.slotCoordinator()
		cut := f.all[(first+1)%len(f.all)]
		time.AfterFunc(time.Second, func() { f.cutFromInstances(cut) })
		during := f.burst("burst", 400, 3*time.Second, nil)
		t.Logf("%+v, %d requests at a target of %d slots", during, s.reset(), slotsPerTarget)
		if during.failed > 0 || during.onTime < during.sent*95/100 || during.longest > time.Second {
			t.Errorf("%+v", during)
		}
		for path, count := range s.arrived {
			if count > 1 && path != "/slow/warm" {
				t.Errorf("%s ran %d times", path, count)
			}
		}
	})
}
