package edge

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/streamorigin"
)

const (
	originWindow = 8 * time.Second
	firstBuild   = "" // of the target that is listed from the start
	// streamsPerSecond is what each instance begins at the size to design for.
	streamsPerSecond = 10
)

// begunStream is a stream with the instance that began it.
type begunStream struct {
	streamorigin.Query
	streamorigin.Origin
	at *member
}

// beginStreams has each instance begin streams for the time, at builds by turns.
func (f *testFleet) beginStreams(seconds int, builds ...string) (streams []begunStream) {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(len(f.all))))
	for n := range seconds * streamsPerSecond {
		for _, m := range f.all {
			s := begunStream{
				Query:  streamorigin.Query{Key: streamorigin.Key{Organisation: "o", Attempt: fmt.Sprintf("%016x", random.Uint64())}, Window: originWindow},
				Origin: streamorigin.Origin{Service: "s", Build: builds[n%len(builds)]}, at: m,
			}
			m.origins.Begin(s.Query, s.Origin, 20*time.Second)
			streams = append(streams, s)
		}
		time.Sleep(time.Second / streamsPerSecond)
	}
	return streams
}

// takeUp takes up to 300 of the streams up at instances chosen at random and returns the
// share that goes on. One that goes on elsewhere than it began is an error.
func (f *testFleet) takeUp(streams []begunStream, at []*member) (share float64, tries int) {
	random := rand.New(rand.NewPCG(6, uint64(len(f.all))))
	random.Shuffle(len(streams), func(a, b int) { streams[a], streams[b] = streams[b], streams[a] })
	streams = streams[:min(len(streams), 300)]
	found := 0
	for _, s := range streams {
		m := at[random.IntN(len(at))]
		finding, err := m.origins.Find(f.t.Context(), s.Query)
		if err == nil && finding.Origin != s.Origin {
			f.t.Errorf("%s: a stream of %+v goes on at %+v", m.id(), s.Origin, finding.Origin)
		}
		if err == nil {
			found++
		}
	}
	return float64(found) / float64(max(len(streams), 1)), len(streams)
}

// storeCalls returns the number of calls that told other instances of origins.
func (f *testFleet) storeCalls() (calls int64) {
	n := slices.IndexFunc(metrics.All(), func(d metrics.Definition) bool { return d.Name == "peer_calls" })
	for _, m := range f.all {
		m.metrics.Labelled(metrics.All()[n]).Do(func(v expvar.KeyValue) {
			if v.Key == "store_origins_ok" || v.Key == "store_origins_failed" {
				calls += v.Value.(*expvar.Int).Value()
			}
		})
	}
	return calls
}

// killFirst cuts the power of the first instances.
func (f *testFleet) killFirst(count int) (killed []*member) {
	killed = f.all[:count]
	for _, m := range killed {
		m.socket.losePower()
	}
	f.dead, f.all = append(f.dead, killed...), f.all[count:]
	return killed
}

// stopAndStart stops an instance gracefully and starts it again.
func (f *testFleet) stopAndStart(i, number int) {
	old := f.all[i]
	old.kill()
	if err := <-old.ended; err != nil {
		f.t.Error(err)
	}
	old.socket.injectFault(&old.socket.poweredOff)
	f.all[i] = f.start(number)
}

// measureSeconds is how long each phase of a measurement takes.
const measureSeconds = 5

// measureOrigins does something that takes measureSeconds and returns the bytes a second
// that an instance sends and receives meanwhile, and the calls that tell of origins.
func (f *testFleet) measureOrigins(what string, do func()) (bytes float64, calls int64) {
	callsBefore, bytesBefore := f.storeCalls(), f.net.bytes.Load()
	do()
	bytes = float64(f.net.bytes.Load()-bytesBefore) / float64(measureSeconds*len(f.all))
	calls = f.storeCalls() - callsBefore
	f.t.Logf("%d instances, %s: %d calls for records, %.0f B/s an instance in all", len(f.all), what, calls, bytes)
	return bytes, calls
}

// begunAt returns those of the streams that began at one of the instances.
func begunAt(streams []begunStream, at []*member) []begunStream {
	return slices.DeleteFunc(slices.Clone(streams), func(s begunStream) bool { return !slices.Contains(at, s.at) })
}

// wantTakenUp demands that most of the streams go on at the instances.
func (f *testFleet) wantTakenUp(when string, streams []begunStream, at []*member) {
	f.t.Helper()
	if share, tries := f.takeUp(streams, at); share < 0.9 {
		f.t.Errorf("%d instances, %s: %.3f of %d go on", len(f.all), when, share, tries)
	}
}

// Guards against messages for each stream on calm days, against more than a few small ones
// while two software versions serve, and against streams that can't go on after kills, in a
// split and in a rolling restart, in one history.
func TestStreamOriginsAtSize(t *testing.T) {
	for _, n := range fleetSizes() {
		runFleetWithBounds(t, n, false, boundsAt(n), func(f *testFleet) {
			time.Sleep(14*time.Second + originWindow)
			idle, _ := f.measureOrigins("idle", func() { time.Sleep(measureSeconds * time.Second) })
			calm, calls := f.measureOrigins("one build", func() { f.beginStreams(measureSeconds, firstBuild) })
			if calls > 0 || calm > 1.2*idle+100 {
				t.Errorf("%d instances, one build: %d calls, %.0f B/s, %.0f when idle", n, calls, calm, idle)
			}
			f.put("targets/v2", "10.0.0.2:1@z@v2")
			time.Sleep(time.Second)
			var streams []begunStream
			mixed, calls := f.measureOrigins("two builds", func() { streams = f.beginStreams(measureSeconds, firstBuild, "v2") })
			if most := int64(2*streamsPerSecond*measureSeconds*n) * 11 / 10; calls > most || mixed-idle > 16<<10 {
				t.Errorf("%d instances, two builds: %d calls, %d at most, %.0f B/s more than when idle", n, calls, most, mixed-idle)
			}
			killed := max(n/8, 1)
			f.wantTakenUp("just after kills", begunAt(streams, f.killFirst(killed)), f.all)

			f.partition(func(i int) int { return i % 2 })
			streams = f.beginStreams(1, firstBuild, "v2")
			time.Sleep(time.Second)
			var side []*member
			for i := 0; i < len(f.all); i += 2 {
				side = append(side, f.all[i])
			}
			f.wantTakenUp("on a side of a split", begunAt(streams, side), side)

			f.partition(func(int) int { return 0 })
			time.Sleep(5 * time.Second)
			streams = f.beginStreams(1, firstBuild, "v2")
			for i := range 5 { // in the life of a record
				f.stopAndStart(i, killed+i)
			}
			f.wantTakenUp("after a rolling restart", streams, f.all)
		})
	}
}
