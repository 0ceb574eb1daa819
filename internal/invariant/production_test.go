package invariant

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

func TestProductionCountsAllAndLogsSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		registry := metrics.NewRegistry()
		check := New(NewProduction(quartz.NewReal(), event.NewLogger(log.NewLogfmtLogger(&out)), registry))
		for range 100 {
			check.Check(false, OwnAnswer, "detail")
		}
		check.Check(false, RunStateCorrect, "other rule")
		time.Sleep(logInterval)
		check.Check(false, OwnAnswer, "detail")
		if got := strings.Count(out.String(), "\n"); got != 3 {
			t.Errorf("%d lines logged, expected 3:\n%s", got, out.String())
		}
		if !strings.Contains(out.String(), "skipped=99") {
			t.Errorf("number of skipped events is not logged: %s", out.String())
		}
		if got := registry.Value(metricViolations); !strings.Contains(got, `"own_answer": 101`) {
			t.Errorf("counted %s", got)
		}
	})
}

func TestProductionWithoutParts(t *testing.T) {
	check := New(NewProduction(nil, nil, nil))
	if check.Check(false, OwnAnswer, "detail") || !check.Check(true, OwnAnswer, "") {
		t.Error("wrong answer")
	}
}
