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
	PollEvery time.Duration // how often the file is checked for changes; 0 = 2 s
	Clock     clock.Clock   // nil = real time
	Logger    *event.Logger
}

// Verifier holds the tokens and checks headers against them. It is safe for
// concurrent use.
type Verifier struct {
	opts Options

	mu          sync.RWMutex // guards tables and loadedState
	tables      tokenTables
	loadedState filewatch.State
}

// New returns a verifier, or an error if a token is invalid or the file cannot be
// used.
func New(opts Options) (*Verifier, error) {
	v := &Verifier{opts: opts}
	return v, v.Reload()
}

// Operator is a user of the admin API.
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
	callers := v.tables.callers
	v.mu.RUnlock()
	entry, found := callers.find(sha256.Sum256([]byte(token)))
	if !found {
		return "", unknownToken()
	}
	return entry.Organisation, nil
}

// Operator returns the holder of the token in an Authorization header, or an error of
// kind Unauthenticated.
func (v *Verifier) Operator(header string) (Operator, error) {
	token, err := fromHeader(header)
	if err != nil {
		return Operator{}, err
	}
	v.mu.RLock()
	operators := v.tables.operators
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

// Reload reads the token file again. On an error the current tokens stay in use, so
// that a partly written file does not lock users out.
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
	fresh := newTokenTables(all)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tables, v.loadedState = fresh, state
	return nil
}

// Run reads the token file again whenever it changes, until ctx ends.
func (v *Verifier) Run(ctx context.Context) {
	filewatch.Watch{
		Files: v.files(), Interval: v.opts.PollEvery, Clock: v.opts.Clock,
		LoadedState: v.used, Reload: v.Reload, OnReload: v.reloaded,
	}.Run(ctx)
}

func (v *Verifier) files() filewatch.Files { return filewatch.Files{v.opts.File} }

func (v *Verifier) used() filewatch.State {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.loadedState
}

func (v *Verifier) reloaded(err error) {
	if err != nil {
		v.opts.Logger.Log(event.TokensUnusable, "file", v.opts.File, "error", err)
		return
	}
	v.opts.Logger.Log(event.TokensReloaded, "file", v.opts.File)
}

// tokenTables holds the tokens by kind.
type tokenTables struct {
	callers   hashTable[CallerToken]
	operators hashTable[OperatorToken]
}

func newTokenTables(t Tokens) tokenTables {
	s := tokenTables{callers: hashTable[CallerToken]{}, operators: hashTable[OperatorToken]{}}
	for _, c := range t.Caller {
		s.callers.add(c.Hash, c)
	}
	for _, o := range t.Operator {
		s.operators.add(o.Hash, o)
	}
	return s
}

// hashTable holds entries grouped by the first two bytes of the token's hash. A lookup
// compares all entries of one group, each in constant time. Its duration reveals at
// most the size of a group, which tells nothing about a token, since it is not
// feasible to choose a token for a given hash. With 19,000 organisations a request
// costs only a few comparisons.
type hashTable[E any] map[[2]byte][]hashEntry[E]

type hashEntry[E any] struct {
	hash  digest
	entry E
}

func (t hashTable[E]) add(hash string, entry E) {
	d, err := parseHash(hash)
	if err != nil {
		return // Validate has refused it before
	}
	group := [2]byte(d[:2])
	t[group] = append(t[group], hashEntry[E]{hash: d, entry: entry})
}

func (t hashTable[E]) find(d digest) (entry E, found bool) {
	for _, r := range t[[2]byte(d[:2])] {
		if subtle.ConstantTimeCompare(r.hash[:], d[:]) == 1 {
			entry, found = r.entry, true
		}
	}
	return entry, found
}
