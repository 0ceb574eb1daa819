package stagework

import (
	"testing"
	"time"
)

// Symptom: under load as many answers are late as come on time.
// Events: jobs are taken that can just be on time; their calls take a little
// longer than the mean, or something more urgent comes.
// Cause: they were held to be on time, and kept others from it.
func TestAForecastJustInTimeIsLate(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		share float64 // of the time forecast that there is until the aim
		late  bool
	}{{0.9, true}, {1 + margin/2, true}, {1 + 2*margin, false}} {
		p := twoStages(func([]string) {})
		j, refusal := p.submit(stagedJob("r", 3, now), nil, now)
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		needs := p.newForecast(now).end(j)
		p.cancel(j, now)
		in := stagedJob("r", 3, now)
		in.Aim = now.Add(time.Duration(c.share * float64(needs)))
		if j, refusal = p.submit(in, nil, now); refusal != nil || j.late != c.late {
			t.Errorf("with %v of the time forecast: refusal %v, late %v", c.share, refusal, j.late)
		}
	}
}
