package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// What crashes servers, and how often it is sent.
const (
	poisonPath     = "/talk/bad"
	poisonPart     = "bad"
	poisonPieceKey = "bad"
	poisonBack     = 1200 * time.Millisecond // after which a crashed server is back
	poisonInterval = 120 * time.Millisecond
	minPoisonPause = 2 * time.Second
	maxPoisonPause = 6 * time.Second // before the first kind begins, and between the kinds
)

// poison sends what crashes servers: from some moment on a request whose query differs each
// time, from another one on requests with one part in their prompts, no two alike, and from
// a third one on requests whose pieces crash stage servers.
type poison struct {
	instances []instanceSpec
	client    map[string]*emulator.Client // by id of the instance
	random    *rand.Rand

	mu     sync.Mutex // guards the fields below
	faults []storeFault
}

func newPoison(instances []instanceSpec, source *rand.Rand) *poison {
	p := &poison{instances: instances, client: make(map[string]*emulator.Client), random: source}
	for n, i := range instances {
		p.client[i.ID] = emulator.NewClient(emulator.ClientOptions{
			Addresses: []string{i.Listen}, Random: rand.New(rand.NewPCG(source.Uint64(), uint64(n))), Dial: emulator.Loopback{}.Dial,
		})
	}
	return p
}

func (p *poison) clients() (all []*emulator.Client) {
	for _, i := range p.instances {
		all = append(all, p.client[i.ID])
	}
	return all
}

// linkFault records that the links of an instance, "" = all, are hurt for a while from now.
func (p *poison) linkFault(instance string, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.faults = append(p.faults, storeFault{instance: instance, from: now, to: now.Add(length)})
}

// run sends until ctx ends, then waits for the answers.
func (p *poison) run(ctx context.Context, w *emulator.World, note func(kind, subject string)) {
	w.SetPoison(emulator.Poison{PathPrefix: poisonPath, Parts: []string{poisonPart}, PieceKeys: []string{poisonPieceKey}, BackAfter: poisonBack, SameAddress: p.random.IntN(2) == 0})
	kinds := []string{"poison-request", "poison-part", "poison-pieces"}
	p.random.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
	var working sync.WaitGroup
	defer working.Wait()
	sent := 0
	for begun := 0; begun < len(kinds); begun++ {
		until := time.Now().Add(minPoisonPause + time.Duration(p.random.Int64N(int64(maxPoisonPause-minPoisonPause))))
		for time.Now().Before(until) {
			if !pause(ctx, poisonInterval) {
				return
			}
			if begun > 0 {
				sent++
				p.send(&working, kinds[p.random.IntN(begun)], sent)
			}
		}
		note(kinds[begun], "")
	}
	for ; pause(ctx, poisonInterval); sent++ {
		p.send(&working, kinds[p.random.IntN(len(kinds))], sent)
	}
}

// send sends one request to a random instance.
func (p *poison) send(working *sync.WaitGroup, kind string, n int) {
	ask := emulator.Ask{
		Method: "POST", Host: host, Path: fmt.Sprintf("%s?n=%d", poisonPath, n), Kind: emulator.Streaming, Key: "k",
		Body: []byte("bad"), Deadline: askTime, Header: http.Header{"Model": {"m"}, "Token-Counts": {"40,20"}, "Prompt-Prefix": {fmt.Sprintf("a1:20,q%d:20", n)}},
	}
	switch kind {
	case "poison-pieces":
		ask.Path, ask.Body = fmt.Sprintf("/staged/p%d", n), fmt.Appendf(nil, "bad pieces %d", n)
		ask.Header.Set("Piece-Count", "1,1")
		ask.Header.Set("Piece-Key", poisonPieceKey)
	case "poison-part":
		ask.Path, ask.Body = fmt.Sprintf("/talk/p%d", n), fmt.Appendf(nil, "bad part %d", n)
		ask.Header.Set("Prompt-Prefix", fmt.Sprintf("a1:20,%s:20,q%d:20", poisonPart, n))
	}
	client := p.client[p.instances[p.random.IntN(len(p.instances))].ID]
	working.Go(func() { client.Do(context.Background(), ask) }) // ends by the ask's deadline
}

// judge returns what went on reaching servers, sent by instances in touch.
func (p *poison) judge(w *emulator.World, counts func(instance string, sent, ended time.Time) bool) []emulator.Violation {
	type sending struct {
		instance    string
		sent, ended time.Time
	}
	by := make(map[string]sending)
	for id, c := range p.client {
		for _, a := range c.Attempts() {
			by[a.ID] = sending{id, a.Sent, a.Ended}
		}
	}
	return w.CheckCrashesOf(touchTime, func(attempt string) bool {
		s := by[attempt]
		return counts(s.instance, s.sent, s.ended) && !p.linksHurt(s.instance, s.sent, s.ended)
	})
}

// linksHurt reports whether the links of the instance were hurt during an attempt or within
// touchTime before it.
func (p *poison) linksHurt(instance string, sent, ended time.Time) bool {
	from := sent.Add(-touchTime)
	return slices.ContainsFunc(p.faults, func(f storeFault) bool {
		return (f.instance == "" || f.instance == instance) && f.from.Before(ended) && f.to.After(from)
	})
}

// instancesOf returns the id of the instance that an attempt was sent to, or nil if it was
// not sent here.
func (p *poison) instancesOf(a emulator.Attempt) (ids []string) {
	for id, c := range p.client {
		if slices.ContainsFunc(c.Attempts(), func(sent emulator.Attempt) bool { return sent.ID == a.ID }) {
			ids = append(ids, id)
		}
	}
	return ids
}
