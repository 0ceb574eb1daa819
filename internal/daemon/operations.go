package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/limits"
	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/slo"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// operations implements adminapi.Operations: the queries and changes of operators.
type operations struct{ d *Daemon }

// Profiles lists the profiles in force.
func (o *operations) Profiles(context.Context) (lynxapi.ProfileList, error) {
	return lynxapi.ProfileList{Profiles: o.d.profiles.Views()}, nil
}

// Profile returns one profile in force.
func (o *operations) Profile(_ context.Context, name string) (lynxapi.ProfileView, error) {
	view, ok := o.d.profiles.View(name)
	if !ok {
		return view, errkind.New(errkind.NotFound, "there is no profile %q", name)
	}
	return view, nil
}

// SetProfile creates or replaces a profile.
func (o *operations) SetProfile(ctx context.Context, operator, name string, req lynxapi.ChangeRequest) (lynxapi.ChangeReply, error) {
	return o.d.profiles.Set(ctx, profilesync.Change{
		Name: name, Profile: req.Profile, IfVersion: req.IfVersion, ChangeID: req.ChangeID,
		Operator: operator, DryRun: req.DryRun, Wait: milliseconds(req.WaitMS),
	})
}

// DeleteProfile deletes a profile.
func (o *operations) DeleteProfile(ctx context.Context, operator, name string, ifVersion uint64, changeID string) (lynxapi.ChangeReply, error) {
	return o.d.profiles.Delete(ctx, profilesync.Change{Name: name, IfVersion: ifVersion, ChangeID: changeID, Operator: operator})
}

// Rollback restores the content of an earlier version of a profile.
func (o *operations) Rollback(ctx context.Context, operator, name string, req lynxapi.RollbackRequest) (lynxapi.ChangeReply, error) {
	change := profilesync.Change{
		Name: name, IfVersion: req.IfVersion, ChangeID: req.ChangeID,
		Operator: operator, DryRun: req.DryRun, Wait: milliseconds(req.WaitMS),
	}
	return o.d.profiles.Rollback(ctx, change, req.Steps)
}

// InForce returns the instances on which a profile is in force.
func (o *operations) InForce(_ context.Context, name string) (lynxapi.InForceReply, error) {
	if _, ok := o.d.profiles.View(name); !ok {
		return lynxapi.InForceReply{}, errkind.New(errkind.NotFound, "there is no profile %q", name)
	}
	return o.d.profiles.Force(name), nil
}

// Change returns the result of a change.
func (o *operations) Change(ctx context.Context, id string) (lynxapi.ChangeReply, error) {
	return o.d.profiles.Lookup(ctx, id)
}

// Instances lists the instances as this one sees them.
func (o *operations) Instances(context.Context) (lynxapi.InstanceList, error) {
	var list lynxapi.InstanceList
	for _, m := range o.d.board.Members.Snapshot() {
		list.Instances = append(list.Instances, o.instanceView(m))
	}
	sort.Slice(list.Instances, func(i, j int) bool { return list.Instances[i].ID < list.Instances[j].ID })
	return list, nil
}

func (o *operations) instanceView(m board.Member) lynxapi.InstanceView {
	return lynxapi.InstanceView{
		ID: m.ID, Incarnation: m.Incarnation, State: string(m.State),
		CallerAddr: m.CallerAddr, AdminAddr: m.AdminAddr, Zone: m.Zone, Region: m.Region,
		Room: m.FreeShare, InFlight: m.InFlight,
		Draining: o.d.board.Drained(board.DrainInstance+m.ID) || o.d.board.Drained(board.DrainZone+m.Zone),
	}
}

// Targets lists the targets as this instance sees them.
func (o *operations) Targets(context.Context) (lynxapi.TargetList, error) {
	var list lynxapi.TargetList
	now := o.d.opts.Clock.Now()
	for id, t := range o.d.board.Targets.Snapshot() {
		load, _ := o.d.board.Loads.Get(id)
		list.Targets = append(list.Targets, targetView(t, load, now))
	}
	sort.Slice(list.Targets, func(i, j int) bool { return list.Targets[i].ID < list.Targets[j].ID })
	return list, nil
}

func targetView(t board.Target, load board.Load, now time.Time) lynxapi.TargetView {
	view := lynxapi.TargetView{
		ID: t.ID, Service: t.Service, Kind: string(t.Kind), Provider: t.Provider, Zone: t.Zone,
		Address: t.Address, Leaving: t.Leaving,
		Running: load.Report.Running, Queued: load.Report.Queued, Slots: load.Report.Slots,
	}
	if !load.At.IsZero() {
		view.LoadAge = float64(now.Sub(load.At).Milliseconds())
	}
	for _, m := range load.Report.Models {
		name := m.Model + "@" + m.Version
		if !m.Ready {
			name += " (loading)"
		}
		view.Models = append(view.Models, name)
	}
	return view
}

