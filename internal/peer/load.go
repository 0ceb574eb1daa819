package peer

import (
	"math"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/relay"
)

// percent is the unit of the pace on the wire.
const percent = 100

// targetLoadToProto returns nil for a target that stated no load.
func targetLoadToProto(l *relay.Load) *peerpb.TargetLoad {
	if l == nil {
		return nil
	}
	return &peerpb.TargetLoad{
		Running: uint32(max(l.Running, 0)), Waiting: uint32(max(l.Waiting, 0)), Slots: uint32(max(l.Slots, 0)),
		PacePercent: uint32(min(math.Round(max(l.Pace, 0)*percent), math.MaxUint32)),
	}
}

// targetLoadFromProto returns nil if the message has no load: the target stated none, or
// the sender is of a version that does not pass it on.
func targetLoadFromProto(m *peerpb.TargetLoad) *relay.Load {
	if m == nil {
		return nil
	}
	return &relay.Load{
		Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
		Pace: float64(m.GetPacePercent()) / percent,
	}
}
