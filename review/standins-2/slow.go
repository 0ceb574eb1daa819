package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

const (
	longAnswer = 600_000
	slowPart   = 8 << 10
	slowPause  = 40 * time.Millisecond
)

// slowConfig has one service, of requests that may be repeated.
func slowConfig() emulator.Config {
	c := earlyConfig()
	c.Services[0].Name, c.Routes[0].Service = "catalogue", "catalogue"
	c.Routes[0].Name, c.Routes[0].PathPrefix, c.Routes[0].Kind, c.Routes[0].MaxAttempts = "read", "/read/", emulator.Idempotent, 2
	return c
}

// slowConn is a client's connection that is read slowly.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return c.Conn.Read(p[:min(len(p), slowPart)])
}

// slow has clients that read long answers slowly, while an instance is restarted as planned.
func slow(ctx context.Context, o options) (v verdict, err error) {
	w, err := emulator.NewWorld(emulator.Deployment{Config: slowConfig(), Random: rand.New(rand.NewPCG(1, 1)), HeartbeatInterval: 1200 * time.Millisecond, Pools: []emulator.Pool{{
		Service: "catalogue", Slots: 64, Queue: 64, Places: []emulator.Place{{Zone: "z1", Count: 2}, {Zone: "z2", Count: 2}},
		Plain: emulator.ServiceOptions{Work: 15 * time.Millisecond, AnswerBytes: longAnswer},
	}}})
	if err != nil {
		return v, err
	}
	defer w.Close()
	defer o.record.sayRuns(w)
	instances, err := newInstances(o.program, o.dir, []string{"z1", "z2"})
	if err != nil {
		return v, err
	}
	for _, i := range instances {
		i.store = w.StoreAddress
		if err = i.start(instances, true); err != nil {
			return v, err
		}
		defer i.stop()
	}
	for _, i := range instances {
		if err = i.ready(ctx); err != nil {
			return v, err
		}
	}
	time.Sleep(5 * time.Second)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := emulator.Loopback{}.Dial(ctx, network, address)
		if err != nil || !o.trouble {
			return c, err
		}
		return slowConn{c}, nil
	}
	to := instances[0]
	client := emulator.NewClient(emulator.ClientOptions{Addresses: []string{to.listen}, Region: "r", Zone: to.zone, Random: rand.New(rand.NewPCG(2, 2)), Dial: dial})
	defer client.Close()
	var asking sync.WaitGroup
	var mu sync.Mutex
	var term time.Time
	began := time.Now()
	for n := 0; time.Since(began) < 6*time.Second && ctx.Err() == nil; n++ {
		if term.IsZero() && time.Since(began) > 4*time.Second {
			mu.Lock()
			term = time.Now()
			mu.Unlock()
			o.record.say("planned work: SIGTERM to %s", to.id)
			to.signal(syscall.SIGTERM)
		}
		path := fmt.Sprintf("/read/%d", n)
		asking.Go(func() {
			a := client.Do(ctx, emulator.Ask{Method: "GET", Host: host, Path: path, Kind: emulator.Idempotent, Deadline: 8 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			v.checked++
			o.record.say("%s %s: sent %.3f, ended after %.3f s, status %d, complete %v, %d bytes, err %v", a.ID, path, a.Sent.Sub(began).Seconds(), a.Ended.Sub(a.Sent).Seconds(), a.Status, a.Complete, len(a.Body), a.Err)
			if a.Status == 200 && !a.Complete && !term.IsZero() && a.Ended.After(term) {
				v.broken++
				o.record.say("BROKEN %s: the connection ended without a complete answer", a.ID)
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	asking.Wait()
	return v, nil
}
