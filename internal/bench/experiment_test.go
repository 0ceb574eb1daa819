package bench

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func loadText(t *testing.T, text string) (Experiment, error) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadExperiment(name)
}

// The symptom would be an experiment that passes because its fault, spelt
// wrongly, never happened.
func TestExperimentsWithMistakesAreRefused(t *testing.T) {
	mistakes := map[string]string{
		"unknown key":             "instnces = 3",
		"unknown key of a fault":  "[[faults]]\nkind = \"poison\"\nwhen = \"1s\"",
		"unknown fault":           "[[faults]]\nkind = \"meteor\"",
		"fault after the load":    "duration = \"5s\"\n[[faults]]\nkind = \"poison\"\nat = \"6s\"",
		"negative time":           "[[faults]]\nkind = \"poison\"\nat = \"-1s\"",
		"unknown policy":          "[[variants]]\nname = \"x\"\npolicy = \"guess\"",
		"unknown tickets":         "[[variants]]\nname = \"x\"\ntickets = \"often\"",
		"two variants of a name":  "[[variants]]\nname = \"x\"\n[[variants]]\nname = \"x\"",
		"too many instances":      "instances = 65",
		"no instance":             "instances = -1",
		"rate below nothing":      "rate = -1.0",
		"rate too high":           "rate = 5001.0",
		"duration too long":       "duration = \"11m\"",
		"duration without a unit": "duration = 10",
		"fault without a unit":    "[[faults]]\nkind = \"poison\"\nfor = 5",
		"share above one":         "min_whole = 1.5",
		"unknown deployment":      "deployments = [\"elsewhere\"]",
		"unknown arrivals":        "[arrivals]\nkind = \"tidal\"",
	}
	for name, text := range mistakes {
		if _, err := loadText(t, text); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}

func TestExperimentDefaults(t *testing.T) {
	e, err := loadText(t, `name = "x"`)
	if err != nil {
		t.Fatal(err)
	}
	if e.Instances != defaultInstances || e.Rate != defaultRate || e.Duration.Duration != defaultDuration ||
		len(e.Deployments) != 2 || len(e.Variants) != 1 || e.MinWhole != defaultMinWhole || e.Repetitions != 1 {
		t.Errorf("defaults: %+v", e)
	}
}

// Every experiment of the repository loads, has a name that is its file's, and
// says what it is about.
func TestExperimentsOfTheRepositoryLoad(t *testing.T) {
	root := filepath.Join("..", "..", "experiments")
	files, _ := filepath.Glob(filepath.Join(root, "*.toml"))
	pairs, _ := filepath.Glob(filepath.Join(root, "pairs", "*.toml"))
	if len(files) < 16 {
		t.Fatalf("only %d experiments", len(files))
	}
	for _, file := range append(files, pairs...) {
		e, err := LoadExperiment(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if e.Name != strings.TrimSuffix(filepath.Base(file), ".toml") || e.About == "" {
			t.Errorf("%s: name %q, about %q", file, e.Name, e.About)
		}
		if e.Duration.Duration > time.Minute {
			t.Errorf("%s takes %s a variant", file, e.Duration)
		}
	}
}

// The fault list of the command line is the table of faults itself.
func TestFaultKindsListsEveryFault(t *testing.T) {
	lines := FaultKinds()
	if len(lines) != len(faultKinds) {
		t.Fatalf("%d lines for %d faults", len(lines), len(faultKinds))
	}
	for name, kind := range faultKinds {
		if kind.help == "" || kind.begin == nil || !strings.Contains(strings.Join(lines, "\n"), name) {
			t.Errorf("fault %s is not told of", name)
		}
	}
}
