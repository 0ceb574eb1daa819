package profile

import (
	"fmt"
	"strconv"
	"strings"
)

// DiffLine is one difference between two versions of a profile.
type DiffLine struct {
	Path string `json:"path"` // such as stages.draft.providers.new.weight
	Old  string `json:"old"`  // "" for something added
	New  string `json:"new"`  // "" for something removed
}

// field is one value of a profile with its path. The fields of a profile are in the
// order of its TOML form.
type field struct {
	path  string
	value string
}

// Diff lists the differences from a to b: first the fields that b lacks or has with
// another value, in a's order, then the fields that b adds, in b's order. Stages
// and providers are matched by name; a change of their order is a line of its own.
// The result is empty only for equal profiles. Both profiles must be valid, since
// stages without a name or with equal names cannot be told apart.
func Diff(a, b Profile) []DiffLine {
	oldFields, newFields := fieldsOf(a), fieldsOf(b)
	oldValues, newValues := valuesOf(oldFields), valuesOf(newFields)
	var lines []DiffLine
	for _, f := range oldFields {
		now, kept := newValues[f.path]
		if !kept || now != f.value {
			lines = append(lines, DiffLine{Path: f.path, Old: f.value, New: now})
		}
	}
	for _, f := range newFields {
		if _, known := oldValues[f.path]; !known {
			lines = append(lines, DiffLine{Path: f.path, New: f.value})
		}
	}
	return lines
}

func valuesOf(fields []field) map[string]string {
	values := make(map[string]string, len(fields))
	for _, f := range fields {
		values[f.path] = f.value
	}
	return values
}

func fieldsOf(p Profile) []field {
	fields := []field{
		{"name", p.Name},
		{"priority", strconv.Itoa(p.Priority)},
		{"deadline", p.Deadline.String()},
		{"objective", formatFloat(p.Objective)},
		{"max_input_kb", strconv.Itoa(p.MaxInputKB)},
		{"stages", orderOf(p.Stages, func(s Stage) string { return s.Name })},
	}
	for i, s := range p.Stages {
		fields = append(fields, stageFields(elementPath("stages", i, s.Name), s)...)
	}
	return fields
}

func stageFields(path string, s Stage) []field {
	fields := []field{
		{path + ".kind", string(s.Kind)},
		{path + ".idempotent", strconv.FormatBool(s.Idempotent)},
		{path + ".share", formatFloat(s.Share)},
	}
	if s.MaxTokens != 0 {
		fields = append(fields, field{path + ".max_tokens", strconv.Itoa(s.MaxTokens)})
	}
	list := path + ".providers"
	fields = append(fields, field{list, orderOf(s.Providers, func(p Provider) string { return p.Name })})
	for i, p := range s.Providers {
		fields = append(fields, providerFields(elementPath(list, i, p.Name), p)...)
	}
	return fields
}

func providerFields(path string, p Provider) []field {
	fields := []field{{path + ".service", p.Service}}
	optional := []field{
		{path + ".model", p.Model},
		{path + ".version", p.Version},
		{path + ".adapter", p.Adapter},
	}
	for _, f := range optional {
		if f.value != "" {
			fields = append(fields, f)
		}
	}
	return append(fields, field{path + ".weight", formatFloat(p.Weight)})
}

// orderOf joins the names of the elements, so that a change of order is a
// difference.
func orderOf[T any](list []T, name func(T) string) string {
	names := make([]string, 0, len(list))
	for _, element := range list {
		names = append(names, name(element))
	}
	return strings.Join(names, ", ")
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// String formats the line for operators.
func (l DiffLine) String() string {
	switch {
	case l.Old == "":
		return fmt.Sprintf("+ %s = %s", l.Path, l.New)
	case l.New == "":
		return fmt.Sprintf("- %s = %s", l.Path, l.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", l.Path, l.Old, l.New)
	}
}
