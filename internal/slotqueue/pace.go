package slotqueue

import (
	"math"
	"time"
)

const (
	// usualPace is the pace of a target whose service has stated none.
	usualPace = 1.0
	// paceMeanTime is the time constant of the service's mean pace: several times as long
	// as a target stays slow.
	paceMeanTime = 10 * time.Second
	// maxPaceHold is the longest time for which one statement counts in the mean.
	maxPaceHold = time.Second
	// assumedPaceTime is the time constant with which a stated pace loses its value, until
	// it is learned from the statements.
	assumedPaceTime = 300 * time.Millisecond
	// assumedPaceWeight is the weight of that assumption, in squared deviations of the
	// pace: about two slow periods of a busy target outweigh it. With less, the chance of
	// the first period decides.
	assumedPaceWeight = 500.0
	// paceForget is the factor by which a learned lag decays with each of its samples, of
	// which a statement gives up to ten: half a minute of a busy service counts.
	paceForget = 0.99999
	// paceHistory and paceHistorySpacing bound the earlier statements of a target with
	// which a new one is compared: they reach back 1.3 s.
	paceHistory        = 32
	paceHistorySpacing = 40 * time.Millisecond
	// shortestLag is the lag of the first learned value; each further one is twice as long.
	shortestLag = 10 * time.Millisecond
	lagCount    = 8
)

// assumedLeft is, for each lag, the part of a deviation that is assumed to be left.
var assumedLeft = func() (left [lagCount]float64) {
	for i := range left {
		lag := float64(shortestLag) * float64(int(1)<<i)
		left[i] = math.Exp(-lag / float64(assumedPaceTime))
	}
	return left
}()

// statement is a pace that a target stated.
type statement struct {
	pace float64
	at   time.Time
}

// paceModel learns from the paces that the targets of a service state what they are in
// the mean, and which part of a deviation from the mean is left after a while.
type paceModel struct {
	mean   float64 // 0 = none stated
	weight time.Duration
	lags   [lagCount]lagStats
}

// lagStats are decaying sums over pairs of statements of one target.
type lagStats struct{ product, square float64 }

// add adds a statement; earlier are the statements of the same target before it.
func (m *paceModel) add(s statement, earlier []statement) {
	if m.mean == 0 {
		m.mean = s.pace
	}
	if len(earlier) == 0 {
		return
	}
	last := earlier[len(earlier)-1]
	held := min(max(s.at.Sub(last.at), 0), maxPaceHold)
	m.weight = min(m.weight+held, paceMeanTime)
	if m.weight > 0 {
		m.mean += ((last.pace+s.pace)/2 - m.mean) * float64(held) / float64(m.weight)
	}
	for _, e := range earlier {
		l := &m.lags[lagIndex(s.at.Sub(e.at))]
		l.product = l.product*paceForget + (e.pace-m.mean)*(s.pace-m.mean)
		l.square = l.square*paceForget + (e.pace-m.mean)*(e.pace-m.mean)
	}
}

func lagIndex(lag time.Duration) int {
	i := int(math.Round(lagPosition(lag)))
	return min(max(i, 0), lagCount-1)
}

// lagPosition is the lag as a number of doublings of the shortest one.
func lagPosition(lag time.Duration) float64 {
	if lag <= shortestLag {
		return 0
	}
	return math.Log2(float64(lag) / float64(shortestLag))
}

// left returns the part of a deviation from the mean that is left after a time.
func (m *paceModel) left(age time.Duration) float64 {
	x := min(lagPosition(age), lagCount-1)
	i := min(int(x), lagCount-2)
	return m.lag(i) + (m.lag(i+1)-m.lag(i))*(x-float64(i))
}

func (m *paceModel) lag(i int) float64 {
	l := &m.lags[i]
	return min(max((assumedPaceWeight*assumedLeft[i]+l.product)/(assumedPaceWeight+l.square), 0), 1)
}

// meanPace returns the mean of the stated paces.
func (m *paceModel) meanPace() float64 {
	if m.mean == 0 {
		return usualPace
	}
	return m.mean
}

// paceHist holds the latest statements of a target.
type paceHist struct {
	last    statement
	earlier []statement // oldest first, spaced; without last
}

func (h *paceHist) add(m *paceModel, s statement) {
	if h.last.pace > 0 {
		n := len(h.earlier)
		if n > 0 && s.at.Sub(h.earlier[n-1].at) < paceHistorySpacing {
			m.add(s, append(h.earlier[:n:n], h.last))
		} else {
			if n == paceHistory {
				h.earlier = append(h.earlier[:0], h.earlier[1:]...)
			}
			h.earlier = append(h.earlier, h.last)
			m.add(s, h.earlier)
		}
	} else {
		m.add(s, nil)
	}
	h.last = s
}

// over returns the expected pace of the target during work that begins now and takes the
// given time at the usual pace.
func (h *paceHist) over(m *paceModel, work time.Duration, now time.Time) float64 {
	mean := m.meanPace()
	if h.last.pace == 0 {
		return mean
	}
	age := max(now.Sub(h.last.at), 0)
	begin := mean + (h.last.pace-mean)*m.left(age)
	half := time.Duration(float64(work) * begin / 2)
	return mean + (h.last.pace-mean)*m.left(age+half)
}

// age returns the age of the last statement, negative if there is none.
func (h *paceHist) age(now time.Time) time.Duration {
	if h.last.pace == 0 {
		return -time.Millisecond
	}
	return now.Sub(h.last.at)
}
