package emulator

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"
)

// entryOf returns the entry under a server's name, nil if it is no object.
func entryOf(t *testing.T, w *World, id string) (fields map[string]any) {
	t.Helper()
	object, found := w.Store.Get("servers", id)
	if !found {
		t.Fatal("no entry")
	}
	_ = json.Unmarshal(object.Specification, &fields)
	return fields
}

// Guards against a rig that shows nothing: a server that starts again under its id keeps its results, states the same start or
// goes on counting, or its runs have the names of earlier ones.
func TestServerStartsAgainUnderItsID(t *testing.T) {
	for _, states := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			plan := smallDeployment(&Memory{})
			plan.StateStarts = states
			w, err := NewWorld(plan)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			s := w.Servers("cut")[0]
			if _, made := w.Registry.reserve(s.Address, Piece{Server: s.ID}, 1000, 3000); !made {
				t.Fatal("no result")
			}
			for range 5 {
				_ = w.Register(s.ID)
			}
			before := entryOf(t, w, s.ID)
			time.Sleep(time.Second)
			if err := w.Restart(s.ID, 100*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			next, after := w.Servers("cut")[0], entryOf(t, w, s.ID)
			if next == s || next.ID != s.ID || next.Address != s.Address || w.Registry.Used(s.ID) != 0 || next.count != runsOfStart {
				t.Errorf("%+v, %d bytes of results", next, w.Registry.Used(s.ID))
			}
			if after["sequence"].(float64) >= before["sequence"].(float64) {
				t.Errorf("sequence %v after %v", after["sequence"], before["sequence"])
			}
			_, stated := after["born"]
			if stated != states || states && (after["born"].(float64) <= before["born"].(float64) || next.Born() != int64(after["born"].(float64))) {
				t.Errorf("born %v after %v", after["born"], before["born"])
			}
			if err := w.Drain(s.ID); err != nil || w.Restart(s.ID, 0) == nil {
				t.Error("a leaving server starts again")
			}
		})
	}
}

// Guards against a rig that shows nothing: entries of foreign writers that still name the server.
func TestForeignWritersOverwriteAnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := smallDeployment(&Memory{})
		plan.StateStarts = true
		w, err := NewWorld(plan)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		id := w.Servers("plain")[0].ID
		for how := range LateCopy + 1 {
			before := entryOf(t, w, id)
			if err := w.OverwriteEntry(id, how); err != nil {
				t.Fatal(err)
			}
			after := entryOf(t, w, id)
			if changed, _ := json.Marshal(after); string(changed) == mustJSON(before) {
				t.Errorf("kind %d: the entry is as before", how)
			}
			if how == LateCopy && after["born"].(float64) >= before["born"].(float64) {
				t.Errorf("late copy: born %v after %v", after["born"], before["born"])
			}
			if err := w.Register(id); err != nil || entryOf(t, w, id)["state"] != "ready" {
				t.Errorf("kind %d: registered again: %v", how, entryOf(t, w, id))
			}
		}
		if w.OverwriteEntry("i-none", MissingField) == nil {
			t.Error("the entry of no server was overwritten")
		}
	})
}

func mustJSON(value any) string {
	text, _ := json.Marshal(value) // maps of texts and numbers
	return string(text)
}
