package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/peer/peerpb"
)

// Size returns the encoded size of the digest in bytes, without framing.
func Size(d gossip.Digest) int { return proto.Size(toProto(d)) }

func convertAll[A, B any](in []A, convert func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = convert(v)
	}
	return out
}

func millis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func duration(ms uint64) time.Duration {
	const longest = 24 * time.Hour // older rows are of no use; prevents an overflow
	return min(time.Duration(min(ms, uint64(longest.Milliseconds())))*time.Millisecond, longest)
}

// millisRoundedUp rounds up, for ages: a digest must not appear more recent than it is.
func millisRoundedUp(d time.Duration) uint64 { return millis(d + time.Millisecond - 1) }

func toProto(d gossip.Digest) *peerpb.Digest {
	return &peerpb.Digest{
		From:     d.From,
		Members:  convertAll(d.Members, memberToProto),
		Profiles: convertAll(d.Profiles, versionToProto),
		Loads:    convertAll(d.Loads, loadToProto),
		Usage:    convertAll(d.Usage, usageToProto),
		Refusals: convertAll(d.Refusals, refusalToProto), RefusalsComplete: d.RefusalsComplete, RefusalsWanted: d.RefusalsWanted,
		Notices: convertAll(d.Notices, noticeToProto),
		Burn:    convertAll(d.Burn, burnToProto),
		Sums:    d.Sums,
		Config:  configToProto(d.Config),
	}
}

func fromProto(d *peerpb.Digest) gossip.Digest {
	return gossip.Digest{
		From:     d.GetFrom(),
		Members:  convertAll(d.GetMembers(), memberFromProto),
		Profiles: convertAll(d.GetProfiles(), versionFromProto),
		Loads:    convertAll(d.GetLoads(), loadFromProto),
		Usage:    convertAll(d.GetUsage(), usageFromProto),
		Refusals: convertAll(d.GetRefusals(), refusalFromProto), RefusalsComplete: d.GetRefusalsComplete(), RefusalsWanted: d.GetRefusalsWanted(),
		Notices: convertAll(d.GetNotices(), noticeFromProto),
		Burn:    convertAll(d.GetBurn(), burnFromProto),
		Sums:    d.GetSums(),
		Config:  configFromProto(d.GetConfig()),
	}
}

func configToProto(c gossip.Config) *peerpb.Config {
	out := &peerpb.Config{
		Confirmed:    c.Confirmed,
		ConfirmAgeMs: millisRoundedUp(c.ConfirmAge),
		Answered:     c.Answered,
		AnswerAgeMs:  millisRoundedUp(c.AnswerAge),
		Serving:      c.Serving,
		Loaded:       c.Loaded,
	}
	for _, h := range c.Heard {
		out.HeardMembers = append(out.HeardMembers, h.Member)
		out.HeardAgesMs = append(out.HeardAgesMs, uint32(millisRoundedUp(h.Age)))
	}
	return out
}

func configFromProto(c *peerpb.Config) gossip.Config {
	out := gossip.Config{
		Confirmed:  c.GetConfirmed(),
		ConfirmAge: duration(c.GetConfirmAgeMs()),
		Answered:   c.GetAnswered(),
		AnswerAge:  duration(c.GetAnswerAgeMs()),
		Serving:    c.GetServing(),
		Loaded:     c.GetLoaded(),
	}
	ages := c.GetHeardAgesMs()
	for i, member := range c.GetHeardMembers() {
		if i < len(ages) {
			out.Heard = append(out.Heard, gossip.Heard{Member: member, Age: duration(uint64(ages[i]))})
		}
	}
	return out
}

func memberToProto(m gossip.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:          m.ID,
		Incarnation: m.Incarnation,
		State:       m.State,
		CallerAddr:  m.CallerAddr,
		AdminAddr:   m.AdminAddr,
		PeerAddr:    m.PeerAddr,
		Place:       m.Zone,
		Region:      m.Region,
		Room:        float32(m.FreeShare),
		InFlight:    uint32(max(m.InFlight, 0)),
		Profiles:    m.ConfigVersion,
		Seq:         m.Seq,
		Left:        m.Left,
		DeadForMs:   millis(m.DeadFor),
		Fleet:       uint32(max(m.KnownInstances, 0)),
		Capacity:    float32(m.Capacity),
		Features:    m.Features,
		StoreLost:   m.StoreLost,
		TargetsLost: m.TargetsLost,
	}
}

func memberFromProto(m *peerpb.Member) gossip.Member {
	return gossip.Member{
		ID:             m.GetId(),
		Incarnation:    m.GetIncarnation(),
		State:          m.GetState(),
		CallerAddr:     m.GetCallerAddr(),
		AdminAddr:      m.GetAdminAddr(),
		PeerAddr:       m.GetPeerAddr(),
		Zone:           m.GetPlace(),
		Region:         m.GetRegion(),
		FreeShare:      float64(m.GetRoom()),
		InFlight:       int(m.GetInFlight()),
		ConfigVersion:  m.GetProfiles(),
		Seq:            m.GetSeq(),
		Left:           m.GetLeft(),
		DeadFor:        duration(m.GetDeadForMs()),
		KnownInstances: int(m.GetFleet()),
		Capacity:       float64(m.GetCapacity()),
		Features:       m.GetFeatures(),
		StoreLost:      m.GetStoreLost(),
		TargetsLost:    m.GetTargetsLost(),
	}
}

