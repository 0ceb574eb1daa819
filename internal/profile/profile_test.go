package profile

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const sample = `
name = "creative-check"
deadline = "2.5s"
objective = 0.995

[[stages]]
name = "embed"
kind = "encode"
idempotent = true

[[stages.providers]]
service = "encoders"

[[stages]]
name = "draft"
kind = "generate"
idempotent = true
max_tokens = 200

[[stages.providers]]
name = "old"
service = "lynx-pool"
model = "lynx-7b"
version = "1"
weight = 0.0

[[stages.providers]]
name = "new"
service = "lynx-pool"
model = "lynx-7b"
version = "2"
`

func sampleProfile(t *testing.T) Profile {
	t.Helper()
	p, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestParseFillsInDefaults(t *testing.T) {
	p := sampleProfile(t)
	if p.Deadline != 2500*time.Millisecond || p.Priority != DefaultPriority || p.MaxInputKB != DefaultMaxInputKB {
		t.Fatalf("head: %+v", p)
	}
	draft := p.Stages[1]
	if draft.Providers[0].Weight != 0 || draft.Providers[1].Weight != DefaultProviderWeight {
		t.Fatalf("a weight of 0 must stay 0 and a missing one become the default: %+v", draft.Providers)
	}
	if p.Stages[0].Providers[0].Name != DefaultProviderName {
		t.Fatalf("provider name: %+v", p.Stages[0].Providers)
	}
	if err := Validate(p); err != nil {
		t.Fatal(err)
	}
}

func TestParseNamesTheKeyAtFault(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"unknown key", "idempotent = true", "idempotend = true", "stages.idempotend: unknown key"},
		{"wrong unit", `deadline = "2.5s"`, `deadline = "2.5 seconds"`, "is not a duration"},
		{"number for duration", `deadline = "2.5s"`, `deadline = 2`, "deadline"},
		{"wrong type", "max_tokens = 200", `max_tokens = "many"`, "max_tokens"},
		{"no TOML", "name =", "name", "line 2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(sample, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q in it", err, c.want)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("more than one line: %q", err)
			}
		})
	}
}

func TestValidateNamesThePath(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(*Profile)
		path  string
	}{
		{"no name", func(p *Profile) { p.Name = "" }, "name"},
		{"bad name", func(p *Profile) { p.Name = "Creative Check" }, "name"},
		{"long name", func(p *Profile) { p.Name = strings.Repeat("a", MaxNameLength+1) }, "name"},
		{"priority", func(p *Profile) { p.Priority = 10 }, "priority"},
		{"no deadline", func(p *Profile) { p.Deadline = 0 }, "deadline"},
		{"long deadline", func(p *Profile) { p.Deadline = time.Hour }, "deadline"},
		{"objective 1", func(p *Profile) { p.Objective = 1 }, "objective"},
		{"objective 0", func(p *Profile) { p.Objective = 0 }, "objective"},
		{"input", func(p *Profile) { p.MaxInputKB = 0 }, "max_input_kb"},
		{"no stages", func(p *Profile) { p.Stages = nil }, "stages"},
		{"no stage name", func(p *Profile) { p.Stages[0].Name = "" }, "stages[0].name"},
		{"twice", func(p *Profile) { p.Stages[0].Name = "draft" }, "stages.draft.name"},
		{"kind", func(p *Profile) { p.Stages[0].Kind = "guess" }, "stages.embed.kind"},
		{"share", func(p *Profile) { p.Stages[0].Share = 1.5 }, "stages.embed.share"},
		{"shares", func(p *Profile) { p.Stages[0].Share, p.Stages[1].Share = 0.6, 0.6 }, "stages"},
		{"no tokens", func(p *Profile) { p.Stages[1].MaxTokens = 0 }, "stages.draft.max_tokens"},
		{"tokens elsewhere", func(p *Profile) { p.Stages[0].MaxTokens = 5 }, "stages.embed.max_tokens"},
		{"no providers", func(p *Profile) { p.Stages[0].Providers = nil }, "stages.embed.providers"},
		{"no service", func(p *Profile) { p.Stages[0].Providers[0].Service = "" }, "stages.embed.providers.default.service"},
		{"no model", func(p *Profile) { p.Stages[1].Providers[1].Model = "" }, "stages.draft.providers.new.model"},
		{"no version", func(p *Profile) { p.Stages[1].Providers[1].Version = "" }, "stages.draft.providers.new.version"},
		{"weight", func(p *Profile) { p.Stages[1].Providers[1].Weight = -1 }, "stages.draft.providers.new.weight"},
		{"all weights 0", func(p *Profile) { p.Stages[1].Providers[1].Weight = 0 }, "stages.draft.providers"},
		{"provider twice", func(p *Profile) { p.Stages[1].Providers[1].Name = "old" }, "stages.draft.providers.old.name"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := sampleProfile(t)
			c.spoil(&p)
			err := Validate(p)
			if err == nil {
				t.Fatal("accepted")
			}
			invalid, ok := err.(*InvalidError)
			if !ok || invalid.Problems[0].Path != c.path {
				t.Fatalf("got %v, want path %s", err, c.path)
			}
		})
	}
}

