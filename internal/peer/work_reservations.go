package peer

import (
	"time"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/reservation"
)

// maxReservationsReceived bounds the reservations that are read from one job.
const maxReservationsReceived = 64

func reservationsToProto(list []reservation.Copy, now time.Time) []*peerpb.WorkReservation {
	var out []*peerpb.WorkReservation
	for _, r := range list {
		m := &peerpb.WorkReservation{
			CallerKey: r.CallerKey, DueInMs: r.Due.Sub(now).Milliseconds(), ArrivedMsAgo: now.Sub(r.Arrived).Milliseconds(),
			Route: r.Route, Organisation: r.Organisation, OnTime: r.OnTime, Priority: int32(r.Priority), RoutePriority: int32(r.RoutePriority),
		}
		for _, d := range r.Stages {
			m.Demands = append(m.Demands, &peerpb.WorkDemand{Service: d.Service, Pieces: uint32(max(d.Pieces, 0)), ResultBytes: uint64(max(d.ResultBytes, 0))})
		}
		out = append(out, m)
	}
	return out
}

func reservationsFromProto(list []*peerpb.WorkReservation, now time.Time) []reservation.Copy {
	var out []reservation.Copy
	for _, m := range list[:min(len(list), maxReservationsReceived)] {
		r := reservation.Copy{
			CallerKey: m.GetCallerKey(), Organisation: m.GetOrganisation(), Route: m.GetRoute(), OnTime: m.GetOnTime(), Priority: int(m.GetPriority()), RoutePriority: int(m.GetRoutePriority()),
			Arrived: now.Add(-time.Duration(max(m.GetArrivedMsAgo(), 0)) * time.Millisecond),
			Due:     now.Add(time.Duration(m.GetDueInMs()) * time.Millisecond),
		}
		for _, d := range m.GetDemands() {
			r.Stages = append(r.Stages, reservation.StageWork{Service: d.GetService(), Pieces: int(d.GetPieces()), ResultBytes: int64(d.GetResultBytes())})
		}
		out = append(out, r)
	}
	return out
}
