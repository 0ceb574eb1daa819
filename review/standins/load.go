package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// load sends requests at a rate that doesn't depend on the answers.
type load struct {
	play    scenario
	random  *rand.Rand
	clients []*emulator.Client
	record  *recorder
	working sync.WaitGroup
}

// clientsPerZone is the number of clients in each zone.
const clientsPerZone = 4

func newLoad(instances []instance, play scenario, record *recorder) *load {
	l := &load{play: play, random: rand.New(rand.NewPCG(seed, 2)), record: record}
	for n := range clientsPerZone * instanceCount {
		var directory []string
		for k := range instances { // the nearest first
			directory = append(directory, instances[(n+k)%len(instances)].Directory)
		}
		l.clients = append(l.clients, emulator.NewClient(emulator.ClientOptions{
			Directory: directory, Region: "dar", Zone: instances[n%len(instances)].Zone, Retries: 1,
			Random: rand.New(rand.NewPCG(seed, 100+uint64(n))), Dial: emulator.Loopback{}.Dial,
		}))
	}
	return l
}

// run sends requests for the given time, then waits for their answers.
func (l *load) run(duration time.Duration) {
	defer l.working.Wait()
	next, end := time.Now(), time.Now().Add(duration)
	for n := 0; ; n++ {
		next = next.Add(time.Duration(l.random.ExpFloat64() * float64(time.Second) * float64(l.play.clump) / l.play.rate))
		if next.After(end) {
			return
		}
		time.Sleep(time.Until(next))
		for k := range l.play.clump {
			ask := l.play.ask(n*l.play.clump+k, l.random)
			client := l.clients[l.random.IntN(len(l.clients))]
			l.working.Go(func() { client.Do(context.Background(), ask) }) // ends by the ask's deadline
		}
	}
}

// attempts returns all attempts, those of one client in their order.
func (l *load) attempts() []emulator.Attempt {
	var all []emulator.Attempt
	for _, c := range l.clients {
		all = append(all, c.Attempts()...)
	}
	return all
}

func pathOf(prefix string, n int) string { return fmt.Sprintf("%sx?n=%d", prefix, n) }
