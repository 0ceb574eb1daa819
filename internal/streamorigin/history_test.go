package streamorigin

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// listed is a view with a target of service s for each build.
func listed(builds ...string) *fleet.View {
	var targets []fleet.Target
	for i, build := range builds {
		targets = append(targets, fleet.Target{ID: fmt.Sprint("t", i), Service: "s", Build: build, Draining: i%2 == 1})
	}
	return fleet.NewView(1, targets)
}

// leadingTo is a table whose route r leads to the services, each with the weight 1.
func leadingTo(services ...string) *route.Table {
	r := route.Route{Name: "r"}
	for _, s := range services {
		r.Services = append(r.Services, route.WeightedService{Name: s, Weight: 1})
	}
	return (&route.Table{Routes: []route.Route{r}}).Build()
}

// Guards against an only origin that is concluded though the stream may have begun
// elsewhere: at another build that has left, before this instance knew, or at another
// service.
func TestOnlyOriginHoldsForTheWholeWindow(t *testing.T) {
	type observation struct {
		at    time.Duration
		view  *fleet.View
		table *route.Table
	}
	r := leadingTo("s")
	for name, c := range map[string]struct {
		seen []observation
		want bool // 10 s after the start, with a window of 5 s
	}{
		"one build":               {[]observation{{0, listed("v1", "v1"), r}}, true},
		"seen again":              {[]observation{{0, listed("v1"), r}, {8 * time.Second, listed("v1", "v1"), r}}, true},
		"known too short":         {[]observation{{6 * time.Second, listed("v1"), r}}, false},
		"two builds":              {[]observation{{0, listed("v1", "v2"), r}}, false},
		"second build left":       {[]observation{{0, listed("v1"), r}, {6 * time.Second, listed("v1", "v2"), r}, {7 * time.Second, listed("v1"), r}}, false},
		"second build left early": {[]observation{{0, listed("v1"), r}, {time.Second, listed("v1", "v2"), r}, {4 * time.Second, listed("v1"), r}}, true},
		"all replaced":            {[]observation{{0, listed("v2"), r}, {7 * time.Second, listed("v1"), r}}, false},
		"none for a while":        {[]observation{{0, listed("v1"), r}, {7 * time.Second, listed(), r}, {8 * time.Second, listed("v1"), r}}, true},
		"none, then another":      {[]observation{{0, listed("v2"), r}, {7 * time.Second, listed(), r}, {8 * time.Second, listed("v1"), r}}, false},
		"split route":             {[]observation{{0, listed("v1"), leadingTo("s", "other")}}, false},
		"moved route":             {[]observation{{0, listed("v1"), leadingTo("other")}, {6 * time.Second, listed("v1"), r}}, false},
		"build is not stated":     {[]observation{{0, listed(""), r}}, true},
		"nothing known":           {nil, false},
	} {
		h := NewHistory()
		for _, o := range c.seen {
			h.Observe(o.view, o.table, start.Add(o.at))
		}
		if _, ok := h.Only("r", 5*time.Second, start.Add(10*time.Second)); ok != c.want {
			t.Errorf("%s: %v, want %v", name, ok, c.want)
		}
	}
}

// Guards against an only origin that rests on lists that were not confirmed for a while.
func TestInterruptedHistoryBeginsAnew(t *testing.T) {
	h := NewHistory()
	h.Observe(listed("v1"), leadingTo("s"), start)
	h.Interrupt(start.Add(8 * time.Second))
	if _, ok := h.Only("r", 5*time.Second, start.Add(10*time.Second)); ok {
		t.Error("2 s after the interruption")
	}
	if _, ok := h.Only("r", 5*time.Second, start.Add(13*time.Second)); !ok {
		t.Error("5 s after the interruption")
	}
}

// Guards against callers that can't go on with their streams for a minute after a fleet has
// started for the first time, and against the wrong origin once that start is past.
func TestFirstStartHasNoEarlierStreams(t *testing.T) {
	only := func(h *History, after time.Duration) bool {
		_, ok := h.Only("r", time.Minute, start.Add(after))
		return ok
	}
	h := NewHistory()
	h.SetWhole()
	h.Observe(listed("v1"), leadingTo("s"), start)
	if !only(h, time.Second) {
		t.Error("not known after the first start")
	}
	h.Observe(listed("v1", "v2"), leadingTo("s"), start.Add(2*time.Second))
	h.Observe(listed("v2"), leadingTo("s"), start.Add(3*time.Second))
	if only(h, 50*time.Second) {
		t.Error("known 47 s after the other build left")
	}
	interrupted := NewHistory()
	interrupted.SetWhole()
	interrupted.Interrupt(start)
	interrupted.Observe(listed("v1"), leadingTo("s"), start)
	if only(interrupted, 50*time.Second) {
		t.Error("known although changes may have been missed")
	}
}

// Guards against a fleet that forgets in a rolling restart which origin its routes have had:
// each instance takes over what those told that it asked, and nothing that it can't confirm.
func TestHistoryIsTakenOver(t *testing.T) {
	h := NewHistory()
	h.Observe(listed("v1"), leadingTo("s"), start)
	h.Extend("r", Origin{"s", "v2"}, start.Add(-time.Hour))
	if _, ok := h.Only("r", time.Minute, start.Add(time.Second)); ok {
		t.Error("another origin was taken over")
	}
	h.Extend("r", Origin{"s", "v1"}, start.Add(-time.Hour))
	if _, ok := h.Only("r", time.Minute, start.Add(time.Second)); !ok {
		t.Error("the origin was not taken over")
	}
	h.Observe(listed("v2"), leadingTo("s"), start.Add(2*time.Second))
	h.Extend("r", Origin{"s", "v1"}, start.Add(-time.Hour))
	if _, ok := h.Only("r", time.Minute, start.Add(3*time.Second)); ok {
		t.Error("an origin of before was taken over")
	}
}

