package netfault

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// echo answers each line with itself, as owner b.
func echo(t *testing.T, n *Network, owner string) string {
	t.Helper()
	l, err := n.Listen(owner, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

type line struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, n *Network, owner, addr string) *line {
	t.Helper()
	c, err := n.Dialer(owner)(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &line{Conn: c, r: bufio.NewReader(c)}
}

func (l *line) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(l, text+"\n"); err != nil {
		t.Fatal(err)
	}
}

func (l *line) want(t *testing.T, text string) {
	t.Helper()
	got, err := l.r.ReadString('\n')
	if err != nil || strings.TrimSpace(got) != text {
		t.Fatalf("got %q, %v, want %q", got, err, text)
	}
}

// nothing checks that no byte comes while the fault lasts.
func (l *line) nothing(t *testing.T) {
	t.Helper()
	_ = l.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	defer l.SetReadDeadline(time.Time{})
	if b, err := l.r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %q, %v during the fault", b, err)
	}
}

// talking returns the address of an echo of b, and a line of a's to it that has
// been used.
func talking(t *testing.T, n *Network) (addr string, l *line) {
	t.Helper()
	addr = echo(t, n, "b")
	l = dial(t, n, "a", addr)
	l.send(t, "x")
	l.want(t, "x")
	return addr, l
}

func network(t *testing.T) *Network {
	n := New()
	t.Cleanup(n.Close)
	return n
}

func TestLatencyKeepsTheBytesInOrder(t *testing.T) {
	n := network(t)
	n.SetZone("a", "lac-a")
	n.SetZone("b", "lac-b")
	n.SetLatencyBetween(2 * time.Millisecond)
	l := dial(t, n, "a", echo(t, n, "b"))
	for i := range 200 {
		l.send(t, fmt.Sprint("line ", i))
		if i == 100 {
			n.SetLatency("lac-a", "lac-b", 0)
		}
	}
	for i := range 200 {
		l.want(t, fmt.Sprint("line ", i))
	}
	n.SetLatency("lac-a", "lac-b", time.Hour)
	l.send(t, "under way")
	l.nothing(t)
}

func TestLatencyOfZones(t *testing.T) {
	r := newRules()
	r.zones = map[string]string{"a": "x", "b": "y", "c": "y", "d": "z"}
	r.between = 2 * time.Millisecond
	r.latency[pairOf("y", "x")] = 5 * time.Millisecond
	r.latency[pairOf("z", "z")] = time.Millisecond
	got := fmt.Sprint(r.delay("a", "b"), r.delay("b", "a"), r.delay("a", "d"), r.delay("b", "c"), r.delay("d", "d"), r.delay("a", "stranger"))
	if want := "5ms 5ms 2ms 0s 1ms 0s"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}

func TestLargeWritesThroughLatency(t *testing.T) {
	n := network(t)
	n.SetZone("a", "x")
	n.SetZone("b", "y")
	n.SetLatencyBetween(time.Millisecond)
	l := dial(t, n, "a", echo(t, n, "b"))
	text := strings.Repeat("0123456789", 3*maxHeld/10)
	go func() { _, _ = io.WriteString(l, text+"\n") }()
	l.want(t, text)
}

// A partition lasts and heals: what was sent meanwhile arrives then, once and
// in order, as TCP would have it; a new connection hangs and is made then.
func TestBlackHoleHoldsAndHeals(t *testing.T) {
	n := network(t)
	addr := echo(t, n, "b")
	l := dial(t, n, "a", addr)
	l.send(t, "before")
	l.want(t, "before")
	cut := n.Cut(Partition{A: []string{"a"}, B: []string{"b"}})
	l.send(t, "during")
	l.nothing(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := n.Dialer("a")(ctx, "tcp", addr); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("dial during the cut: %v", err)
	}
	other := dial(t, n, "c", addr)
	other.send(t, "unconcerned")
	other.want(t, "unconcerned")
	n.Heal(cut)
	l.send(t, "after")
	l.want(t, "during")
	l.want(t, "after")
}

