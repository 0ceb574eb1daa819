package routesync

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Checks that, for any settings of operators, the times add up to no more than the time
// within which a change has to be in force.
func TestTimesAddUp(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("a change is in time", prop.ForAll(func(change, outOfContact int) bool {
		return TimesOf(time.Duration(change)*time.Millisecond, time.Duration(outOfContact)*time.Millisecond).Check() == nil
	}, gen.IntRange(1000, 60_000), gen.IntRange(100, 60_000)))
	properties.TestingRun(t)
	if err := TimesOf(500*time.Millisecond, time.Second).Check(); err == nil {
		t.Error("times accepted that cannot bring a change into force within 0.5 s")
	}
}
