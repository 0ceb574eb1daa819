package claim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

func testTickets(self string, incarnation uint64, maxKeys int) *Tickets {
	secret := rand.NewChaCha8([32]byte{byte(incarnation), self[0]})
	return NewTickets(TicketOptions{Self: self, Incarnation: incarnation, Secret: secret, Lifetime: time.Minute, MaxKeys: maxKeys})
}

func TestTicketLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := testTickets("a", 1, 0)
		text, expires := home.Issue()
		if !expires.Equal(time.Now().Add(time.Minute)) {
			t.Errorf("expires %v", expires)
		}
		if id, ok := testTickets("b", 1, 0).Issuer(text); !ok || id != "a" {
			t.Errorf("home %q, %v", id, ok)
		}
		req := testRequest(MintKey(text, "order-1"), "x", time.Second)
		claim := mustState(t, home, req, Granted).Claim
		mustState(t, home, req, Held)
		other := req
		other.BodyHash = "y"
		mustKind(t, home, other, errkind.KeyReused)
		claim.Release()
		claim.Complete(json.RawMessage(`"after release"`))
		claim = mustState(t, home, req, Granted).Claim
		claim.Complete(json.RawMessage(`"done"`))
		claim.Release()
		if done := mustState(t, home, req, Completed); string(done.Result) != `"done"` {
			t.Errorf("result %s", done.Result)
		}
		mustKind(t, testTickets("a", 2, 0), req, errkind.OutcomeUnknown)
		mustKind(t, testTickets("b", 1, 0), req, errkind.OutcomeUnknown)
		time.Sleep(time.Minute)
		mustKind(t, home, req, errkind.KeyExpired)
	})
}

func TestForgedTicketIsRefused(t *testing.T) {
	home := testTickets("a", 1, 0)
	text, _ := home.Issue()
	parsed, _, _, err := parseTicket(text)
	if err != nil {
		t.Fatal(err)
	}
	parsed.Expires += 1000
	forged := parsed.text([]byte("guess"))
	for _, bad := range []string{forged, text + "x", text[:len(text)-1], "lxt1.", "lxt1.e30.x", text + "." + text} {
		mustKind(t, home, testRequest(MintKey(bad, "k"), "x", time.Second), errkind.BadRequest)
	}
}

// claimAll concurrently claims a thousand keys minted under the ticket.
func claimAll(t *testing.T, c Claimer, ticket string, want State) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range 1000 {
		wg.Go(func() {
			answer, err := c.Claim(t.Context(), testRequest(MintKey(ticket, fmt.Sprint(i)), "x", 20*time.Second))
			if err != nil || answer.State != want {
				t.Errorf("claim %d: state %v, error %v, want state %v", i, answer.State, err, want)
			}
		})
	}
	wg.Wait()
}

// Guards against a key that runs twice because it is looked up in memory only. The
// key was claimed in the store while memory was full, and memory has room again
// when the key is sent a second time.
func TestOverflowedKeyStaysInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		tickets := testTickets("a", 1, 10*ticketShards)
		r := NewRouter(testClaimer(st, "a", 1, nil), tickets)
		early, _ := tickets.Issue()
		claimAll(t, r, early, Granted)
		if st.Counts().Writes == 0 {
			t.Fatal("nothing overflowed")
		}
		time.Sleep(30 * time.Second)
		late, _ := tickets.Issue()
		claimAll(t, r, late, Granted)
		time.Sleep(31 * time.Second) // the early keys expire and free memory
		claimAll(t, r, late, Held)
		time.Sleep(time.Minute)
		before := st.Counts().Writes
		fresh, _ := tickets.Issue()
		mustState(t, r, testRequest(MintKey(fresh, "k"), "x", time.Second), Granted)
		if st.Counts().Writes != before {
			t.Error("claimed in the store although every overflowed key has expired")
		}
	})
}

// Guards against a plain key that runs twice because the ticket sent with it
// determines where it is claimed. The caller sends the key with the ticket of one
// instance, and then again with the ticket of another.
func TestPlainKeyWithTicketGoesToPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		for i, self := range []string{"a", "b"} {
			tickets := testTickets(self, 1, 0)
			r := NewRouter(testClaimer(st, self, uint64(i), nil), tickets)
			req := testRequest("order-17", "x", time.Second)
			req.Ticket, _ = tickets.Issue()
			mustState(t, r, req, []State{Granted, Held}[i])
		}
	})
}

func TestTicketsWorkWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		st.SetFaults(memstore.Faults{Outage: true})
		tickets := testTickets("a", 1, 0)
		r := NewRouter(testClaimer(st, "a", 1, nil), tickets)
		text, _ := tickets.Issue()
		req := testRequest(MintKey(text, "k"), "x", time.Second)
		if _, found, err := r.Lookup(t.Context(), req.Key); err != nil || found {
			t.Errorf("lookup: %v, %v", found, err)
		}
		mustState(t, r, req, Granted)
		if answer, found, err := r.Lookup(t.Context(), req.Key); err != nil || !found || answer.State != Held {
			t.Errorf("lookup: %+v, %v, %v", answer, found, err)
		}
	})
}

func FuzzParseTicket(f *testing.F) {
	text, _ := testTickets("a", 1, 0).Issue()
	f.Add(text)
	f.Add("lxt1.eyJpIjoiYSJ9.x")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, payload, signature, err := parseTicket(text)
		if err != nil {
			return
		}
		if text != ticketPrefix+payload+"."+signature || parsed.Expires <= parsed.Issued {
			t.Errorf("accepted %q", text)
		}
		key := MintKey(text, "k")
		if got, ok := TicketOf(key); !strings.Contains(text, "/") && (!ok || got != text) {
			t.Errorf("key %q lost its ticket: %q, %v", key, got, ok)
		}
	})
}

func FuzzDecodePage(f *testing.F) {
	w := emptyWindow(1)
	f.Add(encode(w.with([]entry{{ID: idOf(Key{Key: "k"}), Op: opClaim, Token: "t", Holder: "a", At: 1, Keep: 2}}, true)))
	f.Add([]byte(`{"entries":[{"k":"AAAA","o":"c","t":"x"}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w, err := windowOf(1, 1, value)
		if err != nil {
			return
		}
		again, err := windowOf(1, 2, encode(w.page))
		if err != nil || len(again.page.Entries) != len(w.page.Entries) || again.page.Sealed != w.page.Sealed {
			t.Errorf("page changed in an encode and decode round trip: %v", err)
		}
	})
}

func FuzzDecodeIndex(f *testing.F) {
	f.Add([]byte(`{"first":1,"windows":[{"l":5,"k":9},{"l":7,"k":9}]}`))
	f.Add([]byte(`{"first":18446744073709551615,"windows":[{"l":1}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		x, err := decodeIndex(value)
		if err == nil && x.next() < x.First {
			t.Errorf("index wraps around: %+v", x)
		}
	})
}
