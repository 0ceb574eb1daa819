package targetbase

import (
	"slices"
	"sync"
	"time"
)

// loadSample is the load from a moment on.
type loadSample struct {
	at      time.Time
	running int
	queued  int
	leaving bool
}

// loadHistory remembers the load for as long as reports lag behind it.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex // guards the fields below
	samples []loadSample
	seq     uint64
	meanMS  float64
}

// meanWeight is the weight of the newest run in the mean service time.
const meanWeight = 0.1

func newLoadHistory(lag time.Duration) *loadHistory {
	return &loadHistory{lag: lag, samples: []loadSample{{at: time.Now()}}}
}

func (h *loadHistory) counts(running, queued int) {
	h.change(func(s *loadSample) { s.running, s.queued = running, queued })
}

func (h *loadHistory) leaving(leaving bool) {
	h.change(func(s *loadSample) { s.leaving = leaving })
}

func (h *loadHistory) change(f func(*loadSample)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.samples[len(h.samples)-1]
	next.at = time.Now()
	f(&next)
	h.samples = append(h.samples, next)
	h.trim(next.at)
}

// trim drops the samples that no report can show any more.
func (h *loadHistory) trim(now time.Time) {
	shown := now.Add(-h.lag)
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].at.After(shown) {
		first++
	}
	h.samples = slices.Delete(h.samples, 0, first)
}

// restart forgets all but the leaving state, as a new process counts its
// reports anew.
func (h *loadHistory) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq, h.meanMS = 0, 0
	leaving := h.samples[len(h.samples)-1].leaving
	h.samples = []loadSample{{at: time.Now(), leaving: leaving}}
}

func (h *loadHistory) served(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.meanMS == 0 {
		h.meanMS = ms
		return
	}
	h.meanMS += meanWeight * (ms - h.meanMS)
}

// report returns the load as it was a lag ago, and the moment it was true.
func (h *loadHistory) report() (sample loadSample, seq uint64, meanMS float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.trim(now)
	h.seq++
	sample = h.samples[0]
	sample.at = now.Add(-h.lag)
	return sample, h.seq, h.meanMS
}

// current returns the load as it is.
func (h *loadHistory) current() loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.samples[len(h.samples)-1]
}
