package profile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Defaults of keys that a TOML file omits. A stage is not idempotent unless it is
// declared so: if it was omitted by mistake, that costs a claim and not a
// duplicate execution.
const (
	DefaultPriority       = 5
	DefaultDeadline       = 10 * time.Second
	DefaultObjective      = 0.99
	DefaultMaxInputKB     = 256
	DefaultProviderName   = "default"
	DefaultProviderWeight = 1.0
)

// duration is a time.Duration that TOML holds as a string such as "2.5s". It is a
// struct because the decoder would accept a bare number for an integer type, and
// "deadline = 2" would silently mean two nanoseconds.
type duration struct {
	time.Duration
}

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return durationError{text: string(text)}
	}
	d.Duration = parsed
	return nil
}

// durationError is the error of a value that is not a duration. The decoder adds the
// key if the value was a string and omits it if it was a number.
type durationError struct {
	text string
}

// Error implements error.
func (e durationError) Error() string {
	return fmt.Sprintf("%q is not a duration such as \"2.5s\" or \"800ms\"", e.text)
}

// document is the TOML form of a profile. Pointers distinguish omitted keys from
// zero values: a provider of weight 0 is drained.
type document struct {
	Name       string          `toml:"name"`
	Priority   *int            `toml:"priority"`
	Deadline   *duration       `toml:"deadline"`
	Objective  *float64        `toml:"objective"`
	MaxInputKB *int            `toml:"max_input_kb"`
	Stages     []stageDocument `toml:"stages"`
}

type stageDocument struct {
	Name       string             `toml:"name"`
	Kind       Kind               `toml:"kind"`
	Idempotent bool               `toml:"idempotent"`
	Share      float64            `toml:"share,omitempty"`
	MaxTokens  int                `toml:"max_tokens,omitempty"`
	Providers  []providerDocument `toml:"providers"`
}

type providerDocument struct {
	Name    *string  `toml:"name"`
	Service string   `toml:"service"`
	Model   string   `toml:"model,omitempty"`
	Version string   `toml:"version,omitempty"`
	Adapter string   `toml:"adapter,omitempty"`
	Weight  *float64 `toml:"weight"`
}

// Parse reads a profile from TOML and sets the defaults. Unknown keys and values of
// the wrong type are errors that name the key and the line. Parse does not apply
// the rules of Validate.
func Parse(text []byte) (Profile, error) {
	var doc document
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return Profile{}, describeDecodeError(err)
	}
	return doc.profile(), nil
}

// Marshal writes a profile as TOML that Parse reads back to the same profile.
func Marshal(p Profile) ([]byte, error) {
	text, err := toml.Marshal(documentOf(p))
	if err != nil {
		return nil, fmt.Errorf("marshal profile %s: %w", p.Name, err)
	}
	return text, nil
}

// describeDecodeError turns the decoder's errors into one line that names the key
// and its position.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("line %d: %s: unknown key", row, dotted(first.Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		where := fmt.Sprintf("line %d column %d", row, column)
		if key := dotted(decode.Key()); key != "" {
			where += ": " + key
		}
		return fmt.Errorf("%s: %s", where, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	var notDuration durationError
	if errors.As(err, &notDuration) {
		return fmt.Errorf("deadline: %w", notDuration) // the only duration in a document
	}
	return err
}

func dotted(key toml.Key) string { return strings.Join(key, ".") }

func (d document) profile() Profile {
	p := Profile{
		Name:       d.Name,
		Priority:   orDefault(d.Priority, DefaultPriority),
		Deadline:   orDefault(d.Deadline, duration{DefaultDeadline}).Duration,
		Objective:  orDefault(d.Objective, DefaultObjective),
		MaxInputKB: orDefault(d.MaxInputKB, DefaultMaxInputKB),
	}
	for _, s := range d.Stages {
		p.Stages = append(p.Stages, s.stage())
	}
	return p
}

func (d stageDocument) stage() Stage {
	s := Stage{Name: d.Name, Kind: d.Kind, Idempotent: d.Idempotent, Share: d.Share, MaxTokens: d.MaxTokens}
	for _, p := range d.Providers {
		s.Providers = append(s.Providers, Provider{
			Name:    orDefault(p.Name, DefaultProviderName),
			Service: p.Service,
			Model:   p.Model,
			Version: p.Version,
			Adapter: p.Adapter,
			Weight:  orDefault(p.Weight, DefaultProviderWeight),
		})
	}
	return s
}

func documentOf(p Profile) document {
	deadline := duration{p.Deadline}
	doc := document{
		Name:       p.Name,
		Priority:   &p.Priority,
		Deadline:   &deadline,
		Objective:  &p.Objective,
		MaxInputKB: &p.MaxInputKB,
	}
	for _, s := range p.Stages {
		doc.Stages = append(doc.Stages, stageDocumentOf(s))
	}
	return doc
}

func stageDocumentOf(s Stage) stageDocument {
	doc := stageDocument{Name: s.Name, Kind: s.Kind, Idempotent: s.Idempotent, Share: s.Share, MaxTokens: s.MaxTokens}
	for _, p := range s.Providers {
		doc.Providers = append(doc.Providers, providerDocument{
			Name:    &p.Name,
			Service: p.Service,
			Model:   p.Model,
			Version: p.Version,
			Adapter: p.Adapter,
			Weight:  &p.Weight,
		})
	}
	return doc
}

func orDefault[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
