package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Parameters of the simulation, in which callers cache their answers and the
// instances' free capacity becomes known with a delay of some seconds.
const (
	trialZones        = 4
	instancesPerZone  = 10
	trialCallers      = 400
	roomLag           = 3 // seconds until a peer's free capacity is known
	utilisation       = 0.6
	requestsPerCaller = 10.0 // per second
	beforeEvent       = 120  // seconds
	afterEvent        = 240
	askingPeriod      = time.Second
	trialCapacity     = requestsPerCaller * trialCallers / (trialZones * instancesPerZone) / utilisation
)

type trialInstance struct {
	id, zone      string
	up, accepting bool // accepting: not leaving
	load          float64
	rooms         []float64 // newest last
}

type trialCaller struct {
	zone   string
	answer lynxapi.AddressAnswer
	until  time.Time
}

// answerFunc returns the answer for a caller in the zone.
type answerFunc func(zone string) lynxapi.AddressAnswer

type steeringTrial struct {
	board       *board.Board
	instances   []*trialInstance
	byID        map[string]*trialInstance
	callers     []*trialCaller
	answer      answerFunc
	unreachable int // times that a caller's answer contained no instance that was up
	inZone      float64
	sent        float64
}

func newSteeringTrial(rng *rand.Rand) *steeringTrial {
	x := &steeringTrial{board: board.New(), byID: make(map[string]*trialInstance)}
	for i := range trialZones * instancesPerZone {
		x.add(i%trialZones, i)
	}
	for i := range trialCallers {
		x.callers = append(x.callers, &trialCaller{
			zone:  fmt.Sprint("place-", i%trialZones),
			until: time.Now().Add(time.Duration(rng.Int64N(int64(DefaultTTL)))),
		})
	}
	return x
}

func (x *steeringTrial) add(zone, i int) {
	in := &trialInstance{id: fmt.Sprintf("i-%03d", i), zone: fmt.Sprint("place-", zone), up: true, accepting: true, rooms: []float64{1}}
	x.instances = append(x.instances, in)
	x.byID[in.id] = in
}

// publish puts the instances' state on the board, with their free capacity as it
// was roomLag seconds ago.
func (x *steeringTrial) publish() {
	for _, in := range x.instances {
		state := board.MemberAlive
		if !in.accepting {
			state = board.MemberLeaving
		}
		if !in.up {
			state = board.MemberDead
		}
		changed := time.Now()
		if old, found := x.board.Members.Get(in.id); found && old.State == state {
			changed = old.Changed
		}
		room := in.rooms[max(0, len(in.rooms)-1-roomLag)]
		x.board.Members.Put(in.id, board.Member{
			ID: in.id, State: state, CallerAddr: in.id + ":1", Zone: in.zone, Region: "dar", FreeShare: room, Changed: changed,
		})
	}
}

// second simulates one second in which every caller sends requests, and returns
// the max/mean load of the instances that are up.
func (x *steeringTrial) second() float64 {
	for _, in := range x.instances {
		in.load = 0
	}
	for _, c := range x.callers {
		x.send(c)
	}
	mean, most, n := 0.0, 0.0, 0.0
	for _, in := range x.instances {
		if in.up && in.accepting {
			mean, most, n = mean+in.load, max(most, in.load), n+1
		}
		in.rooms = append(in.rooms, max(0, 1-in.load/trialCapacity))
	}
	return most / (mean / n)
}

// send distributes a caller's requests over the addresses of its answer. The
// caller asks again when the answer has expired or one of its instances does not
// respond.
func (x *steeringTrial) send(c *trialCaller) {
	if len(c.answer.Addresses) == 0 || time.Now().After(c.until) || x.hasUnreachable(c) {
		c.answer = x.answer(c.zone)
		c.until = time.Now().Add(time.Duration(c.answer.KeepMS) * time.Millisecond)
	}
	total := 0.0
	for _, a := range c.answer.Addresses {
		if x.byID[a.ID].up {
			total += a.Weight
		}
	}
	for _, a := range c.answer.Addresses {
		if in := x.byID[a.ID]; in.up && total > 0 {
			share := requestsPerCaller * a.Weight / total
			in.load += share
			x.sent += share
			if in.zone == c.zone {
				x.inZone += share
			}
		}
	}
}

