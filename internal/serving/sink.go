package serving

import (
	"sync"

	"lynxhill.example/lynxhill/internal/pipeline"
)

// detachableSink passes frames to a caller until the caller is gone. A run
// that goes on after that must not write to the caller's connection, which the
// HTTP server has taken back by then; the symptom would be frames of one
// request in the answer to another.
type detachableSink struct {
	mu   sync.Mutex // guards sink, held while the sink is called
	sink pipeline.Sink
}

func newDetachableSink(sink pipeline.Sink) *detachableSink {
	return &detachableSink{sink: sink}
}

// Frame implements pipeline.Sink. A caller that is gone is no error: the run
// goes on for the record.
func (d *detachableSink) Frame(offset int, text string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sink == nil {
		return nil
	}
	if err := d.sink.Frame(offset, text); err != nil {
		d.sink = nil
	}
	return nil
}

// StageDone implements pipeline.Sink.
func (d *detachableSink) StageDone(report pipeline.StageReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sink != nil {
		d.sink.StageDone(report)
	}
}

// Detach waits for a frame that is being delivered and lets no further one
// through.
func (d *detachableSink) Detach() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sink = nil
}
