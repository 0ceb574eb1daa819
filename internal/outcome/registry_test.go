package outcome

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

var testKey = Key{Organisation: "org", Key: "k"}

func answer(text string) Record { return Record{Output: json.RawMessage(text)} }

// Guards against duplicate execution: requests that arrive with the same key
// while the first is in flight must wait for it instead of running again.
func TestSameKeySharesOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(Options{})
		runs := 0
		run := func(context.Context) Record {
			runs++
			time.Sleep(time.Second)
			return answer(fmt.Sprint(runs))
		}
		var wg sync.WaitGroup
		sharedCount := make(chan bool, 10)
		for range 10 {
			wg.Go(func() {
				rec, shared, err := r.Do(t.Context(), testKey, "b", "id", run)
				if err != nil || string(rec.Output) != "1" {
					t.Errorf("record %q, error %v", rec.Output, err)
				}
				sharedCount <- shared
			})
		}
		wg.Wait()
		close(sharedCount)
		first := 0
		for shared := range sharedCount {
			if !shared {
				first++
			}
		}
		if runs != 1 || first != 1 {
			t.Errorf("%d runs, %d callers not shared", runs, first)
		}
		if _, _, err := r.Do(t.Context(), testKey, "other", "id", run); !errkind.Is(err, errkind.KeyReused) {
			t.Errorf("another body: %v", err)
		}
	})
}

// Guards against a run that is cancelled when the caller that started it
// disconnects: the outcome must still be available afterwards.
func TestRunOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(Options{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := r.Do(ctx, testKey, "b", "id", func(ctx context.Context) Record {
			time.Sleep(5 * time.Second)
			return answer(fmt.Sprint(ctx.Err() == nil))
		})
		if !errkind.Is(err, errkind.Cancelled) {
			t.Fatalf("first caller: %v", err)
		}
		if rec, found := r.Wait(t.Context(), testKey); !found || string(rec.Output) != "true" {
			t.Errorf("found %v, record %q", found, rec.Output)
		}
	})
}

func TestNotRunIsNotKept(t *testing.T) {
	r := NewRegistry(Options{})
	runs := 0
	refuse := func(context.Context) Record {
		runs++
		body := errkind.BodyOf(errkind.New(errkind.Overloaded, "full"), "id")
		return Record{Err: &body}
	}
	for range 2 {
		if _, _, err := r.Do(t.Context(), testKey, "b", "id", refuse); err != nil {
			t.Fatal(err)
		}
	}
	if runs != 2 {
		t.Errorf("%d runs; a retry of a request that did not run must run", runs)
	}
}

func TestPanicEndsTheFlight(t *testing.T) {
	r := NewRegistry(Options{})
	rec, _, err := r.Do(t.Context(), testKey, "b", "id", func(context.Context) Record { panic("defect") })
	if err != nil || rec.Err == nil || rec.Err.Kind != errkind.Internal.String() {
		t.Errorf("record %+v, error %v", rec, err)
	}
}

// Guards against unbounded memory use, and against eviction of a request in
// flight, which would let a second request with its key run.
func TestOnlyFinishedRecordsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(Options{MaxRecords: 32, MaxBytes: 1 << 20, Keep: time.Minute})
		stop := make(chan struct{})
		go func() {
			_, _, _ = r.Do(t.Context(), testKey, "b", "id", func(context.Context) Record { <-stop; return answer("1") })
		}()
		synctest.Wait()
		for i := range 1000 {
			key := Key{Organisation: "org", Key: fmt.Sprint(i)}
			_, _, _ = r.Do(t.Context(), key, "b", "id", func(context.Context) Record { return answer("2") })
		}
		if n := r.records.Value(); n > 32 || n == 0 {
			t.Errorf("%d records kept", n)
		}
		if !r.Running(testKey) {
			t.Error("the request in flight was evicted")
		}
		close(stop)
		synctest.Wait()
		time.Sleep(2 * time.Minute)
		if _, found := r.Lookup(testKey); found {
			t.Error("record still present after its retention")
		}
	})
}

func TestExportImport(t *testing.T) {
	from, to := NewRegistry(Options{}), NewRegistry(Options{})
	for i := range 50 {
		key := Key{Organisation: "org", Key: fmt.Sprint(i)}
		_, _, _ = from.Do(t.Context(), key, "b", "id", func(context.Context) Record { return answer(fmt.Sprint(i)) })
	}
	if n := len(from.Export(10)); n > 10 {
		t.Errorf("%d records exported, asked for 10", n)
	}
	to.Import(from.Export(1000))
	for i := range 50 {
		rec, found := to.Lookup(Key{Organisation: "org", Key: fmt.Sprint(i)})
		if !found || string(rec.Output) != fmt.Sprint(i) {
			t.Errorf("key %d: found %v, %q", i, found, rec.Output)
		}
	}
}
