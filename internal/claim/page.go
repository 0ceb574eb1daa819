package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// errInvalid means that an object under claims/, or a ticket or key identifier,
// is malformed.
var errInvalid = errors.New("claim: invalid object")

// opKind is the kind of an op and of the entry that records it.
type opKind string

const (
	opClaim    opKind = "c"
	opComplete opKind = "d"
	opRelease  opKind = "r"
	opLookup   opKind = "?" // reads only, never stored
)

// entry is one record in a window. Entries are append-only, and the last entry
// of a key determines its state. The JSON names are short because every write
// contains the whole window.
type entry struct {
	ID     keyID           `json:"k"`
	Op     opKind          `json:"o"`
	Token  string          `json:"t"`           // identifies the attempt that claimed the key
	Holder string          `json:"h,omitempty"` // instance that claimed the key
	Body   string          `json:"b,omitempty"` // shortHash of the body
	At     int64           `json:"a"`           // ms since the epoch, by the clock of the instance that created the entry
	Keep   int64           `json:"u"`           // ms since the epoch; the entry is retained until then
	Result json.RawMessage `json:"r,omitempty"`
}

// page is the stored form of a window.
type page struct {
	// Sealed means that no more entries are appended to this window; the shard
	// continues in the window with the next number. A sealed window is never
	// unsealed.
	Sealed  bool    `json:"sealed,omitempty"`
	Entries []entry `json:"entries"`
}

// indexEntry summarises a sealed window so that it need not be read. The JSON
// names are short because the index of a large deployment lists thousands of
// windows.
type indexEntry struct {
	Last int64 `json:"l"` // ms since the epoch of the latest entry
	Keep int64 `json:"k"` // ms since the epoch; the window is retained until then
}

// index lists the sealed windows of a shard. Recently sealed windows may be
// missing from it; it never lists a window that is not sealed.
type index struct {
	First   uint64       `json:"first"`   // number of the first listed window; lower ones have been removed
	Windows []indexEntry `json:"windows"` // consecutive numbers from First on
}

const (
	keyPrefix   = "claims/"
	firstWindow = 1
)

func indexKey(shard int) string { return fmt.Sprintf("%s%04d/index", keyPrefix, shard) }

func windowPrefix(shard int) string { return fmt.Sprintf("%s%04d/w/", keyPrefix, shard) }

func windowKey(shard int, number uint64) string {
	return fmt.Sprintf("%s%016x", windowPrefix(shard), number)
}

func decodePage(value []byte) (page, error) {
	var p page
	if err := json.Unmarshal(value, &p); err != nil {
		return page{}, fmt.Errorf("%w: %w", errInvalid, err)
	}
	for _, e := range p.Entries {
		if e.Token == "" || (e.Op != opClaim && e.Op != opComplete && e.Op != opRelease) {
			return page{}, fmt.Errorf("%w: entry of kind %q", errInvalid, e.Op)
		}
	}
	return p, nil
}

func decodeIndex(value []byte) (index, error) {
	var x index
	if err := json.Unmarshal(value, &x); err != nil {
		return index{}, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if x.First < firstWindow || x.next() < x.First {
		return index{}, fmt.Errorf("%w: index starts at %d", errInvalid, x.First)
	}
	return x, nil
}

// next returns the number of the first window after those that the index lists.
func (x *index) next() uint64 { return x.First + uint64(len(x.Windows)) }

// encode marshals a stored value. It panics on an error, which cannot occur: the
// results in entries have been checked to be valid JSON.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("claim: encode: %v", err))
	}
	return value
}

// window is a decoded page with its number, its version in the store, and the
// last entry of each key.
type window struct {
	number  uint64
	version uint64 // 0 if it has not been created yet
	page    page
	last    map[keyID]entry
	size    int // size of the stored form in bytes
}

func emptyWindow(number uint64) *window {
	return &window{number: number, last: make(map[keyID]entry)}
}

func windowOf(number, version uint64, value []byte) (*window, error) {
	p, err := decodePage(value)
	if err != nil {
		return nil, err
	}
	return newWindow(number, version, p, len(value)), nil
}

func newWindow(number, version uint64, p page, size int) *window {
	w := &window{number: number, version: version, page: p, last: make(map[keyID]entry, len(p.Entries)), size: size}
	for _, e := range p.Entries {
		w.last[e.ID] = e
	}
	return w
}

// with returns a copy of the window's page with the entries appended.
func (w *window) with(entries []entry, sealed bool) page {
	all := make([]entry, 0, len(w.page.Entries)+len(entries))
	all = append(all, w.page.Entries...)
	return page{Sealed: sealed, Entries: append(all, entries...)}
}

// has reports whether the window contains an entry of the given kind for the
// attempt with the token.
func (w *window) has(op opKind, token string) bool {
	for _, e := range w.page.Entries {
		if e.Token == token && e.Op == op {
			return true
		}
	}
	return false
}

func (w *window) indexEntry() indexEntry {
	var x indexEntry
	for _, e := range w.page.Entries {
		x.Last = max(x.Last, e.At)
		x.Keep = max(x.Keep, e.Keep)
	}
	return x
}

func millis(t time.Time) int64 { return t.UnixMilli() }
