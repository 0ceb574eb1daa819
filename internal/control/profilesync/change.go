package profilesync

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Change is an operator's change of one profile.
type Change struct {
	Name    string
	Profile profile.Profile // not used by Delete and Rollback
	// IfVersion is the version that the change is based on, 0 for a profile that
	// does not exist. The change is refused if the profile has another version.
	IfVersion uint64
	// ChangeID is the idempotency key: a repeated change with the same id is
	// carried out once and gets the same answer.
	ChangeID string
	Operator string
	DryRun   bool
	Wait     time.Duration // how long to wait for acceptance
}

// Limits of the history stored with a profile, in entries.
const (
	maxPrevious = 10
	maxChanges  = 50
)

// Set declares a profile. Errors are of kind ProfileInvalid, BadRequest,
// Conflict (the reply holds the version that was written first),
// StoreUnavailable (nothing was written) or ChangeUnknown (the outcome is
// available from Lookup).
func (m *Manager) Set(ctx context.Context, c Change) (lynxapi.ChangeReply, error) {
	if c.Name == "" {
		c.Name = c.Profile.Name
	}
	if c.Name != c.Profile.Name {
		return rejected(c, 0), errkind.New(errkind.BadRequest, "the profile is named %q, the change %q", c.Profile.Name, c.Name)
	}
	if err := profile.Validate(c.Profile); err != nil {
		return rejected(c, 0), errkind.Wrap(err, errkind.ProfileInvalid, "profile %s", c.Name)
	}
	return m.change(ctx, c, func(profile.Stored) (profile.Stored, error) {
		return profile.Stored{Profile: c.Profile}, nil
	})
}

// Delete takes a profile out of force. Its history and its version stay: if a
// profile is declared again under the name, its versions continue from there.
func (m *Manager) Delete(ctx context.Context, c Change) (lynxapi.ChangeReply, error) {
	return m.change(ctx, c, func(current profile.Stored) (profile.Stored, error) {
		if current.Deleted || current.ChangeID == "" {
			return profile.Stored{}, errkind.New(errkind.NotFound, "there is no profile %s", c.Name)
		}
		return profile.Stored{Profile: profile.Profile{Name: c.Name}, Deleted: true}, nil
	})
}

// Rollback puts the content of an earlier version in force as a new version.
// One step is the version directly before the current one.
func (m *Manager) Rollback(ctx context.Context, c Change, steps int) (lynxapi.ChangeReply, error) {
	if steps < 1 {
		return rejected(c, 0), errkind.New(errkind.BadRequest, "steps must be 1 or more, not %d", steps)
	}
	return m.change(ctx, c, func(current profile.Stored) (profile.Stored, error) {
		if steps > len(current.Previous) {
			return profile.Stored{}, errkind.New(errkind.BadRequest, "profile %s has %d earlier versions, not %d", c.Name, len(current.Previous), steps)
		}
		return profile.Stored{Profile: current.Previous[steps-1]}, nil
	})
}

func rejected(c Change, version uint64) lynxapi.ChangeReply {
	return lynxapi.ChangeReply{ChangeID: c.ChangeID, State: lynxapi.ChangeRejected, Name: c.Name, Version: version}
}

// versionedProfile is a profile as read from the store, with its version there.
type versionedProfile struct {
	version uint64
	stored  profile.Stored
}

// visibleVersion is the version that operators see and base a change on: 0 when
// the profile does not exist or is deleted.
func (h versionedProfile) visibleVersion() uint64 {
	if h.stored.Deleted {
		return 0
	}
	return h.version
}

// find looks the change up in the profile's history and returns the version that
// it wrote.
func (h versionedProfile) find(changeID string) (version uint64, found bool) {
	if h.version > 0 && h.stored.ChangeID == changeID {
		return h.version, true
	}
	for _, past := range h.stored.Changes {
		if past.ID == changeID {
			return past.Version, true
		}
	}
	return 0, false
}

