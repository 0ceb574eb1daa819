package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/standin/netfault"
	"lynxhill.example/lynxhill/internal/standin/platform"
)

// Fault is one timed fault of an experiment.
type Fault struct {
	Deployment string   `toml:"deployment" json:"deployment,omitempty"` // "" = each
	Kind       string   `toml:"kind" json:"kind"`
	At         Duration `toml:"at" json:"at"`
	For        Duration `toml:"for" json:"for,omitempty"` // 0 = until the end
	// Subject is what the fault is done to: the number of an instance (from
	// 0), the id of a target, a service, or a zone. "" draws one by the seed.
	Subject string  `toml:"subject" json:"subject,omitempty"`
	Count   int     `toml:"count" json:"count,omitempty"` // targets of a service; 0 = 1
	Value   float64 `toml:"value" json:"value,omitempty"` // factor or share, by kind
}

// faultKind starts a fault and returns how to end it.
type faultKind struct {
	help  string
	begin func(ctx context.Context, f *faultRun) (end func(), err error)
}

// faultRun is one fault being done to one cluster.
type faultRun struct {
	Fault
	cluster *Cluster
	rng     *rand.Rand
	note    func(format string, args ...any)
}

// faultKinds are the faults by name.
var faultKinds = map[string]faultKind{
	"instance_kill":    {"kill an instance; it is replaced when the fault ends", instanceKill},
	"instance_stop":    {"stop an instance gracefully; it is replaced when the fault ends", instanceStop},
	"instance_freeze":  {"freeze an instance's connections", instanceFreeze},
	"instance_isolate": {"cut an instance off from everything", instanceIsolate},
	"instance_silence": {"open connections of an instance go silent for good", instanceSilence},
	"rolling_restart":  {"stop and replace all instances, one after the other", rollingRestart},
	"restart_all":      {"kill all instances at once and start them again", restartAll},
	"partition":        {"cut the instances in two halves; the platform stays with the first", partition},
	"partition_oneway": {"the first half does not reach the second", partitionOneWay},
	"place_loss":       {"kill every instance and target of a zone", zoneLoss},
	"store_outage":     {"the platform refuses every call", storeRefuses},
	"store_hang":       {"the platform answers no call", storeHangs},
	"store_slow":       {"the platform is slow by value seconds", storeSlow},
	"lost_reply":       {"the platform loses the given share of replies after the write took effect", lostReply},
	"target_crash":     {"targets die; they come back when the fault ends", targetCrash},
	"target_leave":     {"targets leave", targetLeave},
	"target_straggle":  {"targets are slower by the factor value", targetStraggle},
	"target_fail":      {"targets fail the given share of calls", targetFail},
	"target_refuse":    {"targets refuse all calls as busy", targetRefuse},
	"target_silent":    {"open connections of targets go silent for good", targetSilent},
	"target_mixup":     {"targets mix up the given share of answers", targetMixUp},
	"target_lose":      {"targets lose the given share of replies after running", targetLose},
	"poison":           {"some requests crash every target that runs them", poison},
	"profile_race":     {"operators change the same profile at the same time", profileRace},
	"lease_pause":      {"freeze the order-giver of lynx-pool for longer than its lease", leasePause},
	"drain_place":      {"an operator drains a zone", drainZone},
	"evacuate_place":   {"an operator keeps new work from the targets of a zone", evacuateZone},
}

// FaultKinds lists the kinds of faults with what they do.
func FaultKinds() []string {
	var lines []string
	for name, kind := range faultKinds {
		lines = append(lines, fmt.Sprintf("%-18s %s", name, kind.help))
	}
	sort.Strings(lines)
	return lines
}

// run waits for the fault's moment, begins it, and ends it.
func (f *faultRun) run(ctx context.Context, start time.Time) error {
	if sleep.For(ctx, time.Until(start.Add(f.At.Duration))) != nil {
		return nil
	}
	end, err := faultKinds[f.Kind].begin(ctx, f)
	if err != nil {
		return fmt.Errorf("fault %s: %w", f.Kind, err)
	}
	f.note("%s began", f.Kind)
	if f.For.Duration > 0 {
		_ = sleep.For(ctx, f.For.Duration)
	} else {
		<-ctx.Done()
	}
	end()
	f.note("%s ended", f.Kind)
	return nil
}

// instance is the number of the instance that the fault is done to.
func (f *faultRun) instance() int {
	var n int
	if _, err := fmt.Sscanf(f.Subject, "%d", &n); err == nil {
		return n
	}
	return f.rng.IntN(f.cluster.opts.Instances)
}

// targets are the targets that the fault is done to.
func (f *faultRun) targets() ([]*fleet.Member, error) {
	subject := f.Subject
	if subject == "" {
		subject = fleet.ServicePool
	}
	if m := f.cluster.Fleet.Member(subject); m != nil {
		return []*fleet.Member{m}, nil
	}
	members := f.cluster.Fleet.Service(subject)
	if len(members) == 0 {
		return nil, fmt.Errorf("%q is neither a target nor a service", subject)
	}
	f.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(max(1, f.Count), len(members))], nil
}