// Status returns a summary of this instance and of what it knows about the others.
func (o *operations) Status(context.Context) (lynxapi.Status, error) {
	self, _ := o.d.board.Self.Get(board.SelfRow)
	status := lynxapi.Status{
		Instance: o.d.id(), Zone: o.d.cfg.Instance.Zone, Ready: o.d.Ready() == nil,
		Isolated: self.Isolated, Stopping: self.Stopping, StoreUp: o.d.platform.Up(),
		InFlight: o.d.admitter.InFlight(), Violations: int(o.d.violations.count.Load()),
		StoreCalls: o.d.platform.Calls(), UptimeS: o.d.opts.Clock.Now().Sub(o.d.started).Seconds(),
	}
	o.addCounts(&status)
	for _, view := range o.d.profiles.Views() {
		status.Profiles = append(status.Profiles, o.d.profiles.Force(view.Name))
	}
	for service, l := range o.d.board.Leases.Snapshot() {
		status.OrderGivers = append(status.OrderGivers, lynxapi.OrderGiver{Service: service, Holder: l.Holder, Fence: l.Fence})
	}
	sort.Slice(status.OrderGivers, func(i, j int) bool { return status.OrderGivers[i].Service < status.OrderGivers[j].Service })
	return status, nil
}

func (o *operations) addCounts(status *lynxapi.Status) {
	for _, m := range o.d.board.Members.Snapshot() {
		status.Members++
		if m.State == board.MemberAlive {
			status.Alive++
		}
	}
	for _, t := range o.d.board.Targets.Snapshot() {
		status.Targets++
		if t.Leaving {
			status.Leaving++
		}
	}
}

// Limits lists the organisations' limits.
func (o *operations) Limits(context.Context) (lynxapi.LimitList, error) {
	return lynxapi.LimitList{Limits: o.d.limits.Limits()}, nil
}

// SetLimit writes an organisation's limit if the stored version is limit.IfVersion.
func (o *operations) SetLimit(ctx context.Context, _ string, limit lynxapi.OrganisationLimit) (lynxapi.OrganisationLimit, error) {
	if limit.Organisation == "" {
		return limit, errkind.New(errkind.NoOrganisation, "the limit names no organisation")
	}
	value := limit
	value.IfVersion = 0
	version, err := o.put(ctx, limits.KeyPrefix+limit.Organisation, value, limit.IfVersion)
	limit.IfVersion = version
	return limit, err
}

// put writes an operator's object. Its error distinguishes a version conflict, an
// unavailable store and an unknown result.
func (o *operations) put(ctx context.Context, key string, value any, ifVersion uint64) (uint64, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Internal, "%s", key)
	}
	object, err := o.d.platform.Put(store.WithPriority(ctx, store.PriorityOperator), key, text, ifVersion)
	switch {
	case err == nil:
		return object.Version, nil
	case errors.Is(err, store.ErrConflict):
		return object.Version, errkind.Wrap(err, errkind.Conflict, "%s was changed meanwhile; its version is %d", key, object.Version)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled):
		return 0, errkind.Wrap(err, errkind.StoreUnavailable, "%s", key)
	default:
		return 0, errkind.Wrap(err, errkind.ChangeUnknown, "%s; list to see whether it took effect", key)
	}
}

// Plans lists the model plans.
func (o *operations) Plans(ctx context.Context) (lynxapi.PlacementList, error) {
	plans, err := o.d.orders.Plans(ctx)
	return lynxapi.PlacementList{Plans: plans}, err
}

// SetPlan writes a service's model plan if the stored version is plan.IfVersion.
func (o *operations) SetPlan(ctx context.Context, _ string, plan lynxapi.ModelPlan) (lynxapi.ModelPlan, error) {
	version, err := o.d.orders.SetPlan(ctx, plan)
	plan.IfVersion = version
	return plan, err
}

// Burn returns the merged service-level reports of all instances that respond within
// burnTimeout and names those that do not.
func (o *operations) Burn(ctx context.Context, window time.Duration) (lynxapi.BurnReport, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	ids := o.d.board.LiveMembers(o.d.id())
	reports := make([]lynxapi.BurnReport, len(ids))
	failed := make([]bool, len(ids))
	var asking sync.WaitGroup
	for i, id := range ids {
		asking.Go(func() {
			var err error
			reports[i], err = o.burnOf(ctx, id, window)
			failed[i] = err != nil
		})
	}
	asking.Wait()
	return o.merge(ids, reports, failed), nil
}

func (o *operations) burnOf(ctx context.Context, id string, window time.Duration) (lynxapi.BurnReport, error) {
	if id == o.d.id() {
		return o.BurnLocal(ctx, window)
	}
	return o.d.peers.Burn(ctx, id, window)
}

func (o *operations) merge(ids []string, reports []lynxapi.BurnReport, failed []bool) lynxapi.BurnReport {
	var answered []lynxapi.BurnReport
	var missing []string
	for i, id := range ids {
		if failed[i] {
			missing = append(missing, id)
			continue
		}
		answered = append(answered, reports[i])
	}
	report := slo.Merge(answered)
	report.Missing = missing
	return report
}

// BurnLocal returns the service-level report of this instance.
func (o *operations) BurnLocal(_ context.Context, window time.Duration) (lynxapi.BurnReport, error) {
	return o.d.slo.Local(window), nil
}

// Ready returns an error unless the instance accepts new requests.
func (o *operations) Ready() error { return o.d.Ready() }

// burnTimeout is the timeout of the reports of other instances.
const burnTimeout = 3 * time.Second

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
