package profiles

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/profile"
)

func TestExamplesAreValid(t *testing.T) {
	seen := make(map[string]bool)
	pipelines := 0
	for _, deployment := range []string{Mediaplace, Kilimanjaro} {
		all, err := Load(deployment)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range all {
			if seen[p.Name] {
				t.Errorf("%s stands twice", p.Name)
			}
			seen[p.Name] = true
			if p.Deadline > 10*time.Second {
				t.Errorf("%s: deadline %v", p.Name, p.Deadline)
			}
			if n := len(p.Stages); n >= 3 && n <= 6 {
				pipelines++
			}
		}
	}
	const wanted = 7 // pipelines of three to six stages
	if pipelines != wanted {
		t.Errorf("%d pipelines of three to six stages, want %d", pipelines, wanted)
	}
}

// Symptom: inventory booked twice. Cause: the stage that books was declared
// idempotent, so that it was repeated like any other.
func TestWritesAreNotIdempotent(t *testing.T) {
	writes := map[string]string{"booking": "book", "curve-write": "write"}
	for _, deployment := range []string{Mediaplace, Kilimanjaro} {
		all, err := Load(deployment)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range all {
			for _, s := range p.Stages {
				if isWrite := writes[p.Name] == s.Name; s.Idempotent == isWrite {
					t.Errorf("%s: stage %s: idempotent is %v", p.Name, s.Name, s.Idempotent)
				}
				if s.Kind == profile.KindGenerate && len(s.Providers) != 2 {
					t.Errorf("%s: stage %s: %d providers", p.Name, s.Name, len(s.Providers))
				}
			}
		}
	}
}
