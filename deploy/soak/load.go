package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// asked is one request of the load with what came of it.
type asked struct {
	leaving bool      // its client leaves early
	revoked time.Time // when its key was taken away; zero: it wasn't
	last    emulator.Attempt
}

// contact is a connection that a request was given.
type contact struct {
	address string
	at      time.Time
}

// load sends requests at a rate that doesn't depend on the answers.
type load struct {
	clients []*emulator.Client
	config  emulator.Config // of the beginning
	mix     []string        // prefixes of routes; what stands twice comes twice as often
	pieces  string          // Piece-Count of requests on routes with stages
	clump   int             // requests that come at the same moment
	rate    float64
	random  *rand.Rand
	breaks  *rand.Rand // draws of connections that break
	zero    time.Time

	rateFactor atomic.Int64 // multiplies rate
	hotKey     atomic.Bool  // all streams use the same prompt prefix

	working   sync.WaitGroup
	mu        sync.Mutex
	asked     []asked
	contacts  map[string][]contact // by path, which is another one for each ask
	key       string               // of the tenant whose keys change
	old       string               // the key taken away last
	revokedAt time.Time
}

func newLoad(instances []instanceSpec, file worldFile, rate float64, source, breaks *rand.Rand) *load {
	l := &load{config: file.Config, mix: strings.Fields(file.Mix), pieces: file.PieceCount, clump: file.Clump, rate: rate, random: source, breaks: breaks, contacts: make(map[string][]contact), key: "u0", zero: time.Now()}
	l.rateFactor.Store(1)
	var directory []string
	for _, i := range instances {
		directory = append(directory, i.Addresses)
	}
	for n := range 8 {
		source.Shuffle(len(directory), func(a, b int) { directory[a], directory[b] = directory[b], directory[a] })
		l.clients = append(l.clients, emulator.NewClient(emulator.ClientOptions{
			Directory: slices.Clone(directory), Region: "r", Zone: fmt.Sprintf("z%d", 1+n%file.Zones), Retries: 2,
			Random: rand.New(rand.NewPCG(source.Uint64(), uint64(n))), Dial: emulator.Loopback{}.Dial,
		}))
	}
	return l
}

// run asks until ctx ends, then waits for the answers. What is on its way isn't cut.
func (l *load) run(ctx context.Context) {
	defer l.working.Wait()
	next := l.zero
	for n := 0; ; n++ {
		if n%l.clump == 0 {
			next = next.Add(time.Duration(float64(l.clump) * l.random.ExpFloat64() / (l.rate * float64(l.rateFactor.Load())) * float64(time.Second)))
		}
		if !pause(ctx, time.Until(next)) {
			return
		}
		ask, a := l.draw(n)
		client := l.clients[l.random.IntN(len(l.clients))]
		l.working.Go(func() { l.do(client, ask, a) }) // ends by the ask's deadline
	}
}

func (l *load) do(client *emulator.Client, ask emulator.Ask, a asked) {
	trace := httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.contacts[ask.Path] = append(l.contacts[ask.Path], contact{info.Conn.RemoteAddr().String(), time.Now()})
	}}
	a.last = client.Do(httptrace.WithClientTrace(context.Background(), &trace), ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, a)
}

// draw chooses what is asked next.
func (l *load) draw(n int) (emulator.Ask, asked) {
	prefix := l.mix[l.random.IntN(len(l.mix))]
	route := l.config.Route(host, prefix)
	ask := emulator.Ask{
		Method: "POST", Host: host, Path: fmt.Sprintf("%sx?n=%d", prefix, n), Kind: route.Kind, Key: "k", Resume: route.StreamResumption,
		Body: fmt.Appendf(nil, "body %d", n), Deadline: askTime, Header: http.Header{},
	}
	if route.StreamResumption && l.breaks.IntN(4) == 0 {
		ask.BreakAfter = 1 + l.breaks.IntN(5)
	}
	if route.Kind == emulator.Streaming {
		ask.Header.Set("Model", "m")
		ask.Header.Set("Token-Counts", []string{"40,20", "60,400"}[l.random.IntN(2)])
		prefixParts := []any{l.random.IntN(5), l.random.IntN(20)}
		if l.hotKey.Load() {
			prefixParts = []any{0, 0}
		}
		ask.Header.Set("Prompt-Prefix", fmt.Sprintf("a%d:20,b%d:20", prefixParts...))
	}
	if len(route.Stages) > 0 {
		ask.Header.Set("Piece-Count", l.pieces)
		ask.Header.Set("Piece-Key", fmt.Sprintf("p%d", l.random.IntN(200)))
	}
	var a asked
	l.mu.Lock()
	defer l.mu.Unlock()
	switch draw := l.random.Float64(); {
	case draw < 0.03:
		ask.GiveUp, a.leaving = time.Duration(20+l.random.IntN(300))*time.Millisecond, true
	case route.AnonymousAccess:
		ask.Key = ""
	case draw < 0.15:
		ask.Key = l.key
	case draw < 0.25 && l.old != "":
		ask.Key, a.revoked = l.old, l.revokedAt
	}
	return ask, a
}

// useKeys changes the key that is used, and the one that was taken away just now.
func (l *load) useKeys(key, old string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.key, l.old, l.revokedAt = key, old, time.Now()
}

// setAggressiveRetry sets the retry mode of all clients.
func (l *load) setAggressiveRetry(on bool) {
	for _, c := range l.clients {
		c.SetAggressiveRetry(on)
	}
}
