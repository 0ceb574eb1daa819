package serving

import (
	"sync"

	"lynxhill.example/lynxhill/internal/pipeline"
)

// detachableSink passes frames to a caller until the caller disconnects. A run
// that continues after that must not write to the caller's connection: the HTTP
// server may reuse it by then, and frames of one request would appear in the
// answer to another.
type detachableSink struct {
	mu   sync.Mutex // guards sink, held while the sink is called
	sink pipeline.Sink
}

func newDetachableSink(sink pipeline.Sink) *detachableSink {
	return &detachableSink{sink: sink}
}

// Frame implements pipeline.Sink. It returns no error if the caller has
// disconnected, since the run continues so that its outcome is recorded.
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

// Detach waits for a frame that is being delivered and drops all later ones.
func (d *detachableSink) Detach() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sink = nil
}