// hasUnreachable reports whether an instance of the answer with a weight above 0
// is down. The caller then asks another instance of its answer, if one is up.
func (x *steeringTrial) hasUnreachable(c *trialCaller) bool {
	gone, left := false, false
	for _, a := range c.answer.Addresses {
		if x.byID[a.ID].up {
			left = true
		} else if a.Weight > 0 {
			gone = true
		}
	}
	if gone && !left {
		x.unreachable++
	}
	return gone
}

// trialEvents are the changes of the set of instances that the test simulates.
var trialEvents = map[string]func(*steeringTrial){
	"join": func(x *steeringTrial) {
		for i := range trialZones {
			x.add(i, 900+i)
		}
	},
	"leave": func(x *steeringTrial) {
		for i := range 2 * trialZones {
			x.instances[i].accepting = false
		}
	},
	"zone loss": func(x *steeringTrial) {
		for _, in := range x.instances {
			in.up = in.up && in.zone != "place-0"
		}
	},
}

// uniform is the baseline: instances chosen uniformly at random, and the same TTL
// for all answers.
func uniform(x *steeringTrial, rng *rand.Rand) answerFunc {
	return func(string) lynxapi.AddressAnswer {
		var up []lynxapi.Address
		for _, in := range x.instances {
			if in.up && in.accepting {
				up = append(up, lynxapi.Address{ID: in.id, Zone: in.zone, Weight: 1})
			}
		}
		rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
		return lynxapi.AddressAnswer{Addresses: up[:DefaultAddresses], KeepMS: DefaultTTL.Milliseconds()}
	}
}

type steeringResult struct {
	before, peak, after float64 // max/mean load: mean before, worst after the event, mean of the last minute
	inZone              float64
	unreachable         int
}

func runSteering(event string, baseline bool, seed uint64) steeringResult {
	rng := rand.New(rand.NewPCG(seed, 8))
	x := newSteeringTrial(rng)
	c := New(Options{Board: x.board, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(seed, 9))})
	x.answer = func(zone string) lynxapi.AddressAnswer { return c.Answer(zone, "dar") }
	if baseline {
		x.answer = uniform(x, rng)
	}
	var r steeringResult
	for second := range beforeEvent + afterEvent {
		if second == beforeEvent {
			trialEvents[event](x)
		}
		x.publish()
		c.Step()
		ratio := x.second()
		switch {
		case second >= beforeEvent+afterEvent-60:
			r.after += ratio / 60
		case second >= beforeEvent-60 && second < beforeEvent:
			r.before += ratio / 60
		}
		if second >= beforeEvent {
			r.peak = max(r.peak, ratio)
		}
		time.Sleep(askingPeriod)
	}
	r.inZone, r.unreachable = x.inZone/x.sent, x.unreachable
	return r
}

// TestTrialNoHerd simulates callers with cached answers during joins, leaves and
// the loss of a zone. It compares the load peaks with those of uniformly random
// answers.
func TestTrialNoHerd(t *testing.T) {
	for event := range trialEvents {
		t.Run(event, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steered, random := runSteering(event, false, 1), runSteering(event, true, 1)
				t.Logf("weighted answers: %+v", steered)
				t.Logf("uniform answers: %+v", random)
				if steered.peak > 1.8 || steered.after > 1.5 {
					t.Errorf("max/mean load peaked at %.2f and ended at %.2f", steered.peak, steered.after)
				}
				if steered.peak > random.peak {
					t.Errorf("max/mean load peaked at %.2f, with uniformly random answers at %.2f", steered.peak, random.peak)
				}
				if steered.unreachable > 0 {
					t.Errorf("%d times a caller's answer contained no instance that was up", steered.unreachable)
				}
			})
		})
	}
}
