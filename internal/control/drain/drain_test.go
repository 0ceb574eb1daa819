package drain

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

type testInstance struct {
	board      *board.Board
	controller *Controller
	stop       context.CancelFunc
	running    *sync.WaitGroup
}

func start(s *memstore.Store) *testInstance {
	b := board.New()
	ctx, cancel := context.WithCancel(context.Background())
	n := &testInstance{board: b, stop: cancel, running: &sync.WaitGroup{}, controller: New(Options{
		Store: s, Board: b, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(1, 1)), Self: "i-0", Zone: "lac-a",
	})}
	n.running.Go(func() { syncObjects(ctx, s, b) })
	n.running.Go(func() { n.controller.Run(ctx) })
	return n
}

// syncObjects stands in for package profilesync: it maintains the board's copy of the
// store's objects.
func syncObjects(ctx context.Context, s *memstore.Store, b *board.Board) {
	after := uint64(0)
	for ctx.Err() == nil {
		objects, version, _, err := s.Watch(ctx, KeyPrefix, after)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		after = version
		for _, o := range objects {
			b.Objects.Update(o.Key, func(old board.ConfigObject, _ bool) (board.ConfigObject, bool) {
				return board.ConfigObject{Version: o.Version, Value: o.Value, Deleted: o.Deleted}, o.Version > old.Version
			})
		}
	}
}

func (n *testInstance) finish() {
	n.stop()
	n.running.Wait()
}

func (n *testInstance) draining() bool {
	self, _ := n.board.Self.Get(board.SelfRow)
	return self.Draining
}

// Guards against a drained instance that takes requests again after its restart: its
// process is replaced while the platform is available, and the drain was kept only
// in memory.
func TestDrainOutlastsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		n := start(s)
		if err := n.controller.Drain(t.Context(), "instance/i-0", "amal"); err != nil {
			t.Fatal(err)
		}
		if !n.draining() {
			t.Fatal("not draining directly after the call of Drain")
		}
		n.finish()
		n = start(s)
		time.Sleep(time.Second)
		if !n.draining() {
			t.Fatal("not draining after the restart")
		}
		if list := n.controller.List(); len(list) != 1 || list[0].By != "amal" {
			t.Errorf("list %+v, want the drain of amal", list)
		}
		if err := n.controller.Undrain(t.Context(), "instance/i-0"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if n.draining() {
			t.Error("still draining after the drain was removed")
		}
		n.finish()
	})
}

func TestFaultsOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{Seed: 1})
		n := start(s)
		defer n.finish()
		s.SetFaults(memstore.Faults{LoseReply: 1})
		if err := n.controller.Drain(t.Context(), "place/lac-a", "amal"); err != nil {
			t.Fatalf("drain whose reply was lost: %v", err)
		}
		s.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(time.Hour)
		if !n.draining() {
			t.Error("the drain is not in force during an outage of the store")
		}
		if err := n.controller.Undrain(t.Context(), "place/lac-a"); !errkind.Is(err, errkind.StoreUnavailable) {
			t.Errorf("removing the drain during an outage of the store: %v", err)
		}
		s.SetFaults(memstore.Faults{LoseReply: 1})
		if err := n.controller.Undrain(t.Context(), "place/lac-a"); err != nil {
			t.Errorf("removing the drain with lost replies: %v", err)
		}
		s.SetFaults(memstore.Faults{})
		time.Sleep(time.Minute)
		if n.draining() {
			t.Error("still draining after the drain was removed")
		}
	})
}

// Guards against a drained zone that takes requests: another program wrote the drain
// in a form that cannot be decoded, and the object was skipped.
func TestUnreadableDrainIsInForce(t *testing.T) {
	b := board.New()
	b.Objects.Put(KeyPrefix+"place/lac-a", board.ConfigObject{Version: 3, Value: []byte("yes")})
	b.Objects.Put("limits/place/lac-b", board.ConfigObject{Version: 4, Value: []byte("{}")})
	c := New(Options{Board: b, Clock: quartz.NewReal(), Self: "i-0", Zone: "lac-a"})
	c.Step()
	if self, _ := b.Self.Get(board.SelfRow); !self.Draining || b.Drains.Len() != 1 {
		t.Errorf("self %+v, %d drains", self, b.Drains.Len())
	}
}

func TestSubjectIsChecked(t *testing.T) {
	c := New(Options{Store: memstore.New(memstore.Options{}), Board: board.New(), Clock: quartz.NewReal()})
	for _, subject := range []string{"", "instance/", "i-0", "rack/1", "place/a/b"} {
		if err := c.Drain(t.Context(), subject, "amal"); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("subject %q: error %v, want bad_request", subject, err)
		}
	}
}

// Guards against an error for a drain that is in force: two operators drain the same
// zone concurrently, and the one whose write conflicts gets the conflict as an error.
func TestRacingOrdersBothSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		s.SetFaults(memstore.Faults{Delay: 10 * time.Millisecond})
		c := New(Options{Store: s, Board: board.New(), Clock: quartz.NewReal()})
		results := make(chan error, 2)
		for _, operator := range []string{"amal", "neema"} {
			go func() { results <- c.Drain(t.Context(), "place/lac-a", operator) }()
		}
		for range 2 {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		objects, _, _ := s.List(t.Context(), KeyPrefix)
		if len(objects) != 1 || !strings.Contains(string(objects[0].Value), "amal") && !strings.Contains(string(objects[0].Value), "neema") {
			t.Errorf("objects %v", objects)
		}
	})
}

var _ Store = store.Store(nil)
