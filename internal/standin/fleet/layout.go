package fleet

import (
	"fmt"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/standin/service"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Names of the deployments.
const (
	MediaPlace  = "mediaplace"
	Kilimanjaro = "kilimanjaro"
)

// Names of the providers that both users are moving between.
const (
	ProviderOld = "old"
	ProviderNew = "new"
)

// Services that both deployments have.
const (
	ServicePool       = "lynx-pool"
	ServiceEncoders   = "encoders"
	ServiceRetrievers = "retrievers"
	ServiceRerankers  = "rerankers"

	kindGenerate = "generate"
)

// One-way latencies of the deployments between their zones, and between a
// client and its zone.
const (
	LatencyMediaPlace  = time.Millisecond
	LatencyKilimanjaro = 1500 * time.Microsecond
	LatencyClient      = time.Millisecond
)

// layout is what a deployment consists of.
type layout struct {
	region        string
	zones         []string
	latency       time.Duration // one way, between zones
	pools         []pool
	organisations []string
}

// pool is the set of targets of one service.
type pool struct {
	service string
	kind    string
	count   int
	median  time.Duration // service time at time scale 1
	cost    float64       // of one run
}

// provider is how the engines of a provider differ.
type provider struct {
	name     string
	perToken time.Duration
	price    float64 // of 1000 written tokens
}

var providers = [2]provider{
	{name: ProviderOld, perToken: 2000 * time.Microsecond, price: 1.0},
	{name: ProviderNew, perToken: 2200 * time.Microsecond, price: 0.6},
}

// modelPools are the pools that both deployments have.
var modelPools = []pool{
	{service: ServicePool, kind: kindGenerate, count: 12},
	{service: ServiceEncoders, kind: service.KindEncode, count: 4, median: 4 * time.Millisecond, cost: 0.02},
	{service: ServiceRetrievers, kind: service.KindRetrieve, count: 4, median: 6 * time.Millisecond, cost: 0.03},
	{service: ServiceRerankers, kind: service.KindRerank, count: 4, median: 8 * time.Millisecond, cost: 0.05},
}

func plain(name string, count int, median time.Duration, cost float64) pool {
	return pool{service: name, kind: service.KindService, count: count, median: median, cost: cost}
}

var layouts = map[string]layout{
	MediaPlace: {
		region:  "tunis",
		zones:   []string{"lac-a", "lac-b", "charguia", "ariana"},
		latency: LatencyMediaPlace,
		pools: append(slices.Clone(modelPools),
			plain("traffic-api", 4, 4*time.Millisecond, 0.01),
			plain("booking", 5, 10*time.Millisecond, 0.05),
			plain("billing", 5, 8*time.Millisecond, 0.04),
			plain("reporting", 5, 12*time.Millisecond, 0.02),
		),
		organisations: numbered("agency"),
	},
	Kilimanjaro: {
		region:  "dar-es-salaam",
		zones:   []string{"msasani", "kariakoo", "mikocheni", "upanga"},
		latency: LatencyKilimanjaro,
		pools: append(slices.Clone(modelPools),
			plain("device-api", 4, 4*time.Millisecond, 0.01),
			plain("ledger-bridge", 5, 10*time.Millisecond, 0.05),
			plain("dealer-portal", 5, 6*time.Millisecond, 0.02),
			plain("fitting-desk", 5, 8*time.Millisecond, 0.03),
		),
		organisations: numbered("dealer"),
	},
}

const organisationCount = 5

func numbered(name string) []string {
	all := make([]string, organisationCount)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%d", name, i+1)
	}
	return all
}

// Names returns the names of the deployments.
func Names() []string { return []string{MediaPlace, Kilimanjaro} }

// Organisations returns a deployment's organisations, the large ones first.
func Organisations(name string) []string { return slices.Clone(layouts[name].organisations) }

// OrganisationWeights returns the share of the traffic of each organisation
// in Organisations: two are large.
func OrganisationWeights(string) []float64 { return []float64{0.45, 0.30, 0.10, 0.10, 0.05} }

// Models returns the models that a deployment's engines have loaded by
// default: the version in use and the one it is moving to.
func Models(name string) []targetapi.LoadedModel {
	adapters := map[string][]string{
		MediaPlace:  {"creative-check", "trafficking-notes"},
		Kilimanjaro: {"tuning-report", "curve-explainer"},
	}
	var models []targetapi.LoadedModel
	for _, model := range []string{"lynx-large", "lynx-small"} {
		for _, version := range []string{"1", "2"} {
			models = append(models, targetapi.LoadedModel{
				Model: model, Version: version, Adapters: adapters[name], Ready: true,
			})
		}
	}
	return models
}
