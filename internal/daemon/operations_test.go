package daemon

import (
	"testing"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Guards against a zone that continues to receive work because its name was mistyped
// in a drain and the drain of the unknown zone was accepted.
func TestUnknownSubjectIsNotDrained(t *testing.T) {
	d := &Daemon{board: board.New(), cfg: config.Config{Instance: config.Instance{ID: "a", Zone: "lac-a"}}}
	d.board.Members.Put("b", board.Member{ID: "b", Zone: "lac-b"})
	d.board.Targets.Put("t", board.Target{ID: "t", Zone: "ariana"})
	o := &operations{d}
	for _, known := range []string{"instance/a", "instance/b", "place/lac-a", "place/lac-b", "place/ariana", "target/t"} {
		if !o.knows(known) {
			t.Errorf("%s is not known", known)
		}
	}
	for _, unknown := range []string{"instance/c", "place/lac-c", "target/a"} {
		if _, err := o.Drain(t.Context(), "op", lynxapi.DrainRequest{Subject: unknown}); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("drain %s: %v", unknown, err)
		}
	}
}