func versionToProto(v gossip.ProfileVersion) *peerpb.ProfileVersion {
	return &peerpb.ProfileVersion{Name: v.Name, Version: v.Version}
}

func versionFromProto(v *peerpb.ProfileVersion) gossip.ProfileVersion {
	return gossip.ProfileVersion{Name: v.GetName(), Version: v.GetVersion()}
}

func loadToProto(l gossip.Load) *peerpb.Load {
	return &peerpb.Load{
		Target:      l.Target,
		Seq:         l.Seq,
		AgeMs:       millisRoundedUp(l.Age),
		Running:     uint32(max(l.Running, 0)),
		Queued:      uint32(max(l.Queued, 0)),
		Slots:       uint32(max(l.Slots, 0)),
		MeanMs:      float32(l.MeanMS),
		KvUsed:      float32(l.KVUsed),
		Leaving:     l.Leaving,
		ModelsKnown: l.ModelsKnown,
		Models:      convertAll(l.Models, modelToProto),
		Role:        l.Role,
	}
}

func loadFromProto(l *peerpb.Load) gossip.Load {
	return gossip.Load{
		Target:      l.GetTarget(),
		Seq:         l.GetSeq(),
		Age:         duration(l.GetAgeMs()),
		Running:     int(l.GetRunning()),
		Queued:      int(l.GetQueued()),
		Slots:       int(l.GetSlots()),
		MeanMS:      float64(l.GetMeanMs()),
		KVUsed:      float64(l.GetKvUsed()),
		Leaving:     l.GetLeaving(),
		ModelsKnown: l.GetModelsKnown(),
		Models:      convertAll(l.GetModels(), modelFromProto),
		Role:        l.GetRole(),
	}
}

func modelToProto(m gossip.LoadedModel) *peerpb.LoadedModel {
	return &peerpb.LoadedModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters, Ready: m.Ready}
}

func modelFromProto(m *peerpb.LoadedModel) gossip.LoadedModel {
	return gossip.LoadedModel{Model: m.GetModel(), Version: m.GetVersion(), Adapters: m.GetAdapters(), Ready: m.GetReady()}
}

func usageToProto(u gossip.Usage) *peerpb.Usage {
	return &peerpb.Usage{Organisation: u.Organisation, RatePerSecond: float32(u.RatePerSecond), InFlight: uint32(max(u.InFlight, 0))}
}

func usageFromProto(u *peerpb.Usage) gossip.Usage {
	return gossip.Usage{Organisation: u.GetOrganisation(), RatePerSecond: float64(u.GetRatePerSecond()), InFlight: int(u.GetInFlight())}
}

func refusalToProto(r gossip.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		Fingerprint: r.Fingerprint, Targets: r.Targets, TtlMs: millis(r.TTL),
		AgeMs: convertAll(r.Ages, millis), Variant: r.Variants, TookMs: convertAll(r.Took, millis), Cleared: r.Cleared, ClearedAgeMs: millis(r.ClearedAge),
	}
}

func refusalFromProto(r *peerpb.Refusal) gossip.Refusal {
	return gossip.Refusal{
		Fingerprint: r.GetFingerprint(), Targets: r.GetTargets(), TTL: duration(r.GetTtlMs()),
		Ages: convertAll(r.GetAgeMs(), duration), Variants: r.GetVariant(), Took: convertAll(r.GetTookMs(), duration), Cleared: r.GetCleared(), ClearedAge: duration(r.GetClearedAgeMs()),
	}
}

func noticeToProto(n gossip.Notice) *peerpb.Notice {
	return &peerpb.Notice{
		Target: n.Target, Leaving: n.Leaving, LeavingAgeMs: millisRoundedUp(n.LeavingAge),
		LimitBy: n.Limit.By, LimitSeq: n.Limit.Seq, LimitAgeMs: millisRoundedUp(n.Limit.Age), LimitNamed: n.Limit.Named, LimitRate: n.Limit.Rate,
	}
}

func noticeFromProto(n *peerpb.Notice) gossip.Notice {
	return gossip.Notice{
		Target: n.GetTarget(), Leaving: n.GetLeaving(), LeavingAge: duration(n.GetLeavingAgeMs()),
		Limit: gossip.NoticeLimit{
			By: n.GetLimitBy(), Seq: n.GetLimitSeq(), Age: duration(n.GetLimitAgeMs()), Named: n.GetLimitNamed(), Rate: n.GetLimitRate(),
		},
	}
}

func burnToProto(b gossip.Burn) *peerpb.Burn {
	return &peerpb.Burn{Profile: b.Profile, Window: b.Window, Total: b.Total, Missed: b.Missed}
}

func burnFromProto(b *peerpb.Burn) gossip.Burn {
	return gossip.Burn{Profile: b.GetProfile(), Window: b.GetWindow(), Total: b.GetTotal(), Missed: b.GetMissed()}
}
