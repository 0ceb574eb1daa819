package stages

import (
	"fmt"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

const mb = 1 << 20

// Names of the services.
const (
	cutService  = "cut"
	lookService = "look"
	modelName   = "model"
)

// Sizes of the deployment.
const (
	cutTargets  = 6
	lookTargets = 4
	engineCount = 8
)

// zones are the zones where targets and instances lie, by turns.
var zones = []string{"east", "west"}

// linkSpeed is what one transfer between two zones gets, in bytes a second.
const linkSpeed = 500 * mb

// hop is the time of a short message.
const hop = time.Millisecond

// cutLimits and lookLimits are what the stage targets can do: a call has a long
// fixed part and room for the results of few requests.
var (
	cutLimits  = route.Pieces{Slots: 1, Batch: 8, CallTime: 200 * time.Millisecond, ItemTime: 15 * time.Millisecond, ResultMemory: 32 * mb, ResultLifetime: 4 * time.Second}
	lookLimits = route.Pieces{Slots: 1, Batch: 8, CallTime: 120 * time.Millisecond, ItemTime: 12 * time.Millisecond, ResultMemory: 12 * mb, ResultLifetime: 4 * time.Second}
)

// The engines' speed: tokens read in a millisecond, the fixed time to the first
// event, and the time of an output token at an empty engine.
const (
	readRate    = 20.0
	firstTime   = 40 * time.Millisecond
	stepTime    = 6 * time.Millisecond
	engineQueue = 16
)

var engineLimits = route.Engine{Slots: 16, MemoryTokens: 90_000, EventTokens: 4}

// keptTokens is how many tokens of prompt parts an engine keeps.
const keptTokens = 60_000

// reuseWindow is the time within which reading a prompt part once more counts
// as a waste.
const reuseWindow = 10 * time.Second

// table declares the services.
func table() *route.Table {
	cut, look, engine := cutLimits, lookLimits, engineLimits
	t := &route.Table{Version: 1, Services: map[string]*route.Service{
		cutService:  {Name: cutService, Pieces: &cut},
		lookService: {Name: lookService, Pieces: &look},
		modelName:   {Name: modelName, Engine: &engine},
	}}
	return t.Build()
}

// at returns the n-th target of a service.
func at(service string, n int) fleet.Target {
	id := fmt.Sprintf("%s-%d", service, n)
	return fleet.Target{ID: id, Service: service, Address: id, Zone: zones[n%len(zones)]}
}

// build makes the targets and engines.
func (d *day) build() {
	for n := range cutTargets {
		d.add(at(cutService, n), cutLimits)
	}
	for n := range lookTargets {
		d.add(at(lookService, n), lookLimits)
	}
	for n := range engineCount {
		t := at(modelName, n)
		e := &engine{day: d, target: t, kept: make(map[string]int)}
		d.engines = append(d.engines, e)
		d.engineByID[t.ID] = e
	}
}

func (d *day) add(t fleet.Target, limits route.Pieces) {
	s := &server{day: d, target: t, limits: limits, factor: 1, held: make(map[string]*result)}
	d.servers = append(d.servers, s)
	d.serverByID[t.ID] = s
}

// listTargets tells every instance of the targets that are there.
func (d *day) listTargets() {
	d.revision++
	var list []fleet.Target
	for _, s := range d.servers {
		if !s.gone {
			list = append(list, s.target)
		}
	}
	for _, e := range d.engines {
		list = append(list, e.target)
	}
	view := fleet.NewView(d.revision, list)
	for _, i := range d.instances {
		if !i.dead {
			i.steps.SetTargets(d.table, view)
			i.proceed()
		}
	}
}

// Faults, as shares of the day's length.
const (
	slowFrom, slowTo = 0.15, 0.40
	failFrom, failTo = 0.45, 0.55
	goneFrom, goneTo = 0.60, 0.80
	slowFactor       = 2.5
)

// planFaults has one target slow, one fail its calls, and one vanish with its
// results and come back under another id.
func (d *day) planFaults() {
	slow := d.servers[d.draw.IntN(cutTargets)]
	failing := d.servers[cutTargets+d.draw.IntN(lookTargets)]
	vanishing := d.servers[d.draw.IntN(cutTargets)]
	d.atShare(slowFrom, func() { slow.factor = slowFactor })
	d.atShare(slowTo, func() { slow.factor = 1 })
	d.atShare(failFrom, func() { failing.failing = true })
	d.atShare(failTo, func() { failing.failing = false })
	d.atShare(goneFrom, func() {
		vanishing.vanish()
		d.listTargets()
	})
	d.atShare(goneTo, func() {
		back := vanishing.target
		back.ID += "-again"
		d.add(back, vanishing.limits)
		d.listTargets()
	})
}

func (d *day) atShare(share float64, do func()) {
	d.after(time.Duration(share*float64(d.o.Length)), do)
}
