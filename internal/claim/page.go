package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// errInvalid means that an object below claims/ is not one of ours.
var errInvalid = errors.New("claim: invalid object")

// opKind is what an entry records.
type opKind string

const (
	opClaim    opKind = "c"
	opComplete opKind = "d" // done
	opRelease  opKind = "r"
	opLookup   opKind = "?" // reads only; never stored
)

// entry is one record in a window. Entries are only ever appended; the last
// one of a key counts. The names are short since every write carries the
// whole window.
type entry struct {
	ID     keyID           `json:"k"`
	Op     opKind          `json:"o"`
	Token  string          `json:"t"`           // of the attempt that claimed
	Holder string          `json:"h,omitempty"` // instance that claimed
	Body   string          `json:"b,omitempty"` // shortHash of the body
	At     int64           `json:"a"`           // ms since the epoch, by the writer's clock
	Keep   int64           `json:"u"`           // ms since the epoch: not removed before
	Result json.RawMessage `json:"r,omitempty"`
}

// page is the stored form of a window.
type page struct {
	// Sealed says that no entry will be added: the shard goes on in the window
	// with the next number. It never turns false again.
	Sealed  bool    `json:"sealed,omitempty"`
	Entries []entry `json:"entries"`
}

// indexEntry tells of a sealed window without reading it. The names are short
// since an index lists thousands at size.
type indexEntry struct {
	Last int64 `json:"l"` // ms: no claim in it is later
	Keep int64 `json:"k"` // ms: not removed before
}

// index lists the sealed windows of a shard. It may lag behind them; it never
// lists one that is not sealed.
type index struct {
	First   uint64       `json:"first"`   // windows below are removed
	Windows []indexEntry `json:"windows"` // of the numbers from First on
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

// next is the number of the first window that the index does not list.
func (x *index) next() uint64 { return x.First + uint64(len(x.Windows)) }

// encode cannot fail: results were valid JSON before they came here.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("claim: encode: %v", err))
	}
	return value
}

// window is a page in memory, with the last entry of each key.
type window struct {
	number  uint64
	version uint64 // 0: not created yet
	page    page
	last    map[keyID]entry
	size    int // bytes of its stored form
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

// with returns a copy of the window with entries appended.
func (w *window) with(entries []entry, sealed bool) page {
	all := make([]entry, 0, len(w.page.Entries)+len(entries))
	all = append(all, w.page.Entries...)
	return page{Sealed: sealed, Entries: append(all, entries...)}
}

// has reports whether the window holds the entry of an attempt.
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
