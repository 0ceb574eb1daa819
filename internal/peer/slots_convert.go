package peer

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/slotqueue"
)

func slotsUpToProto(up slotqueue.Up, now time.Time) *peerpb.SlotsUp {
	return &peerpb.SlotsUp{
		Instance:  up.Instance,
		Requests:  convertAll(up.Requests, func(r slotqueue.Request) *peerpb.SlotRequest { return slotRequestToProto(r, now) }),
		Releases:  convertAll(up.Releases, slotReleaseToProto),
		Cancelled: up.Cancelled,
		Held: convertAll(up.Held, func(h slotqueue.HeldSlot) *peerpb.HeldSlot {
			return &peerpb.HeldSlot{Id: h.ID, Service: h.Service, Target: h.Target}
		}),
	}
}

func slotsUpFromProto(m *peerpb.SlotsUp, now time.Time) slotqueue.Up {
	return slotqueue.Up{
		Instance:  m.GetInstance(),
		Requests:  convertAll(m.GetRequests(), func(r *peerpb.SlotRequest) slotqueue.Request { return slotRequestFromProto(r, now) }),
		Releases:  convertAll(m.GetReleases(), slotReleaseFromProto),
		Cancelled: m.GetCancelled(),
		Held: convertAll(m.GetHeld(), func(h *peerpb.HeldSlot) slotqueue.HeldSlot {
			return slotqueue.HeldSlot{ID: h.GetId(), Service: h.GetService(), Target: h.GetTarget()}
		}),
	}
}

func slotRequestToProto(r slotqueue.Request, now time.Time) *peerpb.SlotRequest {
	return &peerpb.SlotRequest{
		Id: r.ID, Service: r.Service, Shard: uint32(max(r.Shard, 0)), Organisation: r.Organisation, Route: r.Route, Zone: r.Zone,
		Priority: int32(r.Priority), AimMs: r.OnTimeUntil.Sub(now).Milliseconds(), DeadlineMs: r.Deadline.Sub(now).Milliseconds(),
		Avoid: r.Excluded, CallerKey: r.CallerKey, BodyBytes: uint64(max(r.BodyBytes, 0)),
	}
}

func slotRequestFromProto(r *peerpb.SlotRequest, now time.Time) slotqueue.Request {
	return slotqueue.Request{
		ID: r.GetId(), Service: r.GetService(), Shard: int(r.GetShard()), Organisation: r.GetOrganisation(), Route: r.GetRoute(), Zone: r.GetZone(),
		Priority: int(r.GetPriority()), OnTimeUntil: inMS(now, r.GetAimMs()), Deadline: inMS(now, r.GetDeadlineMs()),
		Excluded: r.GetAvoid(), CallerKey: r.GetCallerKey(), BodyBytes: int64(min(r.GetBodyBytes(), math.MaxInt64)),
	}
}

func inMS(now time.Time, ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

func slotReleaseToProto(r slotqueue.Release) *peerpb.SlotRelease {
	m := &peerpb.SlotRelease{Id: r.ID, Outcome: peerpb.SlotOutcome(r.Outcome), TookUs: uint32(min(max(r.Took.Microseconds(), 0), math.MaxUint32))}
	if l := r.Load; l != nil {
		m.Load = &peerpb.TargetLoad{
			Running: uint32(max(l.Running, 0)), Waiting: uint32(max(l.Waiting, 0)), Slots: uint32(max(l.Slots, 0)),
			PacePercent: uint32(math.Round(100 * min(max(l.Pace, 0), math.MaxUint32/100))),
		}
	}
	return m
}

func slotReleaseFromProto(m *peerpb.SlotRelease) slotqueue.Release {
	r := slotqueue.Release{ID: m.GetId(), Took: time.Duration(m.GetTookUs()) * time.Microsecond}
	if o := slotqueue.Outcome(m.GetOutcome()); o >= slotqueue.Unknown && o <= slotqueue.Refused { // a later build may know more
		r.Outcome = o
	}
	if l := m.GetLoad(); l != nil {
		r.Load = &relay.Load{
			Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Slots: int(l.GetSlots()), Pace: float64(l.GetPacePercent()) / 100,
		}
	}
	return r
}

func slotsDownToProto(down slotqueue.Down) *peerpb.SlotsDown {
	m := &peerpb.SlotsDown{Elsewhere: down.Elsewhere}
	for _, a := range down.Answers {
		switch {
		case a.Refusal != nil:
			m.Refusals = append(m.Refusals, &peerpb.SlotRefusal{
				Id: a.ID, Reason: a.Refusal.Reason, RetryAfterMs: uint32(max(a.Refusal.RetryAfter.Milliseconds(), 0)), Reserved: a.Refusal.Reserved,
			})
		case a.Target != "":
			m.Grants = append(m.Grants, &peerpb.SlotGrant{Id: a.ID, Target: a.Target})
		default:
			m.Queued = append(m.Queued, a.ID)
		}
	}
	return m
}

// slotsDownFromProto converts a message of a coordinator. Requests that wait come first: a
// request may wait and get its slot within one message.
func slotsDownFromProto(m *peerpb.SlotsDown) slotqueue.Down {
	down := slotqueue.Down{Elsewhere: m.GetElsewhere()}
	for _, id := range m.GetQueued() {
		down.Answers = append(down.Answers, slotqueue.Answer{ID: id})
	}
	for _, g := range m.GetGrants() {
		down.Answers = append(down.Answers, slotqueue.Answer{ID: g.GetId(), Target: g.GetTarget()})
	}
	for _, r := range m.GetRefusals() {
		down.Answers = append(down.Answers, slotqueue.Answer{ID: r.GetId(), Refusal: &slotqueue.Refusal{
			Reason: r.GetReason(), RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond, Reserved: r.GetReserved(),
		}})
	}
	return down
}