// pair connects owners a and b.
func pair(t *testing.T, n *Network) (a, b *line) {
	t.Helper()
	l, err := n.Listen("b", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a = dial(t, n, "a", l.Addr().String())
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	b = &line{Conn: accepted, r: bufio.NewReader(accepted)}
	a.send(t, "hello")
	b.want(t, "hello")
	return a, b
}

func TestOneWayCutStopsOnlyOneDirection(t *testing.T) {
	n := network(t)
	a, b := pair(t, n)
	n.Cut(Partition{A: []string{"b"}, B: []string{"a"}, OneWay: true})
	a.send(t, "still")
	b.want(t, "still")
	b.send(t, "held")
	a.nothing(t)
	n.HealAll()
	a.want(t, "held")
}

// The peer hangs up or dies during a cut: the other side may only learn of it
// when the cut heals, neither by reading nor by writing.
func TestEndDuringACutIsNoticedAfterIt(t *testing.T) {
	for name, end := range map[string]func(*Network, *line){
		"close": func(_ *Network, b *line) { _ = b.Close() },
		"kill":  func(n *Network, _ *line) { n.Kill("b") },
	} {
		t.Run(name, func(t *testing.T) {
			n := network(t)
			a, b := pair(t, n)
			cut := n.Cut(Partition{A: []string{"a"}, B: []string{"b"}})
			end(n, b)
			for range 3 {
				a.send(t, "unheard")
				a.nothing(t)
			}
			n.Heal(cut)
			if _, err := a.r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("after the cut: %v", err)
			}
		})
	}
}

func TestFrozenOwnerReadsNothing(t *testing.T) {
	n := network(t)
	a, b := pair(t, n)
	n.Freeze("b")
	a.send(t, "one")
	b.nothing(t)
	a.send(t, "two")
	b.nothing(t)
	n.Thaw("b")
	one := make([]byte, 1) // less than what was held back at once
	for _, want := range "one\n" {
		if _, err := b.Conn.Read(one); err != nil || rune(one[0]) != want {
			t.Fatalf("got %q, %v, want %q", one, err, want)
		}
	}
	b.want(t, "two")
}

// A paused daemon's own timeouts close a connection. Of a process that is
// really paused the peer would hear nothing until it wakes.
func TestFrozenOwnerClosesNothing(t *testing.T) {
	n := network(t)
	a, b := pair(t, n)
	n.Freeze("b")
	_ = b.Close()
	a.nothing(t)
	n.Thaw("b")
	if _, err := a.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("after the thaw: %v", err)
	}
}

func TestRefusingCutResets(t *testing.T) {
	n := network(t)
	addr, l := talking(t, n)
	cut := n.Cut(Partition{A: []string{"a"}, B: []string{"b"}, Refuse: true})
	if _, err := l.r.ReadByte(); err == nil {
		t.Fatal("connection survived")
	}
	if _, err := n.Dialer("a")(t.Context(), "tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial: %v", err)
	}
	n.Heal(cut)
	again := dial(t, n, "a", addr)
	again.send(t, "y")
	again.want(t, "y")
}

// A middlebox forgets the open connections: neither end hears of anything,
// not even of a hang-up, while new connections work.
func TestSilenceIsForGoodAndForOldConnectionsOnly(t *testing.T) {
	n := network(t)
	addr, old := talking(t, n)
	n.Silence("b")
	old.send(t, "lost")
	old.nothing(t)
	fresh := dial(t, n, "a", addr)
	fresh.send(t, "y")
	fresh.want(t, "y")
	n.Kill("b")
	old.nothing(t)
}

func TestFreezeBlocksAndThawLosesNothing(t *testing.T) {
	n := network(t)
	_, l := talking(t, n)
	n.Freeze("b")
	l.send(t, "one")
	l.nothing(t)
	l.send(t, "two")
	l.nothing(t)
	n.Thaw("b")
	l.want(t, "one")
	l.want(t, "two")
	n.Freeze("a")
	wrote := make(chan error)
	go func() {
		_, err := io.WriteString(l, "three\n")
		wrote <- err
	}()
	select {
	case err := <-wrote:
		t.Fatalf("a frozen owner wrote: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	n.Thaw("a")
	if err := <-wrote; err != nil {
		t.Fatal(err)
	}
	l.want(t, "three")
}

func TestKillAndRevive(t *testing.T) {
	n := network(t)
	addr, l := talking(t, n)
	n.Kill("b")
	if _, err := l.r.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("peer of the killed: %v", err)
	}
	if _, err := n.Dialer("a")(t.Context(), "tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial to the killed: %v", err)
	}
	if _, err := n.Dialer("b")(t.Context(), "tcp", addr); err == nil {
		t.Fatal("the killed dialled")
	}
	if _, err := n.Listen("b", "127.0.0.1:0"); err == nil {
		t.Fatal("the killed listened")
	}
	n.Revive("b")
	again := dial(t, n, "a", echo(t, n, "b"))
	again.send(t, "y")
	again.want(t, "y")
}
