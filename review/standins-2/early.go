package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

const (
	host        = "a.example"
	answerBytes = 800
	bodyBytes   = 400_000
	serverCount = 5
)

// earlyConfig has one service, of requests that may run once.
func earlyConfig() emulator.Config {
	return emulator.Config{
		Version: 1, Limits: emulator.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 2000, IdleTimeoutMs: 5000},
		Services: []emulator.ServiceConfig{{Name: "booking", HealthPath: "/health", ConnectionLimit: 220}},
		Routes: []emulator.Route{{
			Name: "book", Host: host, PathPrefix: "/book/", Kind: emulator.NonIdempotent, TimeoutMs: 8000, TargetLatencyMs: 2000,
			Service: "booking", MaxAttempts: 1, AnonymousAccess: true,
		}},
	}
}

// early has servers that answer before they have read a long body. One of them loses the
// path to one of the instances, and crashes some seconds later.
func early(ctx context.Context, o options) (v verdict, err error) {
	random := rand.New(rand.NewPCG(1, 1))
	w, err := emulator.NewWorld(emulator.Deployment{Config: earlyConfig(), Random: random, HeartbeatInterval: 1200 * time.Millisecond, Pools: []emulator.Pool{{
		Service: "booking", Slots: 64, Queue: 64, Plain: emulator.ServiceOptions{Work: 5 * time.Millisecond, AnswerBytes: answerBytes},
	}}})
	if err != nil {
		return v, err
	}
	defer w.Close()
	defer o.record.sayRuns(w)
	fronts, err := openFronts(w)
	if err != nil {
		return v, err
	}
	cutOff := fronts[0]
	way, err := newPath(cutOff.address())
	if err != nil {
		return v, err
	}
	instances, err := newInstances(o.program, o.dir, []string{"z1", "z2", "z1", "z2"})
	if err != nil {
		return v, err
	}
	listed := make(map[string]string)
	for _, f := range fronts {
		listed[f.behind] = f.address()
	}
	for n, i := range instances {
		own := make(map[string]string)
		for behind, address := range listed {
			own[behind] = address
		}
		if n == 0 {
			own[cutOff.behind] = way.address()
		}
		if i.store, err = storeFront(w.Store, own); err != nil {
			return v, err
		}
		if err = i.start(instances[:3], true); err != nil {
			return v, err
		}
		defer i.stop()
	}
	for _, i := range instances {
		if err = i.ready(ctx); err != nil {
			return v, err
		}
	}
	time.Sleep(6 * time.Second) // all know each other
	return v, ask(ctx, o, instances[0], way, cutOff, &v)
}

// openFronts starts the servers, each before a stand-in.
func openFronts(w *emulator.World) (fronts []*front, err error) {
	for n := range serverCount {
		s, err := w.Add("booking", fmt.Sprintf("z%d", 1+n%2), "")
		if err != nil {
			return nil, err
		}
		f, err := newFront(1500 * time.Millisecond)
		if err != nil {
			return nil, err
		}
		f.behind = s.Address
		go f.serve()
		fronts = append(fronts, f)
	}
	return fronts, nil
}

// ask sends requests to the instance and checks the answers.
func ask(ctx context.Context, o options, to *instance, way *path, cutOff *front, v *verdict) error {
	client := emulator.NewClient(emulator.ClientOptions{Addresses: []string{to.listen}, Region: "r", Zone: to.zone, Random: rand.New(rand.NewPCG(2, 2)), Dial: emulator.Loopback{}.Dial})
	defer client.Close()
	body := bytes.Repeat([]byte("b"), bodyBytes)
	var asking sync.WaitGroup
	var mu sync.Mutex
	began, cut, crashed := time.Now(), false, false
	for n := 0; time.Since(began) < 6*time.Second && ctx.Err() == nil; n++ {
		if o.trouble && !cut && time.Since(began) >= 0 {
			cut = true
			way.refuse()
			o.record.say("disruption: the path from %s to the server behind %s is cut; connections are refused", to.id, cutOff.behind)
		}
		if o.trouble && !crashed && time.Since(began) > 4*time.Second {
			crashed = true
			o.record.say("disruption: the server behind %s crashes, with %d connections", cutOff.behind, cutOff.crash())
		}
		path := fmt.Sprintf("/book/%d", n)
		asking.Go(func() {
			a := client.Do(ctx, emulator.Ask{Method: "POST", Host: host, Path: path, Body: body, Kind: emulator.NonIdempotent, Deadline: 8 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			v.checked++
			whole := a.Status == 200 && a.Complete
			o.record.say("%s %s: status %d, complete %v, %d bytes, err %v", a.ID, path, a.Status, whole, len(a.Body), a.Err)
			if whole && len(a.Body) != answerBytes {
				v.broken++
				o.record.say("BROKEN %s: a success that looks complete has %d of the %d bytes of the server's body", a.ID, len(a.Body), answerBytes)
			}
		})
		time.Sleep(80 * time.Millisecond)
	}
	asking.Wait()
	if v.checked == 0 {
		return fmt.Errorf("no request was sent")
	}
	return nil
}