func TestDiffShowsAWeightShift(t *testing.T) {
	before, after := sampleProfile(t), sampleProfile(t)
	after.Stages[1].Providers[0].Weight = 1
	after.Stages[1].Providers[1].Weight = 3
	got := Diff(before, after)
	want := []DiffLine{
		{Path: "stages.draft.providers.old.weight", Old: "0", New: "1"},
		{Path: "stages.draft.providers.new.weight", Old: "1", New: "3"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v", got)
	}
}

func TestDiffShowsAddedRemovedAndReorderedStages(t *testing.T) {
	before, after := sampleProfile(t), sampleProfile(t)
	after.Stages[0], after.Stages[1] = after.Stages[1], after.Stages[0]
	if got := Diff(before, after); len(got) != 1 || got[0].String() != "~ stages: embed, draft -> draft, embed" {
		t.Fatalf("order: %v", got)
	}
	after = sampleProfile(t)
	after.Stages = after.Stages[1:]
	for _, line := range Diff(before, after)[1:] {
		if !strings.HasPrefix(line.String(), "- stages.embed.") {
			t.Fatalf("removed: %v", line)
		}
	}
	for _, line := range Diff(after, before)[1:] {
		if !strings.HasPrefix(line.String(), "+ stages.embed.") {
			t.Fatalf("added: %v", line)
		}
	}
}

func TestProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("generated profiles are valid", prop.ForAll(func(p Profile) bool {
		return Validate(p) == nil
	}, anyProfile()))
	properties.Property("Parse(Marshal(p)) == p", prop.ForAll(func(p Profile) (bool, error) {
		text, err := Marshal(p)
		if err != nil {
			return false, err
		}
		back, err := Parse(text)
		return reflect.DeepEqual(back, p), err
	}, anyProfile()))
	properties.Property("Diff is empty exactly for equal profiles", prop.ForAll(func(a, b Profile) bool {
		return len(Diff(a, a)) == 0 && (len(Diff(a, b)) == 0) == reflect.DeepEqual(a, b)
	}, anyProfile(), anyProfile()))
	properties.Property("Diff sees any single change", prop.ForAll(func(p Profile, which int) bool {
		changed := clone(p)
		change(&changed, which)
		return len(Diff(p, changed)) > 0
	}, anyProfile(), gen.IntRange(0, 11)))
	properties.TestingRun(t)
}

// change alters exactly one value of p.
func change(p *Profile, which int) {
	stage := &p.Stages[len(p.Stages)-1]
	provider := &stage.Providers[0]
	switch which {
	case 0:
		p.Name += "x"
	case 1:
		p.Priority++
	case 2:
		p.Deadline++
	case 3:
		p.Objective /= 2
	case 4:
		p.MaxInputKB++
	case 5:
		stage.Name += "x"
	case 6:
		stage.Idempotent = !stage.Idempotent
	case 7:
		stage.Share += 0.001
	case 8:
		stage.MaxTokens++
	case 9:
		provider.Weight++
	case 10:
		provider.Adapter += "x"
	case 11:
		provider.Service += "x"
	}
}

func clone(p Profile) Profile {
	p.Stages = append([]Stage(nil), p.Stages...)
	for i := range p.Stages {
		p.Stages[i].Providers = append([]Provider(nil), p.Stages[i].Providers...)
	}
	return p
}

// anyProfile generates valid profiles of one to four stages.
func anyProfile() gopter.Gen {
	return gopter.CombineGens(
		gen.Identifier(), gen.IntRange(0, 9), gen.Int64Range(int64(MinDeadline), int64(MaxDeadline)),
		gen.Float64Range(0.001, 0.999), gen.IntRange(1, MaxInputKB), gen.SliceOfN(4, anyStage()), gen.IntRange(1, 4),
	).Map(func(v []any) Profile {
		stages := v[5].([]Stage)[:v[6].(int)]
		for i := range stages {
			stages[i].Name += string(rune('a' + i))
		}
		return Profile{
			Name: shorten(v[0].(string)), Priority: v[1].(int), Deadline: time.Duration(v[2].(int64)),
			Objective: v[3].(float64), MaxInputKB: v[4].(int), Stages: stages,
		}
	})
}

func anyStage() gopter.Gen {
	kinds := []any{KindEncode, KindRetrieve, KindRerank, KindGenerate, KindService}
	return gopter.CombineGens(
		gen.Identifier(), gen.OneConstOf(kinds...), gen.Bool(), gen.Float64Range(0, 0.25),
		gen.IntRange(1, MaxTokens), gen.SliceOfN(3, gen.Float64Range(0, 100)), gen.IntRange(1, 3),
	).Map(func(v []any) Stage {
		s := Stage{Name: shorten(v[0].(string)), Kind: v[1].(Kind), Idempotent: v[2].(bool), Share: v[3].(float64)}
		for i, weight := range v[5].([]float64)[:v[6].(int)] {
			s.Providers = append(s.Providers, Provider{Name: string(rune('a' + i)), Service: "lynx-pool", Weight: weight + 0.5})
		}
		if s.Kind == KindGenerate {
			s.MaxTokens = v[4].(int)
			for i := range s.Providers {
				s.Providers[i].Model, s.Providers[i].Version = "lynx-7b", "1"
			}
		}
		return s
	})
}

// shorten turns a generated identifier into a valid name.
func shorten(identifier string) string {
	name := strings.ToLower(identifier)
	return name[:min(len(name), MaxNameLength-2)]
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("name = \"x\"\n[[stages]]\n"))
	f.Add([]byte("stages = [{providers = [{weight = nan}]}]"))
	f.Add([]byte("deadline = \"1h\"\nobjective = inf"))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Parse(text)
		if err != nil || Validate(p) != nil {
			return
		}
		again, err := Marshal(p)
		if err != nil {
			t.Fatalf("marshalling a valid profile: %v", err)
		}
		back, err := Parse(again)
		if err != nil {
			t.Fatalf("%v in\n%s", err, again)
		}
		if len(Diff(p, back)) != 0 {
			t.Fatalf("the profile changed in the round trip: %v", Diff(p, back))
		}
	})
}
