// Package event is the catalogue of numbered log events and the logger that
// writes them. docs/EVENTS.md lists every number; a test compares the page with
// the catalogue. Numbers are never reused for another meaning.
package event

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the severity of an event.
type Level int

// Levels.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// ID is the number of an event. Each package has its own block of a hundred.
type ID int

// Definition is an entry of the catalogue.
type Definition struct {
	ID      ID
	Level   Level
	Name    string
	Meaning string // what happened, and what an operator can do about it
}

// Logger writes events. The zero value and nil discard them.
type Logger struct {
	base log.Logger
}

// NewLogger returns a logger that writes to base.
func NewLogger(base log.Logger) *Logger { return &Logger{base: base} }

// With returns a logger that adds the key-value pairs to each event.
func (l *Logger) With(keyvals ...any) *Logger {
	if l == nil || l.base == nil {
		return l
	}
	return &Logger{base: log.With(l.base, keyvals...)}
}

// Log writes the event with the key-value pairs. Values must not contain
// tokens, keys or callers' inputs.
func (l *Logger) Log(id ID, keyvals ...any) {
	if l == nil || l.base == nil {
		return
	}
	def := Lookup(id)
	out := withLevel(l.base, def.Level)
	line := append([]any{"event", int(id), "msg", def.Name}, keyvals...)
	_ = out.Log(line...)
}

func withLevel(base log.Logger, lv Level) log.Logger {
	switch lv {
	case Debug:
		return level.Debug(base)
	case Info:
		return level.Info(base)
	case Warn:
		return level.Warn(base)
	default:
		return level.Error(base)
	}
}
