package streamorigin

import (
	"container/heap"
	"hash/maphash"
	"sync"
	"time"
)

const (
	// shardCount is the number of shards of a table.
	shardCount = 16
	// maxRecords bounds the number of records of a table. With the longest names a record
	// takes less than a kilobyte.
	maxRecords = 1 << 15
)

// table holds records until they expire. If it is full, the one that would expire first is
// dropped.
type table struct {
	seed   maphash.Seed
	limit  int // records in a shard
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex // guards all below
	rows   map[Key]row
	expiry expiryQueue // has an entry for each row, with the time at which it was written or a later one
	stored uint64      // number of rows stored so far
}

type row struct {
	origin    Origin
	ambiguous bool
	expiresAt time.Time
	number    uint64 // of the row among those stored in its shard
	unsent    bool   // other instances have not been told
}

func newTable(limit int) *table {
	t := &table{seed: maphash.MakeSeed(), limit: max(limit/shardCount, 1)}
	for i := range t.shards {
		t.shards[i].rows = make(map[Key]row)
	}
	return t
}

func (t *table) shardOf(key Key) *shard {
	return &t.shards[maphash.String(t.seed, key.Attempt)%shardCount]
}

// put stores a record. A record of another origin under a known key makes the key
// ambiguous. It returns how many records were dropped for lack of room.
func (t *table) put(r Record, now time.Time) (dropped int) {
	s := t.shardOf(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	expiresAt := now.Add(r.ExpiresIn)
	if old, known := s.rows[r.Key]; known {
		old.ambiguous = old.ambiguous || r.Ambiguous || old.origin != r.Origin
		if expiresAt.After(old.expiresAt) {
			old.expiresAt = expiresAt
		}
		s.rows[r.Key] = old
		return 0
	}
	for len(s.rows) >= t.limit {
		s.removeFirst()
		dropped++
	}
	s.stored++
	s.rows[r.Key] = row{origin: r.Origin, ambiguous: r.Ambiguous, expiresAt: expiresAt, number: s.stored}
	heap.Push(&s.expiry, expiry{expiresAt, r.Key})
	return dropped
}

// get returns the record of a key.
func (t *table) get(key Key, now time.Time) (Record, bool) {
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.rows[key]
	if !known || !now.Before(r.expiresAt) {
		return Record{}, false
	}
	return r.record(key, now), true
}

func (r row) record(key Key, now time.Time) Record {
	return Record{Key: key, Origin: r.origin, ExpiresIn: r.expiresAt.Sub(now), Ambiguous: r.ambiguous}
}

// markUnsent records that other instances have not been told of a stream.
func (t *table) markUnsent(key Key) {
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.rows[key]; known {
		r.unsent = true
		s.rows[key] = r
	}
}

// takeUnsent returns the records of which other instances have not been told, and counts
// them as told.
func (t *table) takeUnsent(now time.Time) (records []Record) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.removeExpired(now)
		for key, r := range s.rows {
			if r.unsent {
				records = append(records, r.record(key, now))
				r.unsent = false
				s.rows[key] = r
			}
		}
		s.mu.Unlock()
	}
	return records
}

// marks are the numbers of the last rows of each shard at a moment.
type marks [shardCount]uint64

// since returns the records that were stored after the marks, and the marks of now.
func (t *table) since(after marks, now time.Time) ([]Record, marks) {
	var records []Record
	var reached marks
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.removeExpired(now)
		for key, r := range s.rows {
			if r.number > after[i] {
				records = append(records, r.record(key, now))
			}
		}
		reached[i] = s.stored
		s.mu.Unlock()
	}
	return records, reached
}

// len returns the number of records, including those that expired since the last change.
func (t *table) len() (n int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.rows)
		s.mu.Unlock()
	}
	return n
}

// removeExpired removes the expired rows. The caller holds mu, as for removeFirst.
func (s *shard) removeExpired(now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].at) {
		s.removeIfDue(now)
	}
}

// removeFirst removes the row that expires first.
func (s *shard) removeFirst() {
	for !s.removeIfDue(s.expiry[0].at) {
	}
}

// removeIfDue removes the row of the first entry of the queue if it expires by the given
// time. Otherwise its time was extended, and the entry is moved.
func (s *shard) removeIfDue(now time.Time) bool {
	first := &s.expiry[0]
	if expiresAt := s.rows[first.key].expiresAt; expiresAt.After(now) {
		first.at = expiresAt
		heap.Fix(&s.expiry, 0)
		return false
	}
	delete(s.rows, first.key)
	heap.Pop(&s.expiry)
	return true
}

// expiry is an entry of an expiryQueue.
type expiry struct {
	at  time.Time
	key Key
}

// expiryQueue is a heap of rows by their expiry.
type expiryQueue []expiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
