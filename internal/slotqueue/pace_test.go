package slotqueue

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a pace that is trusted longer than it holds, or forgotten sooner: what is
// left of a statement is learned from how fast the paces change.
func TestValueOfAStatedPaceByItsAge(t *testing.T) {
	for _, c := range []struct {
		name         string
		period       time.Duration
		age          time.Duration
		least, most  float64
		oldAge       time.Duration
		mostWhenAged float64
	}{
		{"for 50 ms", 50 * time.Millisecond, 10 * time.Millisecond, 0.5, 0.95, 160 * time.Millisecond, 0.2},
		{"for 600 ms", 600 * time.Millisecond, 40 * time.Millisecond, 0.8, 1, 1280 * time.Millisecond, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var m paceModel
			var h paceHist
			now, value, until := time.Unix(0, 0), 1.0, time.Unix(0, 0)
			for range 6000 {
				now = now.Add(time.Duration(random.IntN(20)+1) * time.Millisecond)
				for !now.Before(until) {
					until = until.Add(c.period)
					value = 1
					if random.IntN(7) == 0 {
						value = 2.5
					}
				}
				h.add(&m, statement{value, now})
			}
			if math.Abs(m.meanPace()-8.5/7) > 0.25 {
				t.Errorf("mean %.2f, want %.2f", m.meanPace(), 8.5/7)
			}
			if left := m.left(c.age); left < c.least || left > c.most {
				t.Errorf("%.2f left after %v, want %v to %v", left, c.age, c.least, c.most)
			}
			if left := m.left(c.oldAge); left > c.mostWhenAged {
				t.Errorf("%.2f left after %v, want at most %v", left, c.oldAge, c.mostWhenAged)
			}
		})
	}
}

// Guards against an idle target that once stated a slow pace and never gets work again.
func TestPaceMovesToTheMean(t *testing.T) {
	m := paceModel{mean: 1.2}
	h := paceHist{last: statement{2.5, time.Unix(0, 0)}}
	before := math.Inf(1)
	for _, age := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		p := h.over(&m, fakeWork, time.Unix(0, 0).Add(age))
		if p > before {
			t.Errorf("pace %.2f at %v, more than before", p, age)
		}
		before = p
	}
	if before > 1.3 {
		t.Errorf("pace %.2f after 2 s, want about the mean of 1.2", before)
	}
}

// Guards against work that counts as long because its target was slow.
func TestTypicalWorkByRoute(t *testing.T) {
	var m workModel
	for range 200 {
		m.add("short", 40*time.Millisecond, 2)
		m.add("long", 80*time.Millisecond, 1)
	}
	for route, want := range map[string]time.Duration{"short": 20 * time.Millisecond, "long": 80 * time.Millisecond, "new": 50 * time.Millisecond} {
		if got := m.typical(route); (got - want).Abs() > 2*time.Millisecond {
			t.Errorf("%s: %v, want %v", route, got, want)
		}
	}
}
