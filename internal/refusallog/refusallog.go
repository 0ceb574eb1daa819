// Package refusallog counts recent refusals by what they were and whose they were, with a
// bound on its memory. It performs no I/O; times are arguments.
package refusallog

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Window is the time over which refusals are counted.
	Window = 10 * time.Second
	// MaxRows bounds the kinds of refusals that are told apart. The others of a rule count
	// under Others.
	MaxRows = 256
	// Others stands for the organisations and routes beyond MaxRows.
	Others = "(others)"

	// bucketTime is the resolution of the window.
	bucketTime = time.Second
	buckets    = int(Window / bucketTime)
)

// Key tells kinds of refusals apart.
type Key struct {
	Service, Organisation, Route, Rule string
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Service, o.Service), cmp.Compare(k.Organisation, o.Organisation),
		cmp.Compare(k.Route, o.Route), cmp.Compare(k.Rule, o.Rule))
}

// Row is the refusals of a kind.
type Row struct {
	Key
	Count int       // in the last Window
	Last  time.Time // time of the latest
	Until time.Time // latest time at which one of them was told to come back
}

// Log counts refusals. The zero value is ready to use. It is not safe for concurrent use.
type Log struct {
	rows map[Key]*row
}

type row struct {
	counts      [buckets]int // by the second, modulo their number
	newest      int64        // second of the newest bucket
	last, until time.Time
}

// Add counts a refusal whose caller was told to come back at until.
func (l *Log) Add(k Key, now, until time.Time) {
	if l.rows == nil {
		l.rows = make(map[Key]*row)
	}
	r := l.rows[k]
	if r == nil && len(l.rows) >= MaxRows {
		l.expire(now)
		if len(l.rows) >= MaxRows {
			k.Organisation, k.Route = Others, Others
			r = l.rows[k]
		}
	}
	if r == nil {
		r = &row{}
		l.rows[k] = r
	}
	r.advance(now)
	r.counts[int(r.newest%int64(buckets))]++
	r.last = now
	if until.After(r.until) {
		r.until = until
	}
}

// advance empties the buckets that have left the window.
func (r *row) advance(now time.Time) {
	second := now.UnixNano() / int64(bucketTime)
	for n := max(r.newest+1, second-int64(buckets)+1); n <= second; n++ {
		r.counts[int(n%int64(buckets))] = 0
	}
	r.newest = max(r.newest, second)
}

func (r *row) count() (n int) {
	for _, c := range r.counts {
		n += c
	}
	return n
}

// expire forgets rows without a refusal in the window whose callers are all due.
func (l *Log) expire(now time.Time) {
	for k, r := range l.rows {
		r.advance(now)
		if r.count() == 0 && !r.until.After(now) {
			delete(l.rows, k)
		}
	}
}

// Rows returns the refusals of the window, and those whose callers are not due yet, by key.
func (l *Log) Rows(now time.Time) []Row {
	l.expire(now)
	list := make([]Row, 0, len(l.rows))
	for k, r := range l.rows {
		list = append(list, Row{Key: k, Count: r.count(), Last: r.last, Until: r.until})
	}
	slices.SortFunc(list, func(a, b Row) int { return a.compare(b.Key) })
	return list
}
