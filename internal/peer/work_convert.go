package peer

import (
	"time"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// arrivedAgo returns the time since an arrival in milliseconds; 0 if it is not known.
func arrivedAgo(arrived, now time.Time) int64 {
	if arrived.IsZero() {
		return 0
	}
	return now.Sub(arrived).Milliseconds()
}

// jobToProto converts times to the time left until them, since the clocks of instances
// differ.
func jobToProto(j stagework.Job, now time.Time) *peerpb.WorkJob {
	out := &peerpb.WorkJob{
		Id: j.ID, Key: j.Key, Organisation: j.Organisation, Priority: int32(j.Priority), RoutePriority: int32(j.RoutePriority),
		ArrivedMsAgo: arrivedAgo(j.Arrived, now), AimMs: j.OnTimeUntil.Sub(now).Milliseconds(), DeadlineMs: j.Deadline.Sub(now).Milliseconds(),
		Service: j.Service, Place: j.Zone, Avoid: j.ExcludedEngines, Cell: j.Cell, Insist: uint32(j.RankOverride),
		Made: madeToProto(j.Results), Owner: j.Owner, Route: j.Route,
		CallerKey: j.CallerKey, Reservations: reservationsToProto(j.Reservations, now),
	}
	if j.Binding != nil {
		out.Build = &j.Binding.Build
	}
	for i, s := range j.Stages {
		stage := &peerpb.WorkStage{Service: s.Service, ResultBytes: uint64(max(s.ResultBytes, 0))}
		for _, a := range s.After {
			stage.After = append(stage.After, uint32(a))
		}
		if i < len(j.Pieces) {
			stage.Pieces = uint32(j.Pieces[i])
		}
		out.Stages = append(out.Stages, stage)
	}
	if p := j.Prompt; p != nil {
		out.Prompt = &peerpb.WorkPrompt{Model: p.Model, TokensIn: uint32(p.TokensIn), TokensOut: uint32(p.TokensOut), LikelyOut: uint32(p.ExpectedOut)}
		for _, q := range p.Parts {
			out.Prompt.PartIds = append(out.Prompt.PartIds, q.ID)
			out.Prompt.PartTokens = append(out.Prompt.PartTokens, uint32(q.Tokens))
		}
	}
	return out
}

func jobFromProto(m *peerpb.WorkJob, now time.Time) stagework.Job {
	j := stagework.Job{
		ID: m.GetId(), Key: m.GetKey(), Organisation: m.GetOrganisation(), Priority: int(m.GetPriority()), RoutePriority: int(m.GetRoutePriority()),
		OnTimeUntil: now.Add(time.Duration(m.GetAimMs()) * time.Millisecond),
		Deadline:    now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		Service:     m.GetService(), Zone: m.GetPlace(), ExcludedEngines: m.GetAvoid(), Cell: m.GetCell(), RankOverride: stagework.RankOverride(m.GetInsist()),
		Results: madeFromProto(m.GetMade()), Owner: m.GetOwner(), Route: m.GetRoute(),
		CallerKey: m.GetCallerKey(), Reservations: reservationsFromProto(m.GetReservations(), now),
	}
	if ago := m.GetArrivedMsAgo(); ago > 0 {
		j.Arrived = now.Add(-time.Duration(ago) * time.Millisecond)
	}
	if m.Build != nil {
		j.Binding = &stagework.Binding{Build: m.GetBuild()}
	}
	for _, s := range m.GetStages() {
		stage := route.Stage{Service: s.GetService(), ResultBytes: int64(s.GetResultBytes())}
		for _, a := range s.GetAfter() {
			stage.After = append(stage.After, int(a))
		}
		j.Stages = append(j.Stages, stage)
		j.Pieces = append(j.Pieces, int(s.GetPieces()))
	}
	if p := m.GetPrompt(); p != nil {
		j.Prompt = &relay.Prompt{Model: p.GetModel(), TokensIn: int(p.GetTokensIn()), TokensOut: int(p.GetTokensOut()), ExpectedOut: int(p.GetLikelyOut())}
		for i, id := range p.GetPartIds() {
			part := relay.PromptPart{ID: id}
			if i < len(p.GetPartTokens()) {
				part.Tokens = int(p.GetPartTokens()[i])
			}
			j.Prompt.Parts = append(j.Prompt.Parts, part)
		}
	}
	return j
}
