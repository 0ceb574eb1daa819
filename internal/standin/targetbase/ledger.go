package targetbase

import (
	"sync"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// maxRecords bounds the ledger; runs past it are counted only.
const maxRecords = 1 << 20

// Ledger records every run in the order in which the runs began. It outlives
// crashes: it belongs to the experiment, not to the process played.
type Ledger struct {
	target string

	mu       sync.Mutex // guards the fields below
	records  []targetapi.RunRecord
	overflow int
	crossed  int
}

// noRecord is the index of a run that the full ledger didn't take.
const noRecord = -1

func newLedger(target string) *Ledger { return &Ledger{target: target} }

// begin notes that a run starts. What it does outside has happened from here
// on, whether it is cancelled later or not.
func (l *Ledger) begin(req *targetapi.RunRequest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) >= maxRecords {
		l.overflow++
		return noRecord
	}
	l.records = append(l.records, targetapi.RunRecord{
		RequestID:    req.RequestID,
		AttemptID:    req.AttemptID,
		Organisation: req.Organisation,
		Key:          req.Key,
		Stage:        req.Stage,
		Target:       l.target,
	})
	return len(l.records) - 1
}

func (l *Ledger) change(index int, f func(*targetapi.RunRecord)) {
	if index == noRecord {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.records[index])
}

func (l *Ledger) finish(index int) {
	l.change(index, func(r *targetapi.RunRecord) { r.Finished = true })
}

func (l *Ledger) cancel(index int) {
	l.change(index, func(r *targetapi.RunRecord) { r.Cancelled = true })
}

func (l *Ledger) noteCrossed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crossed++
}

func (l *Ledger) list() []targetapi.RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]targetapi.RunRecord{}, l.records...)
}

// lost returns how many runs the full ledger could not take.
func (l *Ledger) lost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overflow
}

func (l *Ledger) crossedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crossed
}
