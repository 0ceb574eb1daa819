package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1e9, 0)

func record(attempt, build string, keep time.Duration) Record {
	return Record{Key: Key{"o", attempt}, Origin: Origin{"s", build}, ExpiresIn: keep}
}

func TestTableKeepsRecordsUntilTheyExpire(t *testing.T) {
	tab := newTable(maxRecords)
	tab.put(record("a", "v1", time.Second), start)
	tab.put(record("b", "v2", 3*time.Second), start)
	tab.put(record("a", "v1", 2*time.Second), start) // a later copy
	for _, c := range []struct {
		attempt string
		after   time.Duration
		known   bool
	}{
		{"a", 0, true}, {"a", 1500 * time.Millisecond, true}, {"a", 2 * time.Second, false}, {"b", 2 * time.Second, true}, {"c", 0, false},
	} {
		if _, known := tab.get(Key{"o", c.attempt}, start.Add(c.after)); known != c.known {
			t.Errorf("%s after %v: known %v", c.attempt, c.after, known)
		}
	}
	if _, known := tab.get(Key{"other", "a"}, start); known {
		t.Error("known to another organisation")
	}
	tab.put(record("d", "v1", time.Second), start.Add(time.Minute))
	for attempt := range 1000 { // all shards
		tab.put(record(fmt.Sprint(attempt), "v1", time.Second), start.Add(time.Minute))
	}
	if n := tab.len(); n != 1001 {
		t.Errorf("%d records are left", n)
	}
}

// Guards against a stream that goes on at one of two builds when its caller used an id
// twice.
func TestTwoOriginsOfOneKeyAreAmbiguous(t *testing.T) {
	tab := newTable(maxRecords)
	tab.put(record("a", "v1", time.Minute), start)
	tab.put(record("a", "v2", time.Minute), start)
	tab.put(record("a", "v1", time.Minute), start)
	if r, _ := tab.get(Key{"o", "a"}, start); !r.Ambiguous {
		t.Errorf("%+v", r)
	}
}

// Guards against a table that grows without bound, drops the wrong records, or loses track
// of the order in which they expire.
func TestTableIsBounded(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("the records that expire last are kept", prop.ForAll(func(keeps []int) bool {
		tab := newTable(shardCount) // one record in a shard
		last := make(map[*shard]int)
		for n, keep := range keeps {
			r := record(fmt.Sprint(n), "v1", time.Duration(keep)*time.Millisecond)
			s := tab.shardOf(r.Key)
			tab.put(r, start)
			last[s] = n // one record in a shard: the newest replaces what is there
		}
		for s, n := range last {
			if _, known := s.rows[Key{"o", fmt.Sprint(n)}]; !known || len(s.rows) != 1 || len(s.expiry) != 1 {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(1, 1000))))
	properties.Property("an entry of the queue for each row", prop.ForAll(func(keeps []int) bool {
		tab, now := newTable(10*shardCount), start
		for n, keep := range keeps {
			now = now.Add(time.Duration(keep%7) * time.Millisecond)
			tab.put(record(fmt.Sprint(n%40), "v1", time.Duration(keep)*time.Millisecond), now)
		}
		for i := range tab.shards {
			if s := &tab.shards[i]; len(s.rows) != len(s.expiry) || len(s.rows) > tab.limit {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(1, 200))))
	properties.TestingRun(t)
}

// Guards against a full table that drops a record that would be needed longer than another.
func TestFullTableDropsWhatExpiresFirst(t *testing.T) {
	tab := newTable(2 * shardCount)
	var attempts []string // of one shard
	for n := 0; len(attempts) < 3; n++ {
		if key := (Key{"o", fmt.Sprint(n)}); tab.shardOf(key) == &tab.shards[0] {
			attempts = append(attempts, key.Attempt)
		}
	}
	tab.put(record(attempts[0], "v1", time.Minute), start)
	tab.put(record(attempts[1], "v1", time.Second), start)
	if dropped := tab.put(record(attempts[2], "v1", 10*time.Second), start); dropped != 1 {
		t.Errorf("%d dropped", dropped)
	}
	for n, want := range []bool{true, false, true} {
		if _, known := tab.get(Key{"o", attempts[n]}, start); known != want {
			t.Errorf("record %d: known %v", n, known)
		}
	}
}