// each does something to the fault's targets, and its opposite at the end.
func (f *faultRun) each(do, undo func(m *fleet.Member)) (func(), error) {
	members, err := f.targets()
	if err != nil {
		return nil, err
	}
	var ids []string
	for _, m := range members {
		do(m)
		ids = append(ids, m.Instance.ID)
	}
	f.note("%s: %s", f.Kind, strings.Join(ids, " "))
	return func() {
		for _, m := range members {
			undo(m)
		}
	}, nil
}

func targetCrash(_ context.Context, f *faultRun) (func(), error) {
	return f.each(func(m *fleet.Member) { m.Target.Crash() }, restartTarget)
}

func restartTarget(m *fleet.Member) { _ = m.Target.Restart() }

func targetLeave(_ context.Context, f *faultRun) (func(), error) {
	return f.each(
		func(m *fleet.Member) { f.cluster.Fleet.Leave(m.Instance.ID) },
		func(m *fleet.Member) { f.cluster.Fleet.Return(m.Instance.ID) })
}

func targetStraggle(_ context.Context, f *faultRun) (func(), error) {
	return f.each(
		func(m *fleet.Member) { m.Target.Straggle(f.Value) },
		func(m *fleet.Member) { m.Target.Straggle(1) })
}

func targetFail(_ context.Context, f *faultRun) (func(), error) {
	return f.each(
		func(m *fleet.Member) { m.Target.Fail(f.Value) },
		func(m *fleet.Member) { m.Target.Fail(0) })
}

func targetRefuse(_ context.Context, f *faultRun) (func(), error) {
	return f.each(
		func(m *fleet.Member) { m.Target.Refuse(true) },
		func(m *fleet.Member) { m.Target.Refuse(false) })
}

func targetSilent(_ context.Context, f *faultRun) (func(), error) {
	return f.each(func(m *fleet.Member) { m.Target.Silent() }, func(*fleet.Member) {})
}

func targetMixUp(_ context.Context, f *faultRun) (func(), error) {
	return f.each(
		func(m *fleet.Member) { m.Target.MixUp(f.Value) },
		func(m *fleet.Member) { m.Target.MixUp(0) })
}

func targetLose(_ context.Context, f *faultRun) (func(), error) {
	return f.each(
		func(m *fleet.Member) { m.Target.LoseReply(f.Value) },
		func(m *fleet.Member) { m.Target.LoseReply(0) })
}

// poisonRestart is how long a crashed target stays away.
const poisonRestart = 500 * time.Millisecond

func poison(_ context.Context, f *faultRun) (func(), error) {
	members := f.cluster.Fleet.Members()
	for _, m := range members {
		m.Target.CrashOn(crashMarker, poisonRestart)
	}
	return func() {
		for _, m := range members {
			m.Target.CrashOn("", 0)
		}
	}, nil
}

func storeRefuses(_ context.Context, f *faultRun) (func(), error) {
	return f.outage(platform.OutageRefuse), nil
}

func storeHangs(_ context.Context, f *faultRun) (func(), error) {
	return f.outage(platform.OutageHang), nil
}

func (f *faultRun) outage(mode platform.OutageMode) func() {
	server := f.cluster.Fleet.Platform
	server.Outage(mode)
	return func() { server.Outage(platform.OutageNone) }
}

func storeSlow(_ context.Context, f *faultRun) (func(), error) {
	server := f.cluster.Fleet.Platform
	delay := time.Duration(f.Value * float64(time.Second))
	server.Slow(delay, delay/2)
	return func() { server.Slow(fleet.PlatformDelay, fleet.PlatformDelay) }, nil
}

func lostReply(_ context.Context, f *faultRun) (func(), error) {
	server := f.cluster.Fleet.Platform
	server.LoseReplies(f.Value)
	return func() { server.LoseReplies(0) }, nil
}

// partition cuts the instances in two. The platform and the targets stay
// reachable for the first half only, unless one way: then only the instances
// are cut.
func partition(_ context.Context, f *faultRun) (func(), error) {
	first, second := f.halves()
	for _, m := range f.cluster.Fleet.Members() {
		first = append(first, f.cluster.Fleet.Owner(m.Instance.ID))
	}
	first = append(first, f.cluster.Fleet.Owner(fleet.PlatformID))
	return f.cut(netfault.Partition{A: first, B: second}), nil
}

func partitionOneWay(_ context.Context, f *faultRun) (func(), error) {
	first, second := f.halves()
	return f.cut(netfault.Partition{A: first, B: second, OneWay: true}), nil
}

func (f *faultRun) cut(p netfault.Partition) func() {
	id := f.cluster.Network.Cut(p)
	return func() { f.cluster.Network.Heal(id) }
}

func (f *faultRun) halves() (first, second []string) {
	n := f.cluster.opts.Instances
	for i := range n {
		if i < (n+1)/2 {
			first = append(first, f.cluster.InstanceID(i))
		} else {
			second = append(second, f.cluster.InstanceID(i))
		}
	}
	return first, second
}
