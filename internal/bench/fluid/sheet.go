// Package fluid computes what a deployment could serve on time at most, from its
// sheet alone: what its stage targets make in full calls, and what the kinds of
// requests ask of them in each span of a day. Requests are a fluid: there are no
// queues, no times and no chances, so that no policy does better. A measured
// share stands beside the bound, or it says little.
package fluid

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"lynxhill.example/lynxhill/internal/config"
)

// Sheet is a deployment and a day, as its operators know them.
type Sheet struct {
	Name     string    `toml:"name"`
	Services []Service `toml:"services"`
	Kinds    []Kind    `toml:"kinds"`
	Spans    []Span    `toml:"spans"`
}

// Service is a stage service.
type Service struct {
	Name    string          `toml:"name"`
	Targets int             `toml:"targets"`
	Batch   int             `toml:"batch"` // pieces of a call
	Call    config.Duration `toml:"call"`  // fixed time of a call
	Item    config.Duration `toml:"item"`  // and of each piece
}

// Kind is a kind of request.
type Kind struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"` // a second
	Worth float64 `toml:"worth"`
	Needs []Need  `toml:"needs"`
}

// Need is what a request of a kind asks of a service on average.
type Need struct {
	Service string  `toml:"service"`
	Pieces  float64 `toml:"pieces"`
	Work    float64 `toml:"work"` // of the stated time of a piece; 0 = all of it
}

// Span is a part of a day. What it does not name is as on the sheet.
type Span struct {
	Name    string             `toml:"name"`
	Seconds float64            `toml:"seconds"`
	Rates   map[string]float64 `toml:"rates"`   // factors, by kind
	Targets map[string]int     `toml:"targets"` // that are there, by service
}

// Read reads a sheet from a TOML file. The error names what is wrong.
func Read(path string) (*Sheet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s Sheet
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

var errEmpty = errors.New("a sheet needs services, kinds and spans")

func (s *Sheet) validate() error {
	if len(s.Services) == 0 || len(s.Kinds) == 0 || len(s.Spans) == 0 {
		return errEmpty
	}
	for _, v := range s.Services {
		if v.Targets < 1 || v.Batch < 1 || v.Call.Duration <= 0 || v.Item.Duration < 0 {
			return fmt.Errorf("service %s: targets, batch and call have to be positive", v.Name)
		}
	}
	for _, k := range s.Kinds {
		if !(k.Rate > 0) || !(k.Worth > 0) {
			return fmt.Errorf("kind %s: rate and worth have to be positive", k.Name)
		}
		for _, n := range k.Needs {
			if s.service(n.Service) < 0 || !(n.Pieces >= 0) || !(n.Work >= 0) {
				return fmt.Errorf("kind %s: needs pieces of a service that is on the sheet", k.Name)
			}
		}
	}
	return s.validateSpans()
}

func (s *Sheet) validateSpans() error {
	for _, p := range s.Spans {
		if !(p.Seconds > 0) {
			return fmt.Errorf("span %s: seconds have to be positive", p.Name)
		}
		for name, factor := range p.Rates {
			if s.kind(name) < 0 || !(factor >= 0) {
				return fmt.Errorf("span %s: no kind %s, or a negative rate", p.Name, name)
			}
		}
		for name, n := range p.Targets {
			if s.service(name) < 0 || n < 0 {
				return fmt.Errorf("span %s: no service %s, or a negative number", p.Name, name)
			}
		}
	}
	return nil
}

func (s *Sheet) service(name string) int {
	for i, v := range s.Services {
		if v.Name == name {
			return i
		}
	}
	return -1
}

func (s *Sheet) kind(name string) int {
	for i, k := range s.Kinds {
		if k.Name == name {
			return i
		}
	}
	return -1
}

// cost is the time of one target that a piece takes in full calls, in seconds:
// its part of the fixed time, and its own.
func (v Service) cost(work float64) float64 {
	if work == 0 {
		work = 1
	}
	return v.Call.Duration.Seconds()/float64(v.Batch) + work*v.Item.Duration.Seconds()
}
