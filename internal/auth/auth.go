// Package auth checks the bearer tokens of callers and operators. Tokens are
// held as SHA-256 hashes, compared in constant time and never logged. A caller
// token is bound to one organisation, an operator token to a name and a role.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/filewatch"
)

const bearer = "Bearer "

// Options of a Verifier.
type Options struct {
	Tokens    Tokens        // from the settings
	File      string        // token file whose entries are added; "" for none
	PollEvery time.Duration // how often the file is looked at; 0 = 2 s
	Clock     clock.Clock   // nil = real time
	Logger    *event.Logger
}

// Verifier knows the tokens. It is safe for concurrent use.
type Verifier struct {
	opts Options

	mu   sync.RWMutex // guards sets and seen
	sets sets
	seen filewatch.State
}

// New returns a verifier, or an error if a token or the file is unusable.
func New(opts Options) (*Verifier, error) {
	v := &Verifier{opts: opts}
	return v, v.Reload()
}

// Operator is who uses the admin API.
type Operator struct {
	Name string
	Role Role
}

// Caller returns the organisation of the token in an Authorization header, or
// an error of kind Unauthenticated.
func (v *Verifier) Caller(header string) (organisation string, err error) {
	token, err := fromHeader(header)
	if err != nil {
		return "", err
	}
	v.mu.RLock()
	callers := v.sets.callers
	v.mu.RUnlock()
	entry, found := callers.find(sha256.Sum256([]byte(token)))
	if !found {
		return "", unknownToken()
	}
	return entry.Organisation, nil
}

// Operator returns who holds the token in an Authorization header, or an error
// of kind Unauthenticated.
func (v *Verifier) Operator(header string) (Operator, error) {
	token, err := fromHeader(header)
	if err != nil {
		return Operator{}, err
	}
	v.mu.RLock()
	operators := v.sets.operators
	v.mu.RUnlock()
	entry, found := operators.find(sha256.Sum256([]byte(token)))
	if !found {
		return Operator{}, unknownToken()
	}
	return Operator{Name: entry.Name, Role: entry.Role}, nil
}

func fromHeader(header string) (string, error) {
	if len(header) <= len(bearer) || !strings.EqualFold(header[:len(bearer)], bearer) {
		return "", errkind.New(errkind.Unauthenticated, "the header Authorization must be \"Bearer TOKEN\"")
	}
	return header[len(bearer):], nil
}

func unknownToken() error {
	return errkind.New(errkind.Unauthenticated, "the token is not known here")
}

// Reload reads the token file again. On an error the tokens stay as they were,
// so that a half-written file locks nobody out.
func (v *Verifier) Reload() error {
	all := v.opts.Tokens
	state := v.files().State()
	if v.opts.File != "" {
		fromFile, err := ReadFile(v.opts.File)
		if err != nil {
			return err
		}
		all.Caller = append(append([]CallerToken(nil), all.Caller...), fromFile.Caller...)
		all.Operator = append(append([]OperatorToken(nil), all.Operator...), fromFile.Operator...)
	}
	if err := all.Validate(); err != nil {
		return err
	}
	fresh := newSets(all)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sets, v.seen = fresh, state
	return nil
}

// Run reads the token file again whenever it changes, until ctx ends.
func (v *Verifier) Run(ctx context.Context) {
	filewatch.Watch{
		Files: v.files(), Every: v.opts.PollEvery, Clock: v.opts.Clock,
		Used: v.used, Reload: v.Reload, Done: v.reloaded,
	}.Run(ctx)
}

func (v *Verifier) files() filewatch.Files { return filewatch.Files{v.opts.File} }

func (v *Verifier) used() filewatch.State {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.seen
}

func (v *Verifier) reloaded(err error) {
	if err != nil {
		v.opts.Logger.Log(event.TokensUnusable, "file", v.opts.File, "error", err)
		return
	}
	v.opts.Logger.Log(event.TokensReloaded, "file", v.opts.File)
}

// sets holds the tokens by kind.
type sets struct {
	callers   table[CallerToken]
	operators table[OperatorToken]
}

func newSets(t Tokens) sets {
	s := sets{callers: table[CallerToken]{}, operators: table[OperatorToken]{}}
	for _, c := range t.Caller {
		s.callers.add(c.Hash, c)
	}
	for _, o := range t.Operator {
		s.operators.add(o.Hash, o)
	}
	return s
}

// table holds entries by the first two bytes of the token's hash. Within such
// a group all entries are compared, each in constant time. The time taken
// tells at most how full a group is, which says nothing of a token, since
// nobody can aim a token at a hash; and 19,000 organisations cost no more than
// a few comparisons a request.
type table[E any] map[[2]byte][]row[E]

type row[E any] struct {
	hash  digest
	entry E
}

func (t table[E]) add(hash string, entry E) {
	d, err := parseHash(hash)
	if err != nil {
		return // Validate refused it before
	}
	group := [2]byte(d[:2])
	t[group] = append(t[group], row[E]{hash: d, entry: entry})
}

func (t table[E]) find(d digest) (entry E, found bool) {
	for _, r := range t[[2]byte(d[:2])] {
		if subtle.ConstantTimeCompare(r.hash[:], d[:]) == 1 {
			entry, found = r.entry, true
		}
	}
	return entry, found
}
