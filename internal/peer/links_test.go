package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
)

// newIdleClient returns a client with idle kept connections to some peers, the dialer of
// these connections and the addresses of the peers.
func newIdleClient(t *testing.T, peers int) (*Client, *severableDialer, []string) {
	t.Helper()
	var addresses []string
	for range peers {
		_, address := startServer(t, ServerOptions{Exchange: func(_ context.Context, d gossip.Digest) gossip.Digest { return d }})
		addresses = append(addresses, address)
	}
	links := new(severableDialer)
	client := NewClient(Options{Self: "a", Dial: links.dial})
	t.Cleanup(client.Close)
	for _, address := range addresses {
		if _, err := client.Exchange(t.Context(), address, sampleDigest()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(minHedgeIdleTime + 50*time.Millisecond)
	return client, links, addresses
}

// Guards against calls that use a connection that has become silent until its ping fails.
func TestCallsLeaveASilentConnectionAtOnce(t *testing.T) {
	client, links, addresses := newIdleClient(t, 4)
	links.sever()
	for k, address := range addresses {
		ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
		began := time.Now()
		if _, err := client.Exchange(ctx, address, sampleDigest()); err != nil {
			t.Errorf("exchange %d: %v", k, err)
		}
		// The first call detects the silence and makes all connections suspect.
		if took := time.Since(began); k > 0 && took > hedgeDelay {
			t.Errorf("exchange %d took %v", k, took)
		}
		cancel()
	}
	if dialed := links.dialed(); dialed != 2*len(addresses) {
		t.Errorf("%d connections opened, want %d", dialed, 2*len(addresses))
	}
}

// Guards against connections that stay open unused when several calls detect a silent one
// at the same time.
func TestConcurrentHedgesKeepOneConnection(t *testing.T) {
	client, links, addresses := newIdleClient(t, 1)
	links.sever()
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			if _, err := client.Exchange(t.Context(), addresses[0], sampleDigest()); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	for limit := time.Now().Add(5 * time.Second); links.open() != 1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d working connections are open, want 1", links.open())
		}
	}
}

// TestSlowPeerKeepsItsConnection checks that the connection to a peer that responds slowly
// is not replaced.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	var slow atomic.Int64 // duration
	_, address := startServer(t, ServerOptions{Exchange: func(_ context.Context, d gossip.Digest) gossip.Digest {
		time.Sleep(time.Duration(slow.Load()))
		return d
	}})
	links := new(severableDialer)
	client := NewClient(Options{Self: "a", Dial: links.dial})
	defer client.Close()
	for range 2 {
		if _, err := client.Exchange(t.Context(), address, sampleDigest()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(minHedgeIdleTime + 50*time.Millisecond)
		slow.Store(int64(2 * hedgeDelay))
	}
	slow.Store(0)
	kept := client.link(address)
	if _, err := client.Exchange(t.Context(), address, sampleDigest()); err != nil || client.link(address) != kept {
		t.Errorf("the connection was replaced (%v)", err)
	}
}
