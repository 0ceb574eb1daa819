package claim

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// controlThrottledStore refuses writes of control priority, as the store client
// does for some seconds after an outage.
type controlThrottledStore struct{ store.Store }

func (s controlThrottledStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	if store.PriorityOf(ctx) == store.PriorityControl {
		return store.Object{}, store.ErrThrottled
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// runUntilStopped starts Pages.Run and returns a function that stops it and waits
// until it has returned.
func runUntilStopped(t *testing.T, p *StoreClaimer) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	return func() { cancel(); <-ended }
}

// Guards against completions that a stopping instance loses because its store
// client throttles calls of their priority.
func TestStopDoesNotWaitForLowPriorityCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a := testClaimer(st, "a", 1, func(o *StoreOptions) { o.Store = controlThrottledStore{st} })
		stop := runUntilStopped(t, a)
		mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.Complete(json.RawMessage(`1`))
		time.Sleep(5 * time.Second)
		stop()
		mustState(t, testClaimer(st, "b", 2, nil), testRequest("k", "x", time.Second), Completed)
	})
}

// Guards against completions and releases that are lost with an instance that
// stops while the store is unavailable.
func TestStopTransfersUnwrittenRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		var claimers []*StoreClaimer
		for i, self := range []string{"0", "1", "2"} {
			claimers = append(claimers, testClaimer(st, self, uint64(i), func(o *StoreOptions) {
				o.Forward = reliableForwarder{&claimers}
				o.Peers = func() []string { return []string{"1", "2"} }
			}))
		}
		stop := runUntilStopped(t, claimers[0])
		done := mustState(t, claimers[0], testRequest("done", "x", time.Second), Granted)
		released := mustState(t, claimers[0], testRequest("released", "x", time.Second), Granted)
		st.SetFaults(memstore.Faults{Outage: true})
		done.Claim.Complete(json.RawMessage(`1`))
		released.Claim.Release()
		stop()
		st.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		fresh := testClaimer(st, "b", 9, nil)
		if answer := mustState(t, fresh, testRequest("done", "x", time.Second), Completed); string(answer.Result) != "1" {
			t.Errorf("result %q", answer.Result)
		}
		mustState(t, fresh, testRequest("released", "x", time.Second), Granted)
	})
}

// Guards against a stop that loses completions without a log entry.
func TestStopLogsLostRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		var lines bytes.Buffer
		a := testClaimer(st, "a", 1, func(o *StoreOptions) {
			o.Logger = event.NewLogger(log.NewLogfmtLogger(log.NewSyncWriter(&lines)))
		})
		stop := runUntilStopped(t, a)
		c := mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim
		st.SetFaults(memstore.Faults{Outage: true})
		c.Complete(nil)
		stop()
		if !strings.Contains(lines.String(), "claim_records_lost records=1") {
			t.Errorf("the log: %s", &lines)
		}
	})
}

// killableOwner is an owner that can be killed. From then on, its store writes and
// the messages to it fail, including messages in progress.
type killableOwner struct {
	store.Store
	claimer *StoreClaimer
	dead    chan struct{}
}

func (m *killableOwner) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	select {
	case <-m.dead:
		return store.Object{}, store.ErrUnavailable
	default:
		return m.Store.Put(ctx, key, value, ifVersion)
	}
}

func (m *killableOwner) ForwardClaim(ctx context.Context, _ string, msg Message) (Reply, error) {
	type answer struct {
		reply Reply
		err   error
	}
	answered := make(chan answer, 1)
	go func() {
		reply, err := m.claimer.Handle(ctx, msg)
		answered <- answer{reply, err}
	}()
	select {
	case a := <-answered:
		return a.reply, a.err
	case <-m.dead:
		return Reply{}, errForward
	}
}

// Guards against completions and releases that an owner confirms and that are lost
// because it fails before it has written them.
func TestOwnerKilledBeforeItWritesACompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		owner := &killableOwner{Store: st, dead: make(chan struct{})}
		owner.claimer = testClaimer(st, "owner", 1, func(o *StoreOptions) { o.Store = owner })
		holder := testClaimer(st, "holder", 2, func(o *StoreOptions) {
			o.Owners = func(int) string { return "owner" }
			o.Forward = owner
		})
		defer runUntilStopped(t, owner.claimer)()
		defer runUntilStopped(t, holder)()
		mustState(t, holder, testRequest("k", "x", time.Second), Granted).Claim.Complete(json.RawMessage(`1`))
		time.Sleep(DefaultLazyInterval / 2)
		close(owner.dead)
		time.Sleep(10 * time.Second)
		mustState(t, testClaimer(st, "b", 3, nil), testRequest("k", "x", time.Second), Completed)
	})
}

// Guards against completions that are lost with their instance while the store is
// unavailable.
func TestKilledInstanceLeavesCopiesOfItsCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		var claimers []*StoreClaimer
		dead := make(chan struct{})
		for i, self := range []string{"0", "1"} {
			claimers = append(claimers, testClaimer(st, self, uint64(i), func(o *StoreOptions) {
				o.Forward = reliableForwarder{&claimers}
				o.Peers = func() []string { return []string{strconv.Itoa(1 - i)} }
				if i == 0 {
					o.Store = &killableOwner{Store: st, dead: dead}
				}
			}))
			defer runUntilStopped(t, claimers[i])()
		}
		c := mustState(t, claimers[0], testRequest("k", "x", time.Second), Granted).Claim
		st.SetFaults(memstore.Faults{Outage: true})
		c.Complete(json.RawMessage(`1`))
		time.Sleep(5 * time.Second)
		close(dead)
		st.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		mustState(t, testClaimer(st, "b", 3, nil), testRequest("k", "x", time.Second), Completed)
	})
}

// Guards against completions that are discarded by an instance whose view of the
// shard is older than the claim.
func TestOutdatedViewDoesNotDropACompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a, outdated := testClaimer(st, "a", 1, nil), testClaimer(st, "b", 2, nil)
		req := testRequest("k", "x", time.Minute)
		mustState(t, outdated, req, Granted).Claim.Release()
		time.Sleep(time.Second)
		claimed := mustState(t, a, req, Granted).Claim.(*grantedClaim)
		m := Message{Op: MessageTransferComplete, Key: req.Key, Body: req.BodyHash, Token: claimed.entry.Token, Holder: "a", Result: json.RawMessage(`1`)}
		if _, err := outdated.Handle(t.Context(), m); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		mustState(t, testClaimer(st, "c", 3, nil), req, Completed)
	})
}

// Guards against an owner that confirms a completion although the outcome of its
// write is unknown.
func TestOwnerDoesNotConfirmAnUnknownWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		owner := testClaimer(st, "owner", 1, nil)
		defer runUntilStopped(t, owner)()
		req := testRequest("k", "x", time.Minute)
		token := mustState(t, owner, req, Granted).Claim.(*grantedClaim).entry.Token
		confirmed := make(chan error, 1)
		go func() {
			_, err := owner.Handle(t.Context(), Message{Op: MessageComplete, Key: req.Key, Body: req.BodyHash, Token: token, Holder: "a"})
			confirmed <- err
		}()
		synctest.Wait()
		s := owner.shards[idOf(req.Key).shard(owner.opts.Shards)]
		s.view.inDoubt = s.unwritten()
		s.failInDoubt()
		if err := <-confirmed; !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("confirmed with %v", err)
		}
	})
}
