package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/standin/fleet"
)

// Mix is the share of a profile in the load.
type Mix struct {
	Profile string  `toml:"profile" json:"profile"`
	Weight  float64 `toml:"weight" json:"weight"`
}

// defaultMix is what each deployment's services send.
var defaultMix = map[string][]Mix{
	fleet.MediaPlace: {
		{"creative-check", 4}, {"insertion-order-read", 2}, {"trafficking-note", 1}, {"booking", 3},
	},
	fleet.Kilimanjaro: {
		{"tuning-report", 1}, {"curve-explain", 2}, {"dealer-answer", 3}, {"listener-profile", 3}, {"curve-write", 2},
	},
}

// Lengths are those of the generated requests. What is 0 has its default.
type Lengths struct {
	InputWords  float64 // median of the input's length, which is log-normal
	InputSigma  float64 // of the logarithm of that length
	Prefixes    int     // shared prompt prefixes; a few are common
	PrefixWords int     // of each prefix; the caller API takes up to a kilobyte
}

// Constants of the generated inputs.
const (
	defaultPrefixes    = 24
	defaultPrefixWords = 180
	zipfExponent       = 1.2
	defaultInputWords  = 40
	defaultInputSigma  = 0.7
	maxInputWords      = 2000
)

func (l Lengths) withDefaults() Lengths {
	defaults.Positive(&l.InputWords, defaultInputWords)
	defaults.Positive(&l.InputSigma, defaultInputSigma)
	defaults.Positive(&l.Prefixes, defaultPrefixes)
	defaults.Positive(&l.PrefixWords, defaultPrefixWords)
	return l
}

// item is one request to send.
type item struct {
	profile      profile.Profile
	organisation string
	zone         string
	prefix       string
	input        json.RawMessage
	marker       bool // the input makes the targets that run it crash
}

// crashMarker in an input makes a target crash that has been told to.
const crashMarker = "crash-the-target"

// workload draws requests from a seed: the same seed, the same requests.
type workload struct {
	rng           *rand.Rand
	zipf          *rand.Zipf
	mix           []Mix
	profiles      map[string]profile.Profile
	organisations []string
	weights       []float64
	zones         []string
	run           string // makes inputs of different runs differ
	lengths       Lengths
	count         int
}

func newWorkload(c System, list []profile.Profile, opts LoadOptions, rng *rand.Rand) (*workload, error) {
	mix := opts.Mix
	lengths := opts.Lengths.withDefaults()
	if len(mix) == 0 {
		mix = defaultMix[c.Deployment()]
	}
	w := &workload{
		rng: rng, mix: mix, run: opts.Run, lengths: lengths, profiles: make(map[string]profile.Profile),
		organisations: fleet.Organisations(c.Deployment()), weights: fleet.OrganisationWeights(c.Deployment()),
		zones: c.Zones(),
		zipf:  rand.NewZipf(rng, zipfExponent, 1, uint64(lengths.Prefixes-1)),
	}
	for _, p := range list {
		w.profiles[p.Name] = p
	}
	for _, m := range mix {
		if _, ok := w.profiles[m.Profile]; !ok {
			return nil, fmt.Errorf("mix: %s has no profile %q", c.Deployment(), m.Profile)
		}
	}
	return w, nil
}

// next draws a request.
func (w *workload) next() item {
	w.count++
	prefix := int(w.zipf.Uint64())
	it := item{
		profile:      w.profiles[w.mix[pick(w.rng, mixWeights(w.mix))].Profile],
		organisation: w.organisations[pick(w.rng, w.weights)],
		zone:         w.zones[w.rng.IntN(len(w.zones))],
		prefix:       prefixText(prefix, w.lengths.PrefixWords),
	}
	it.input = w.input("")
	return it
}

// poison draws a request that crashes the targets that run it.
func (w *workload) poison() item {
	it := w.next()
	it.marker = true
	it.input = w.input(crashMarker)
	return it
}

func (w *workload) input(marker string) json.RawMessage {
	words := int(math.Exp(math.Log(w.lengths.InputWords) + w.lengths.InputSigma*w.rng.NormFloat64()))
	words = min(max(words, 1), maxInputWords)
	text, _ := json.Marshal(requestInput{Run: w.run, Number: w.count, Marker: marker, Text: strings.Repeat("word ", words)})
	return text
}

// requestInput is the caller's input in a load.
type requestInput struct {
	Run    string `json:"run"`
	Number int    `json:"number"`
	Marker string `json:"marker,omitempty"`
	Text   string `json:"text"`
}

func prefixText(n, words int) string {
	return fmt.Sprintf("prefix-%d ", n) + strings.Repeat("rule ", words)
}

func mixWeights(mix []Mix) []float64 {
	weights := make([]float64, len(mix))
	for i, m := range mix {
		weights[i] = m.Weight
	}
	return weights
}

// pick draws an index with the weights.
func pick(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at := rng.Float64() * total
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
