package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagework"
)

var (
	metricReservations = metrics.Define("edge_reservations_total", "reservations", "Reservations for callers that were refused for lack of time, as this instance scheduled them: made and made_late (for callers that would be on time, and late), claimed, expired, adopted (made by another dispatcher), no_moment (refusals without a useful time to come back).")
	metricReserved     = metrics.Define("edge_reserved_callers", "callers", "Callers for which this instance holds reservations, by cell, organisation and route (cell/organisation/route), with the time until the first of them is due in next_ms.")
)

// overload is what is in force of the overload control.
type overload struct {
	mu      sync.Mutex  // held while what is in force is determined, so that the newest result is kept
	paced   atomic.Bool // a target has stated its pace
	current atomic.Pointer[stagework.Overload]
}

func (o *overload) inForce() stagework.Overload {
	if current := o.current.Load(); current != nil {
		return *current
	}
	return stagework.Overload{}
}

func (o *overload) reservations() bool { return o.inForce().Reservations }

// updateOverload applies the settings of the overload control to what is known of the
// deployment.
func (i *Instance) updateOverload() {
	i.overload.mu.Lock()
	defer i.overload.mu.Unlock()
	demanded := i.adapter.ScarceCapacity || i.overload.paced.Load()
	settings := i.inForce.Load().Overload
	o := stagework.Overload{
		Reservations: modeOf(settings.Reservations).Enabled(demanded),
		Shares:       modeOf(settings.Shares).Enabled(demanded),
	}
	if was := i.overload.inForce(); was != o {
		i.o.Logger.Log(event.OverloadSwitched, "reservations", o.Reservations, "shares", o.Shares,
			"scarce", i.adapter.ScarceCapacity, "paced", i.overload.paced.Load())
	}
	i.overload.current.Store(&o)
	i.dispatcher.SetOverload(o)
}

// modeOf replaces a mode that was not set, as in configurations that tests build, by auto.
func modeOf(m config.Mode) config.Mode {
	if m == "" {
		return config.Auto
	}
	return m
}

// targetStatedPace is called when a target has stated its pace for the first time.
func (i *Instance) targetStatedPace() {
	if !i.overload.paced.Swap(true) {
		i.updateOverload()
	}
}

// publishOverload registers the metrics of the overload control.
func (i *Instance) publishOverload() {
	i.metrics.Func(metricReservations, func() any { return reservationValues(i.dispatcher.ReservationCounts()) })
	i.metrics.Func(metricReserved, func() any {
		values, now := make(map[string]map[string]int64), i.o.Clock.Now()
		for _, c := range i.dispatcher.Reservations() {
			values[c.Cell+"/"+c.Organisation+"/"+c.Route] = map[string]int64{
				"callers": int64(c.Callers), "next_ms": int64(c.Next.Sub(now) / time.Millisecond),
			}
		}
		return values
	})
}

func reservationValues(c stagework.ReservationCounts) map[string]int {
	return map[string]int{
		"made": c.Made, "made_late": c.MadeLate, "claimed": c.Claimed, "expired": c.Expired, "adopted": c.Adopted, "no_moment": c.NoMoment,
	}
}
