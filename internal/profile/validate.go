package profile

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Bounds of a valid profile. They keep a single mistaken file from occupying
// accelerators for minutes or exhausting an instance's memory.
const (
	MinDeadline    = 10 * time.Millisecond
	MaxDeadline    = time.Minute
	MinPriority    = 0
	MaxPriority    = 9
	MaxStages      = 16
	MaxProviders   = 8
	MaxTokens      = 32768
	MaxInputKB     = 16 * 1024
	MaxNameLength  = 63
	maxWeight      = 1e6
	shareTolerance = 1e-9 // for the sum of shares such as 0.1 + 0.2 + 0.7
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/+-]{0,127}$`)
)

// Problem is one violated rule.
type Problem struct {
	Path    string `json:"path"` // such as stages.draft.providers.new.weight
	Message string `json:"message"`
}

// InvalidError lists every rule that a profile violates.
type InvalidError struct {
	Name     string
	Problems []Problem
}

// Error implements error. It names each problem by its TOML path.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Path+": "+p.Message)
	}
	return fmt.Sprintf("profile %q: %s", e.Name, strings.Join(lines, "; "))
}

// Validate checks every rule. It returns nil or an *InvalidError with all violated
// rules, in the order of the file.
func Validate(p Profile) error {
	c := &checker{}
	c.checkProfileFields(p)
	c.checkStages(p.Stages)
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Name: p.Name, Problems: c.problems}
}

// checker collects problems.
type checker struct {
	problems []Problem
}

func (c *checker) addf(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkProfileFields(p Profile) {
	c.checkName("name", p.Name)
	if p.Priority < MinPriority || p.Priority > MaxPriority {
		c.addf("priority", "is %d; must be %d to %d", p.Priority, MinPriority, MaxPriority)
	}
	if p.Deadline < MinDeadline || p.Deadline > MaxDeadline {
		c.addf("deadline", "is %v; must be %v to %v", p.Deadline, MinDeadline, MaxDeadline)
	}
	if !(p.Objective > 0 && p.Objective < 1) {
		c.addf("objective", "is %v; must lie between 0 and 1, both exclusive, such as 0.99", p.Objective)
	}
	if p.MaxInputKB < 1 || p.MaxInputKB > MaxInputKB {
		c.addf("max_input_kb", "is %d; must be 1 to %d", p.MaxInputKB, MaxInputKB)
	}
}

func (c *checker) checkStages(stages []Stage) {
	if len(stages) == 0 {
		c.addf("stages", "needs at least one stage")
	}
	if len(stages) > MaxStages {
		c.addf("stages", "has %d stages; at most %d", len(stages), MaxStages)
	}
	seen := make(map[string]bool, len(stages))
	total := 0.0
	for i, s := range stages {
		path := elementPath("stages", i, s.Name)
		if s.Name != "" && seen[s.Name] {
			c.addf(path+".name", "stands twice; stage names must differ")
		}
		seen[s.Name] = true
		total += s.Share
		c.checkStage(path, s)
	}
	if total > 1+shareTolerance {
		c.addf("stages", "shares add up to %.3g; at most 1", total)
	}
}

func (c *checker) checkStage(path string, s Stage) {
	c.checkName(path+".name", s.Name)
	if !s.Kind.Known() {
		c.addf(path+".kind", "is %q; must be encode, retrieve, rerank, generate or service", s.Kind)
	}
	if !(s.Share >= 0 && s.Share <= 1) {
		c.addf(path+".share", "is %v; must be 0 to 1", s.Share)
	}
	c.checkMaxTokens(path+".max_tokens", s)
	if len(s.Providers) == 0 {
		c.addf(path+".providers", "needs at least one provider")
	}
	if len(s.Providers) > MaxProviders {
		c.addf(path+".providers", "has %d providers; at most %d", len(s.Providers), MaxProviders)
	}
	c.checkProviders(path+".providers", s)
}

func (c *checker) checkMaxTokens(path string, s Stage) {
	if s.Kind != KindGenerate {
		if s.MaxTokens != 0 {
			c.addf(path, "is for generate stages only")
		}
		return
	}
	if s.MaxTokens < 1 || s.MaxTokens > MaxTokens {
		c.addf(path, "is %d; a generate stage needs 1 to %d", s.MaxTokens, MaxTokens)
	}
}

func (c *checker) checkProviders(path string, s Stage) {
	seen := make(map[string]bool, len(s.Providers))
	total := 0.0
	for i, p := range s.Providers {
		own := elementPath(path, i, p.Name)
		if p.Name != "" && seen[p.Name] {
			c.addf(own+".name", "stands twice; provider names of a stage must differ")
		}
		seen[p.Name] = true
		c.checkName(own+".name", p.Name)
		c.checkName(own+".service", p.Service)
		c.checkModel(own, s.Kind, p)
		if !(p.Weight >= 0 && p.Weight <= maxWeight) {
			c.addf(own+".weight", "is %v; must be 0 to %v", p.Weight, float64(maxWeight))
			continue
		}
		total += p.Weight
	}
	if len(s.Providers) > 0 && total == 0 {
		c.addf(path, "all weights are 0; at least one must be above")
	}
}

func (c *checker) checkModel(path string, kind Kind, p Provider) {
	if kind.NeedsModel() && p.Model == "" {
		c.addf(path+".model", "is needed for a %s stage", kind)
	}
	if kind.NeedsModel() && p.Version == "" {
		c.addf(path+".version", "is needed for a %s stage", kind)
	}
	if kind == KindService && (p.Model != "" || p.Version != "" || p.Adapter != "") {
		c.addf(path+".model", "a plain service has no model, version or adapter")
		return
	}
	if p.Model == "" && (p.Version != "" || p.Adapter != "") {
		c.addf(path+".model", "is needed where a version or adapter is given")
	}
	c.checkLabel(path+".model", p.Model)
	c.checkLabel(path+".version", p.Version)
	c.checkLabel(path+".adapter", p.Adapter)
}

func (c *checker) checkName(path, name string) {
	switch {
	case name == "":
		c.addf(path, "is missing")
	case len(name) > MaxNameLength:
		c.addf(path, "has %d characters; at most %d", len(name), MaxNameLength)
	case !namePattern.MatchString(name):
		c.addf(path, "is %q; must be lower-case letters, digits and inner hyphens", name)
	}
}

func (c *checker) checkLabel(path, label string) {
	if label != "" && !modelPattern.MatchString(label) {
		c.addf(path, "is %q; must be letters, digits and . _ : / + -, at most 128", label)
	}
}

// elementPath names an element of a list by its name, or by its position when
// it has none.
func elementPath(list string, index int, name string) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return list + "." + name
}

// Known reports whether k is one of the kinds.
func (k Kind) Known() bool {
	switch k {
	case KindEncode, KindRetrieve, KindRerank, KindGenerate, KindService:
		return true
	}
	return false
}

// NeedsModel reports whether a provider of a stage of this kind must name a model and
// its version. Pools of encoders, retrievers and rerankers run a fixed model of
// their own, so their providers may omit it.
func (k Kind) NeedsModel() bool { return k == KindGenerate }
