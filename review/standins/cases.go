package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// scenario is a case.
type scenario struct {
	deployment func(emulator.Network) emulator.Deployment
	rate       float64 // requests a second
	clump      int     // requests that come at the same moment
	duration   time.Duration
	rules      []string // names of the emulator's checks
	ask        func(n int, random *rand.Rand) emulator.Ask
	disrupt    func(*emulator.World, *faultyNetwork, *recorder)
}

var cases = map[string]scenario{
	"1": {
		deployment: stagedDeployment, rate: 12, clump: 1, duration: 80 * time.Second,
		rules: []string{emulator.NameMixed}, ask: stagedAsk,
		disrupt: func(w *emulator.World, n *faultyNetwork, r *recorder) {
			for k := range 13 {
				spoilFor(w, n, r, stageServices[k%2]) // the first two stages by turns
			}
		},
	},
	"2": {
		deployment: plainDeployment, rate: 300, clump: 31, duration: 80 * time.Second,
		rules: []string{emulator.NameTwice, emulator.NameRefused}, ask: plainAsk,
		disrupt: func(w *emulator.World, n *faultyNetwork, r *recorder) {
			for range 13 {
				spoilFor(w, n, r, plainService)
			}
		},
	},
}

// The dose of the site's garbled answers: a share of the servers of a service sends a share
// of its answers twice, for some seconds. A pause follows.
const (
	faultyServers = 0.6
	faultyAnswers = 0.03
	faultyTime    = 5 * time.Second
	faultyPause   = time.Second
)

func spoilFor(w *emulator.World, n *faultyNetwork, r *recorder, service string) {
	servers := w.Servers(service)
	wanted := faultyServers * float64(len(servers))
	count := math.Ceil(wanted)
	answers := faultyAnswers * wanted / count // less where the share was rounded up to a server
	var addresses []string
	for _, s := range servers[:int(count)] {
		addresses = append(addresses, s.Address)
	}
	time.Sleep(faultyPause)
	r.note("%d of %d servers of %s send %v of their answers twice", len(addresses), len(servers), service, answers)
	end := n.spoil(addresses, answers)
	time.Sleep(faultyTime)
	end()
	r.note("they are sound")
}

const (
	host         = "pule25.example"
	pool         = "lynx-pool"
	plainService = "device-api"
	model        = "m"
	key          = "9dnn2ctnfzs989anu6ws"
)

// stageServices are the services of the stages, in the order of the stages.
var stageServices = []string{"ledger-bridge", "dealer-portal", "fitting-desk"}

// eachZone places servers in all zones, one more in the first.
func eachZone(more bool) []emulator.Place {
	var places []emulator.Place
	for n := 1; n <= instanceCount; n++ {
		count := 1
		if more && n == 1 {
			count = 2
		}
		places = append(places, emulator.Place{Zone: zoneOf(n), Count: count})
	}
	return places
}

func baseDeployment(network emulator.Network) emulator.Deployment {
	return emulator.Deployment{
		Config: emulator.Config{
			Version: 3,
			Limits:  emulator.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 2000, IdleTimeoutMs: 10000},
			Tenants: []emulator.Tenant{{Name: "bozi300", APIKeys: []string{key}}},
		},
		Network: network, Random: rand.New(rand.NewPCG(seed, 3)),
		HeartbeatInterval: 1200 * time.Millisecond, DrainTimeout: 2 * time.Second,
	}
}

