package stagework

import (
	"testing"
	"time"
)

// TestAForecastJustInTimeIsLate guards against accepting jobs as on time that
// are forecast to end just in time. They are late as soon as a call takes
// longer than average or a more urgent job arrives, and they keep other jobs
// from being on time.
func TestAForecastJustInTimeIsLate(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		share float64 // time until the on-time limit, relative to the forecast
		late  bool
	}{{0.9, true}, {1 + forecastMargin/2, true}, {1 + 2*forecastMargin, false}} {
		p := twoStages(func([]string) {})
		j, refusal := p.submit(stagedJob("r", 3, now), nil, now)
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		needs := p.newForecast(now).end(j)
		p.cancel(j, now)
		in := stagedJob("r", 3, now)
		in.OnTimeUntil = now.Add(time.Duration(c.share * float64(needs)))
		if j, refusal = p.submit(in, nil, now); refusal != nil || j.late != c.late {
			t.Errorf("with %v of the forecast time: refusal %v, late %v", c.share, refusal, j.late)
		}
	}
}