// observe shows the view and the table to the instances.
func (n *network) observe(view *fleet.View, table *route.Table, ids ...string) {
	for _, id := range ids {
		n.managers[id].Observe(view, table)
	}
}

// beginAt begins streams at a build at all instances in turn.
func (n *network) beginAt(count int, build string) (streams []begun) {
	ids := n.ids()
	for k := range count {
		s := begun{Key{"o", fmt.Sprintf("%016x", n.random.Uint64())}, Origin{"s", build}, ids[k%len(ids)]}
		n.managers[s.at].Begin(query(s.Key), s.Origin, 20*time.Second)
		streams = append(streams, s)
	}
	return streams
}

// Guards against messages for each stream while all targets have one build, and against
// streams of that time that can't go on after the first kills of an upgrade.
func TestRecordsAreSentOnceThereAreTwoBuilds(t *testing.T) {
	for _, size := range sizes() {
		runNetwork(t, size, func(n *network) {
			n.observe(listed("v1", "v1"), leadingTo("s"), n.ids()...)
			time.Sleep(window)
			streams := n.beginAt(300, "v1")
			time.Sleep(time.Second)
			if sent := n.count("store"); sent > 0 {
				t.Errorf("%d instances: %d calls with one build", size, sent)
			}
			if share := n.find(streams); share < 1 {
				t.Errorf("%d instances: %.3f go on with one build", size, share)
			}
			for _, id := range n.ids() { // all learn of the second build within a second
				n.observe(listed("v1", "v2"), leadingTo("s"), id)
				time.Sleep(time.Second / time.Duration(size))
			}
			time.Sleep(100 * time.Millisecond)
			streams = append(streams, n.beginAt(100, "v2")...)
			time.Sleep(100 * time.Millisecond)
			n.set(n.dead, true, "i-000", "i-003")
			if share := n.find(streams); share < 0.97 {
				t.Errorf("%d instances: %.3f go on with two builds", size, share)
			}
		})
	}
}

// Guards against streams that can't go on at an instance that has just started, though all
// targets have had one build, and that go on there when there were several.
func TestInstanceThatHasStartedIsToldOfTheOnlyOrigin(t *testing.T) {
	runNetwork(t, 8, func(n *network) {
		n.observe(listed("v1"), leadingTo("s"), n.ids()...)
		time.Sleep(window)
		streams := n.beginAt(40, "v1")
		n.set(n.dead, true, "i-000", "i-001") // their streams are known to nobody
		n.add("new")
		n.observe(listed("v1"), leadingTo("s"), "new")
		if share := n.find(streams, "new"); share < 1 {
			t.Errorf("%.3f go on", share)
		}
		if f, err := n.managers["new"].Find(n.t.Context(), query(Key{"o", ""})); err != nil || f.Build != "v1" {
			t.Errorf("without the id of an attempt: %+v, %v", f, err)
		}
		n.observe(listed("v1", "v2"), leadingTo("s"), "i-004") // the others, and the new one, do not know yet
		n.add("newer")
		n.observe(listed("v2"), leadingTo("s"), "newer")
		if f, err := n.managers["newer"].Find(n.t.Context(), query(Key{"o", "x"})); !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrUnconfirmed) {
			t.Errorf("others know another build: %+v, %v", f, err)
		}
	})
}

// Guards against streams that can't go on because the instance that began them learns
// nothing of a second build.
func TestRecordsAreSentByAnInstanceThatMayMissChanges(t *testing.T) {
	runNetwork(t, 8, func(n *network) {
		n.observe(listed("v1"), leadingTo("s"), n.ids()...)
		time.Sleep(window)
		streams := n.beginAt(80, "v1")
		n.managers["i-000"].Interrupt()
		n.observe(listed("v1", "v2"), leadingTo("s"), n.ids()[1:]...)
		time.Sleep(100 * time.Millisecond)
		n.set(n.dead, true, "i-000")
		if share := n.find(streams); share < 1 {
			t.Errorf("%.3f go on", share)
		}
	})
}

// Guards against an instance that takes its unconfirmed list for proof of the only origin.
func TestUnconfirmedListProvesNothing(t *testing.T) {
	runNetwork(t, 8, func(n *network) {
		m := n.managers["i-000"]
		n.observe(listed("v1"), leadingTo("s"), "i-000")
		time.Sleep(window)
		if f, err := m.Find(n.t.Context(), query(Key{"o", "x"})); err != nil || f.Build != "v1" {
			t.Errorf("confirmed: %+v, %v", f, err)
		}
		m.o.Confirmed = func() bool { return false }
		if _, err := m.Find(n.t.Context(), query(Key{"o", "y"})); !errors.Is(err, ErrUnknown) {
			t.Errorf("not confirmed: %v", err)
		}
		n.set(n.alone, true, "i-000")
		if _, err := m.Find(n.t.Context(), query(Key{"o", "z"})); !errors.Is(err, ErrUnconfirmed) {
			t.Errorf("cut off: %v", err)
		}
	})
}
