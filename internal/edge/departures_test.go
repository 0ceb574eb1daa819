package edge

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	departureSeed  = flag.Uint64("departure-seed", 1, "first seed of TestTargetsThatLeaveGetNoNewWork")
	departureSeeds = flag.Int("departure-seeds", 1, "number of seeds of TestTargetsThatLeaveGetNoNewWork")
)

// departureFaults are the faults of the histories, by name.
var departureFaults = []string{"none", "restart", "store away", "store silent", "power lost", "connections silent"}

// departureHistory is a drawn history of targets that leave while instances fail.
type departureHistory struct {
	*testFleet
	rand *rand.Rand
	mu   sync.Mutex // guards struckUntil
	// struckUntil is by instance the time until which it is not in touch.
	struckUntil map[string]time.Time
	late        []string
}

// strike records that the instance is subject to a fault for a time.
func (h *departureHistory) strike(m *member, fault time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := time.Now().Add(fault + h.bounds.touch)
	if until.After(h.struckUntil[m.id()]) {
		h.struckUntil[m.id()] = until
	}
}

func (h *departureHistory) inTouch(m *member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().After(h.struckUntil[m.id()])
}

// victims draws instances, mostly those that watch the store.
func (h *departureHistory) victims() []int {
	var ranked []int
	for _, m := range h.byRank() {
		ranked = append(ranked, slices.Index(h.all, m))
	}
	count := 1 + h.rand.IntN(max(len(ranked)/4, 1))
	if h.rand.IntN(3) == 0 {
		h.rand.Shuffle(len(ranked), func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	}
	return ranked[:count]
}

// fault injects a fault into the victims and ends it after a while.
func (h *departureHistory) fault(kind string) {
	lasts := 200*time.Millisecond + time.Duration(h.rand.Int64N(int64(5*time.Second)))
	victims := h.victims()
	for _, i := range victims {
		m := h.all[i]
		h.strike(m, lasts)
		switch kind {
		case "restart":
			m.socket.losePower()
			h.dead = append(h.dead, m)
		case "power lost":
			h.silence(m)
			h.dead = append(h.dead, m)
		case "store away":
			m.socket.injectFault(&m.socket.storeUnreachable)
		case "store silent":
			m.socket.mu.Lock()
			m.socket.storeSilent = true
			m.socket.mu.Unlock()
		case "connections silent":
			m.socket.toStore.sever()
		}
	}
	if kind == "connections silent" {
		return
	}
	time.AfterFunc(lasts, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, i := range victims {
			switch kind {
			case "restart", "power lost":
				h.all[i] = h.start(i)
			default:
				s := h.all[i].socket
				s.mu.Lock()
				s.storeUnreachable, s.storeSilent = false, false
				s.mu.Unlock()
			}
		}
	})
}

// members returns the present instances.
func (h *departureHistory) members() []*member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.all)
}

// depart has a target leave, while another one is added, and checks who uses it for too
// long.
func (h *departureHistory) depart(n int, how, fault string) {
	key := fmt.Sprintf("targets/d%d", n)
	object, err := h.store.Get(h.t.Context(), key)
	if err != nil {
		h.t.Fatal(err)
	}
	if how == "drains" {
		_, err = h.store.Put(h.t.Context(), key, append([]byte("-"), object.Value...), object.Version)
	} else {
		err = h.store.Delete(h.t.Context(), key, object.Version)
	}
	if err != nil {
		h.t.Fatal(err)
	}
	left := time.Now()
	if h.rand.IntN(2) == 0 {
		time.Sleep(time.Duration(h.rand.Int64N(int64(300 * time.Millisecond))))
		h.put(fmt.Sprintf("targets/n%d", n), fmt.Sprintf("10.0.1.%d:1", n))
	}
	time.Sleep(maxDepartureDelay - time.Since(left))
	late := make(map[string]time.Duration)
	for time.Since(left) < 9*time.Second {
		for _, m := range h.members() {
			if h.inTouch(m) && m.routes.Targets().Usable(fmt.Sprintf("d%d", n)) {
				late[m.id()] = time.Since(left)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	longest := time.Duration(0)
	for _, took := range late {
		longest = max(longest, took)
	}
	if len(late) > 0 {
		h.late = append(h.late, fmt.Sprintf("%d instances, target %s, fault %q: %d in touch use it %v after", len(h.all), how, fault, len(late), longest.Round(10*time.Millisecond)))
	}
}

// Guards against requests to a target more than 3 s after the store has taken its
// departure, by instances in touch, while others start, fail, lose the store or return.
func TestTargetsThatLeaveGetNoNewWork(t *testing.T) {
	for _, n := range []int{8, 78} {
		for k := range *departureSeeds {
			seed := *departureSeed + uint64(k)
			runFleetWithBounds(t, n, false, boundsAt(n), func(f *testFleet) {
				h := &departureHistory{testFleet: f, rand: rand.New(rand.NewPCG(seed, uint64(n))), struckUntil: make(map[string]time.Time)}
				for d := range 6 {
					f.put(fmt.Sprintf("targets/d%d", d), fmt.Sprintf("10.0.0.%d:1", 10+d))
				}
				time.Sleep(14 * time.Second)
				for d := range 6 {
					how := []string{"drains", "removed"}[h.rand.IntN(2)]
					fault := departureFaults[h.rand.IntN(len(departureFaults))]
					before := time.Duration(h.rand.Int64N(int64(2 * time.Second)))
					h.fault(fault)
					time.Sleep(before)
					h.depart(d, how, fault)
				}
				time.Sleep(10 * time.Second)
				for _, late := range h.late {
					t.Errorf("seed %d: %s", seed, late)
				}
			})
		}
	}
}
