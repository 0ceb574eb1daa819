package bench

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is the result of one run of a load on one cluster.
type Summary struct {
	Deployment   string             `json:"deployment"`
	Variant      string             `json:"variant"`
	Repetition   int                `json:"repetition"`
	Requests     int                `json:"requests"`
	Whole        int                `json:"whole"`
	Attained     int                `json:"attained"`
	Attainment   float64            `json:"attainment"`
	LatencyP50   float64            `json:"latency_p50_ms"`
	LatencyP95   float64            `json:"latency_p95_ms"`
	LatencyP99   float64            `json:"latency_p99_ms"`
	FirstP95     float64            `json:"first_token_p95_ms"`
	BetweenP95   float64            `json:"between_tokens_p95_ms"`
	Cost         float64            `json:"cost"`
	CostPerWhole float64            `json:"cost_per_whole"`
	Wasted       float64            `json:"wasted"`
	Stages       []StageSummary     `json:"stages"`
	Profiles     []ProfileSummary   `json:"profiles"`
	Errors       map[string]int     `json:"errors,omitempty"`
	Resends      int                `json:"resends"` // by callers
	Retries      int                `json:"retries"` // by lynxhill, hedges and resumes not counted
	Hedges       int                `json:"hedges"`
	Resumes      int                `json:"resumes"`
	Breaches     Breaches           `json:"breaches"`
	Control      map[string]float64 `json:"control,omitempty"`
}

// StageSummary is the cost of a stage at a provider.
type StageSummary struct {
	Profile  string  `json:"profile"`
	Stage    string  `json:"stage"`
	Provider string  `json:"provider"`
	Calls    int     `json:"calls"`
	Cost     float64 `json:"cost"`
	Wasted   float64 `json:"wasted"`
	MeanMS   float64 `json:"mean_ms"`
}

// ProfileSummary is the attainment of a profile.
type ProfileSummary struct {
	Profile    string  `json:"profile"`
	Requests   int     `json:"requests"`
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	LatencyP95 float64 `json:"latency_p95_ms"`
}

// Histograms hold microseconds, to three digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// summarise sums records up. Requests that crash targets count in the
// promises, not in attainment.
func summarise(records []Record) Summary {
	s := Summary{Errors: make(map[string]int)}
	latency, first, between := newHistogram(), newHistogram(), newHistogram()
	for i := range records {
		r := &records[i]
		if r.Poison {
			continue
		}
		s.Requests++
		s.count(r)
		record(latency, r.Latency)
		if r.FirstToken > 0 {
			record(first, r.FirstToken)
		}
		for _, gap := range r.Gaps {
			record(between, gap)
		}
	}
	s.Attainment = share(s.Attained, s.Requests)
	s.LatencyP50, s.LatencyP95, s.LatencyP99 = millis(latency, 50), millis(latency, 95), millis(latency, 99)
	s.FirstP95, s.BetweenP95 = millis(first, 95), millis(between, 95)
	s.Stages = stageSummaries(records)
	s.Profiles = profileSummaries(records)
	for _, stage := range s.Stages {
		s.Cost += stage.Cost
		s.Wasted += stage.Wasted
	}
	if s.Whole > 0 {
		s.CostPerWhole = s.Cost / float64(s.Whole)
	}
	return s
}

func (s *Summary) count(r *Record) {
	if r.Whole() {
		s.Whole++
	}
	if r.Attained() {
		s.Attained++
	}
	if r.Err != nil {
		s.Errors[kindOf(r.Err)]++
	}
	s.Resends += max(0, r.Attempts-1)
	for _, stage := range r.Reply.Stages {
		s.Hedges += stage.Hedges
		s.Resumes += stage.Resumes
		s.Retries += max(0, stage.Attempts-1-stage.Hedges-stage.Resumes)
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func stageSummaries(records []Record) []StageSummary {
	type key struct{ profile, stage, provider string }
	rows := make(map[key]*StageSummary)
	for i := range records {
		for _, st := range records[i].Reply.Stages {
			k := key{records[i].Profile, st.Stage, st.Provider}
			row := rows[k]
			if row == nil {
				row = &StageSummary{Profile: k.profile, Stage: k.stage, Provider: k.provider}
				rows[k] = row
			}
			row.Calls++
			row.Cost += st.Cost
			row.Wasted += st.Wasted
			row.MeanMS += (st.DurationMS - row.MeanMS) / float64(row.Calls)
		}
	}
	list := make([]StageSummary, 0, len(rows))
	for _, row := range rows {
		list = append(list, *row)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Profile != b.Profile {
			return a.Profile < b.Profile
		}
		if a.Stage != b.Stage {
			return a.Stage < b.Stage
		}
		return a.Provider < b.Provider
	})
	return list
}

func profileSummaries(records []Record) []ProfileSummary {
	rows := make(map[string]*ProfileSummary)
	latencies := make(map[string]*hdrhistogram.Histogram)
	for i := range records {
		r := &records[i]
		if r.Poison {
			continue
		}
		if rows[r.Profile] == nil {
			rows[r.Profile] = &ProfileSummary{Profile: r.Profile}
			latencies[r.Profile] = newHistogram()
		}
		rows[r.Profile].Requests++
		if r.Attained() {
			rows[r.Profile].Attained++
		}
		record(latencies[r.Profile], r.Latency)
	}
	var list []ProfileSummary
	for name, row := range rows {
		row.Attainment = share(row.Attained, row.Requests)
		row.LatencyP95 = millis(latencies[name], 95)
		list = append(list, *row)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Profile < list[j].Profile })
	return list
}
