package pathtest

import (
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// versionOf returns the software version that ran the attempt; "" = it was not run.
func (r *rig) versionOf(attempt string) string {
	for _, run := range r.world.Journal.Runs() {
		if run.Attempt == attempt {
			return run.Version
		}
	}
	return ""
}

// setResumeTimeout changes the timeout of the route of resumable streams.
func (r *rig) setResumeTimeout(timeout time.Duration) {
	r.Helper()
	_, err := r.world.Change(func(c *emulator.Config) {
		n := slices.IndexFunc(c.Routes, func(route emulator.Route) bool { return route.StreamResumption })
		c.Routes[n].TimeoutMs = int(timeout.Milliseconds())
	})
	r.must(err)
	time.Sleep(applyTime)
}

// Guards against streams of two software versions after all instances were killed at once:
// callers that come back for longer than the route's timeout of then, since their own
// deadline is longer or the timeout was shortened meanwhile, are told the version that
// has been the only one for that timeout.
func TestKillOfAllInstancesDoesNotMixVersions(t *testing.T) {
	const callers = 10 * time.Second
	for name, timeouts := range map[string]struct{ before, after time.Duration }{
		"callers wait longer than the route": {1500 * time.Millisecond, 1500 * time.Millisecond},
		"the timeout was shortened":          {callers, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := startVersions(t, 4)
			r.setResumeTimeout(timeouts.before)
			began := time.Now()
			var streams []emulator.Attempt
			for n := range 8 {
				streams = append(streams, r.beginStream(r.instances[n%4], []string{oldVersion, newVersion}[n%2]))
			}
			if timeouts.after != timeouts.before {
				r.setResumeTimeout(timeouts.after)
			}
			for _, s := range r.world.Servers("talk") {
				if s.Version == oldVersion {
					r.must(r.world.Drain(s.ID))
				}
			}
			for _, i := range slices.Clone(r.instances) {
				i.kill()
			}
			time.Sleep(2500 * time.Millisecond)
			var returned []*instance
			for n := range 4 {
				returned = append(returned, r.addAs(n+1))
			}
			wentOn, mixed, tries := 0, 0, 0
			for time.Since(began) < callers {
				for n, stream := range streams {
					resumes := stream.ID
					if tries%2 == 1 {
						resumes = ""
					}
					tries++
					a := returned[(n+tries)%4].takeUp(t, stream, resumes)
					if len(a.Events) == 0 {
						continue
					}
					wentOn++
					if r.versionOf(a.ID) != r.versionOf(stream.ID) {
						mixed++
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%d of %d tries went on", wentOn, tries)
			if mixed > 0 {
				t.Errorf("%d of %d tries that went on were at another version", mixed, wentOn)
			}
		})
	}
}