// stagedDeployment has a route whose requests pass three stages before a model server.
func stagedDeployment(network emulator.Network) emulator.Deployment {
	d := baseDeployment(network)
	engine := emulator.EngineConfig{Slots: 48, KVCacheTokens: 596697, Stride: 3, Models: []emulator.ModelName{{Name: model}}}
	d.Config.Services = []emulator.ServiceConfig{{Name: pool, HealthPath: "/health", ConnectionLimit: 220, InferenceEngine: &engine}}
	d.Pools = []emulator.Pool{{Service: pool, Places: eachZone(false), Queue: 144, LoadHeader: true, Engine: emulator.EngineOptions{PrefillPerMS: 110, Step: 6 * time.Millisecond}}}
	calls := []emulator.PieceConfig{{Batch: 10, ItemLatencyMs: 17, HeadroomMb: 22}, {Batch: 28, ItemLatencyMs: 6.1, HeadroomMb: 3.7}, {Batch: 70, ItemLatencyMs: 2.4, HeadroomMb: 0.93}}
	sizes := []int64{8000, 60000, 6000}
	var stages []emulator.Stage
	for n, service := range stageServices {
		pieces := calls[n]
		pieces.Slots, pieces.Queue, pieces.CallLatencyMs, pieces.HandleTTLS, pieces.LinkMbps = 1, 2, 200, 4, 10000
		d.Config.Services = append(d.Config.Services, emulator.ServiceConfig{Name: service, HealthPath: "/health", ConnectionLimit: 220, Pieces: &pieces})
		d.Pools = append(d.Pools, emulator.Pool{Service: service, Places: eachZone(true), LoadHeader: true, Stage: emulator.StageOptions{ResultBytes: map[int]int64{n: sizes[n]}}})
		stage := emulator.Stage{Service: service, After: []int{}, ByteCount: sizes[n]}
		if n > 0 {
			stage.After = []int{n - 1}
		}
		stages = append(stages, stage)
	}
	d.Config.Routes = []emulator.Route{{
		Name: "curve-explain", Host: host, PathPrefix: "/puxa400/", Kind: emulator.Streaming, Service: pool, TimeoutMs: 6000,
		TargetLatencyMs: 1600, EventGapMs: 200, MaxAttempts: 2, SessionAffinity: true, StreamResumption: true, Stages: stages,
	}}
	return d
}

func stagedAsk(n int, random *rand.Rand) emulator.Ask {
	names, err := headerNames()
	if err != nil {
		panic(err) // the case can't run
	}
	header := make(http.Header)
	header.Set(names["headerModel"], model)
	header.Set(names["headerTokens"], "1800,24")
	header.Set(names["headerPrompt"], fmt.Sprintf("5c1e%04x:341,91bd%06x:1459", random.IntN(20), n))
	header.Set(names["headerPieces"], fmt.Sprintf("1,4,%d", 8+random.IntN(4)))
	header.Set(names["headerPieceKey"], fmt.Sprintf("7c1e%06x", n))
	return emulator.Ask{
		Method: "POST", Host: host, Path: pathOf("/puxa400/", n), Kind: emulator.Streaming, Resume: true, Key: key,
		Body: []byte(fmt.Sprintf("request %d", n)), Deadline: 6 * time.Second, Header: header,
	}
}

// plainDeployment has a service whose requests may not be repeated. Its server is full for
// milliseconds at a time.
func plainDeployment(network emulator.Network) emulator.Deployment {
	d := baseDeployment(network)
	d.Config.Services = []emulator.ServiceConfig{{Name: plainService, HealthPath: "/health", ConnectionLimit: 220}}
	d.Pools = []emulator.Pool{{
		Service: plainService, Places: eachZone(false)[:1], Slots: 24, Queue: 4, LoadHeader: true,
		Plain: emulator.ServiceOptions{Work: 15 * time.Millisecond, Spread: 0.5, AnswerBytes: 800},
	}}
	d.Config.Routes = []emulator.Route{{
		Name: "profile-fetch", Host: host, PathPrefix: "/bobo563/", Kind: emulator.NonIdempotent, Service: plainService,
		TimeoutMs: 1500, TargetLatencyMs: 300, MaxAttempts: 1,
	}}
	return d
}

func plainAsk(n int, _ *rand.Rand) emulator.Ask {
	return emulator.Ask{
		Method: "POST", Host: host, Path: pathOf("/bobo563/", n), Kind: emulator.NonIdempotent, Key: key,
		Body: []byte(fmt.Sprintf("request %d", n)), Deadline: 1500 * time.Millisecond, Header: make(http.Header),
	}
}
