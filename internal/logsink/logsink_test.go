package logsink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/event"
)

func logfmtNotes(w io.Writer) *event.Logger { return event.NewLogger(log.NewLogfmtLogger(w)) }

// record is an output that accepts every write at once, unless it is set to fail.
type record struct {
	mu    sync.Mutex
	text  bytes.Buffer
	calls int
	fault error
}

func (r *record) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.fault != nil {
		return 0, r.fault
	}
	return r.text.Write(p)
}

func (r *record) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = err
}

func (r *record) written() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

func (r *record) tried() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *record) lines() []string {
	return strings.Split(strings.TrimSuffix(r.written(), "\n"), "\n")
}

func line(level string, n int) string { return fmt.Sprintf("level=%s event=1 n=%04d\n", level, n) }

func put(t *testing.T, s *Sink, text string) {
	t.Helper()
	if n, err := s.Write([]byte(text)); n != len(text) || err != nil {
		t.Fatalf("Write: %d, %v", n, err)
	}
}

func flush(t *testing.T, s *Sink) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

// expect checks that got are the lines with the numbers first to last.
func expect(t *testing.T, got []string, first, last int) {
	t.Helper()
	if len(got) != last-first+1 {
		t.Fatalf("%d lines, want %d to %d: %q", len(got), first, last, got)
	}
	for i, l := range got {
		if !strings.HasSuffix(l, fmt.Sprintf("n=%04d", first+i)) {
			t.Fatalf("line %d is %q", first+i, l)
		}
	}
}

func TestLinesAreWrittenInOrderWithoutFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(record)
		s := New(out, Options{DropReports: logfmtNotes})
		defer s.Close()
		for n := range 2000 { // more bytes than fit into scratch
			put(t, s, line("info", n))
			if n%100 == 0 {
				synctest.Wait()
			}
		}
		synctest.Wait()
		expect(t, out.lines(), 0, 1999)
	})
}

// Guards against requests that all block while the instance's disk is full,
// because each waits in the call that writes its log line.
func TestStalledReaderBlocksNoWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const each, room = 27, 100
		reader, writer := io.Pipe()
		s := New(writer, Options{Bytes: room * each, DropReports: logfmtNotes})
		defer s.Close()
		put(t, s, line("error", 0)) // the output blocks in this one
		synctest.Wait()
		begin := time.Now()
		for n := 1; n <= room+50; n++ {
			put(t, s, line("error", n))
		}
		if waited := time.Since(begin); waited != 0 {
			t.Fatalf("writers waited %v", waited)
		}
		time.Sleep(3 * time.Second)
		lines := bufio.NewScanner(reader)
		var got []string
		for range room + 2 {
			lines.Scan()
			got = append(got, lines.Text())
		}
		put(t, s, line("error", room+51))
		lines.Scan()
		got = append(got, lines.Text())
		expect(t, got[:room+1], 0, room)
		want := "level=warn event=4301 msg=log_lines_left_out full=50 rate=0 failed=0 for_ms=3000"
		if got[room+1] != want {
			t.Fatalf("after the gap: %q", got[room+1])
		}
		expect(t, got[room+2:], room+51, room+51)
	})
}

func TestOverTheRateWarningsPassAndTheRestIsCounted(t *testing.T) {
	formats := map[string]func(level string, n int) string{
		"logfmt": line,
		"json": func(level string, n int) string {
			return fmt.Sprintf(`{"err":"said \"level\":\"info\"","level":"%s","n":%d}`, level, n) + "\n"
		},
	}
	for name, format := range formats {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := new(record)
				s := New(out, Options{Rate: 1000, Burst: 10 * len(format("info", 0)), DropReports: logfmtNotes})
				defer s.Close()
				for range 40 {
					put(t, s, format("info", 0))
				}
				for _, level := range []string{"debug", "warn", "error"} {
					put(t, s, format(level, 0))
				}
				synctest.Wait()
				if got := len(out.lines()); got != 12 {
					t.Fatalf("%d lines passed, want 10 of level info and 2 above", got)
				}
				time.Sleep(noteInterval)
				synctest.Wait()
				got := out.lines()
				if len(got) != 13 || !strings.Contains(got[12], "full=0 rate=31 failed=0 for_ms=1000") {
					t.Fatalf("%q", got[12:])
				}
				put(t, s, format("info", 0))
				synctest.Wait()
				if len(out.lines()) != 14 {
					t.Fatal("a line is dropped although the rate allows it again")
				}
			})
		})
	}
}

func TestTheAverageRateIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(record)
		s := New(out, Options{})
		defer s.Close()
		const seconds, perSecond = 20, 10000
		for range seconds * 100 {
			for range perSecond / 100 {
				put(t, s, line("info", 0))
			}
			time.Sleep(time.Second / 100)
		}
		if got, most := len(out.written()), DefaultBurst+seconds*DefaultRate; got > most || got < most*95/100 {
			t.Fatalf("%d bytes, want about %d", got, most)
		}
	})
}

func TestNotesAreLimitedToOneASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(record)
		s := New(out, Options{Rate: 1, Burst: 1, DropReports: logfmtNotes})
		defer s.Close()
		for range 300 {
			put(t, s, line("info", 0))
			put(t, s, line("warn", 0))
			time.Sleep(10 * time.Millisecond)
		}
		flush(t, s)
		if notes := strings.Count(out.written(), "log_lines_left_out"); notes < 2 || notes > 4 {
			t.Fatalf("%d notes in 3 s", notes)
		}
	})
}

func TestFlushWritesAllAndTheCountAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(record)
		s := New(out, Options{Burst: 27 * 3, DropReports: logfmtNotes})
		defer s.Close()
		for n := range 5 {
			put(t, s, line("info", n))
		}
		flush(t, s)
		got := out.lines()
		expect(t, got[:3], 0, 2)
		if len(got) != 4 || !strings.Contains(got[3], "rate=2") {
			t.Fatalf("%q", got)
		}
	})
}

func TestFlushEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		s := New(writer, Options{})
		put(t, s, line("info", 0))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		begin := time.Now()
		if err := s.Flush(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(begin) != 200*time.Millisecond {
			t.Fatalf("%v after %v", err, time.Since(begin))
		}
		s.Close()
		reader.Close()
	})
}

// Guards against an instance with a full log disk that uses a whole core,
// because each note of lost lines is lost itself and causes another one.
func TestFailedWritesAreCountedWithoutCausingMoreWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(record)
		s := New(out, Options{DropReports: logfmtNotes})
		defer s.Close()
		out.fail(os.ErrClosed)
		put(t, s, line("info", 0))
		put(t, s, line("info", 1))
		flush(t, s)
		tried := out.tried()
		time.Sleep(time.Hour)
		if again := out.tried() - tried; again != 0 {
			t.Fatalf("%d writes with nothing to write", again)
		}
		out.fail(nil)
		put(t, s, line("info", 2))
		flush(t, s)
		got := out.lines()
		if len(got) != 2 || !strings.HasSuffix(got[0], "n=0002") || !strings.Contains(got[1], "failed=2 for_ms=3600000") {
			t.Fatalf("%q", got)
		}
	})
}

func TestLongLinesStayWholeOrAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(record)
		s := New(out, Options{Bytes: 4 * chunkBytes, DropReports: logfmtNotes})
		defer s.Close()
		long := "level=error stack=" + strings.Repeat("x", 3*chunkBytes) + "\n"
		put(t, s, line("info", 0))
		put(t, s, long)
		flush(t, s)
		put(t, s, long+long)
		flush(t, s)
		got := out.lines()
		if len(got) != 3 || got[1]+"\n" != long || !strings.Contains(got[2], "full=1") {
			t.Fatalf("%d lines", len(got))
		}
	})
}

// The ring wraps around and grows while it holds lines.
func TestRingKeepsTheOrderWhileItGrows(t *testing.T) {
	const each, bound = 26, 5 * initialBytes
	r := newRing(bound)
	scratch := make([]byte, 1000)
	var got strings.Builder
	n := 0
	for room := true; room; n++ {
		room = r.put([]byte(line("info", n)))
		if n%50 == 49 {
			got.Write(r.take(scratch))
		}
	}
	if held := r.size / each; held != bound/each || len(r.buf) != bound {
		t.Fatalf("full with %d lines, %d bytes", held, len(r.buf))
	}
	for r.size > 0 {
		got.Write(r.take(scratch))
	}
	expect(t, strings.Split(strings.TrimSuffix(got.String(), "\n"), "\n"), 0, n-2)
}

func TestManyWritersAtOnce(t *testing.T) {
	out := new(record)
	s := New(out, Options{Bytes: 4 << 10, DropReports: logfmtNotes})
	defer s.Close()
	const writers, each = 8, 1000
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for n := range each {
				put(t, s, line("warn", n))
			}
		})
	}
	group.Wait()
	flush(t, s)
	written, dropped := 0, 0
	for _, l := range out.lines() {
		var full int
		if _, err := fmt.Sscanf(l, "level=warn event=4301 msg=log_lines_left_out full=%d rate=0 failed=0", &full); err == nil {
			dropped += full
			continue
		}
		if len(l)+1 != len(line("warn", 0)) {
			t.Fatalf("malformed line: %q", l)
		}
		written++
	}
	if written+dropped != writers*each {
		t.Fatalf("%d lines written, %d reported as dropped, of %d", written, dropped, writers*each)
	}
}

func TestWriteAllocatesNothing(t *testing.T) {
	s := New(io.Discard, Options{})
	defer s.Close()
	text := []byte(line("info", 0))
	if allocs := testing.AllocsPerRun(1000, func() { _, _ = s.Write(text) }); allocs > 0 {
		t.Fatalf("%v allocations a line", allocs)
	}
}

func BenchmarkWrite(b *testing.B) {
	s := New(io.Discard, Options{Rate: 1 << 40, Burst: 1 << 40})
	defer s.Close()
	text := []byte(strings.Repeat("x", 299) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Write(text)
	}
}