// change carries out one change: it reads the profile, checks that it has the
// version the operator expects, writes on condition of that version, and finds
// out the outcome if the reply to the write is lost.
func (m *Manager) change(ctx context.Context, c Change, next func(profile.Stored) (profile.Stored, error)) (lynxapi.ChangeReply, error) {
	if c.ChangeID == "" || c.Name == "" || strings.Contains(c.Name, "/") {
		return rejected(c, 0), errkind.New(errkind.BadRequest, "a change needs a change id and the name of a profile")
	}
	ctx = store.WithPriority(ctx, store.PriorityOperator)
	current, err := m.readProfile(ctx, c.Name)
	if err != nil {
		return rejected(c, 0), errkind.Wrap(err, errkind.StoreUnavailable, "nothing was written")
	}
	if version, done := current.find(c.ChangeID); done && !c.DryRun {
		return m.awaitAcceptance(ctx, c, current, version, nil)
	}
	if c.IfVersion != current.visibleVersion() {
		return rejected(c, current.visibleVersion()), conflict(current)
	}
	stored, err := next(current.stored)
	if err != nil {
		return rejected(c, current.visibleVersion()), err
	}
	diff := profile.Diff(current.stored.Profile, stored.Profile)
	if c.DryRun {
		return lynxapi.ChangeReply{ChangeID: c.ChangeID, State: lynxapi.ChangeDryRun, Name: c.Name, Version: current.visibleVersion(), Diff: diff}, nil
	}
	m.addHistory(&stored, c, current)
	after, version, err := m.writeAndConfirm(ctx, c, current.version, stored)
	m.countResult(err)
	if err != nil {
		reply := rejected(c, after.visibleVersion())
		if errkind.Is(err, errkind.ChangeUnknown) {
			reply.State = lynxapi.ChangeUnknown
			m.o.Logger.Log(event.ProfileUnknown, "profile", c.Name, "change", c.ChangeID)
		}
		return reply, err
	}
	m.o.Logger.Log(event.ProfileChanged, "profile", c.Name, "change", c.ChangeID, "version", version, "operator", c.Operator)
	return m.awaitAcceptance(ctx, c, after, version, diff)
}

func (m *Manager) countResult(err error) {
	result := "written"
	if err != nil {
		result = errkind.Of(err).String()
	}
	m.o.Metrics.Labelled(metricChanges).Add(result, 1)
}

// addHistory adds the change's id, operator and time, and the history.
func (m *Manager) addHistory(stored *profile.Stored, c Change, current versionedProfile) {
	stored.ChangeID = c.ChangeID
	stored.Operator = c.Operator
	stored.At = m.o.Clock.Now().UTC()
	stored.Previous = current.stored.Previous
	stored.Changes = current.stored.Changes
	if current.version == 0 {
		return
	}
	past := profile.PastChange{
		ID:       current.stored.ChangeID,
		Version:  current.version,
		Operator: current.stored.Operator,
		At:       current.stored.At,
	}
	stored.Changes = prepend(past, current.stored.Changes, maxChanges)
	if !current.stored.Deleted {
		stored.Previous = prepend(current.stored.Profile, current.stored.Previous, maxPrevious)
	}
}

func prepend[T any](first T, rest []T, limit int) []T {
	list := append([]T{first}, rest...)
	return list[:min(len(list), limit)]
}

func conflict(winner versionedProfile) error {
	if winner.visibleVersion() == 0 {
		return errkind.New(errkind.Conflict, "there is no such profile now")
	}
	return errkind.New(errkind.Conflict, "version %d, by %s with change %s, came first",
		winner.version, winner.stored.Operator, winner.stored.ChangeID)
}

// readProfile reads a profile from the store. A profile that does not exist has
// version 0.
func (m *Manager) readProfile(ctx context.Context, name string) (versionedProfile, error) {
	obj, err := m.o.Store.Get(ctx, profile.KeyPrefix+name)
	switch {
	case isNotFound(err):
		return versionedProfile{}, nil
	case err != nil:
		return versionedProfile{}, err
	}
	stored, err := decode(obj.Value)
	if err != nil {
		return versionedProfile{}, fmt.Errorf("profile %s at version %d: %w", name, obj.Version, err)
	}
	return versionedProfile{version: obj.Version, stored: stored}, nil
}

func encode(stored profile.Stored) []byte {
	value, err := json.Marshal(stored)
	if err != nil {
		panic("profilesync: a profile that passed validation cannot be encoded: " + err.Error())
	}
	return value
}
