package routing

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/profile"
)

// ProviderOrder returns the providers with a weight above zero in the order in
// which an organisation tries them. It uses weighted rendezvous hashing, so that
// an organisation keeps its provider and a changed weight moves only the
// necessary share of organisations. The stage is not part of the hash, so that
// an organisation moves in all stages together. Without an organisation, the
// request's key is hashed instead. If all weights are zero, they count as equal.
func ProviderOrder(providers []profile.Provider, organisation, key string) []profile.Provider {
	if len(providers) <= 1 {
		return providers
	}
	sticky := organisation
	if sticky == "" {
		sticky = key
	}
	ranked := rankProviders(providers, xxhash.Sum64String(sticky))
	sort.SliceStable(ranked, func(i, j int) bool { return ranked[i].score > ranked[j].score })
	order := make([]profile.Provider, len(ranked))
	for i, r := range ranked {
		order[i] = r.provider
	}
	return order
}

type rankedProvider struct {
	provider profile.Provider
	score    float64
}

func rankProviders(providers []profile.Provider, sticky uint64) []rankedProvider {
	equal := allWeightsZero(providers)
	ranked := make([]rankedProvider, 0, len(providers))
	for _, p := range providers {
		weight := p.Weight
		if equal {
			weight = 1
		}
		if weight <= 0 {
			continue
		}
		u := unitInterval(mix(sticky, xxhash.Sum64String(p.Name)))
		ranked = append(ranked, rankedProvider{provider: p, score: -weight / math.Log(u)})
	}
	return ranked
}

func allWeightsZero(providers []profile.Provider) bool {
	for _, p := range providers {
		if p.Weight > 0 {
			return false
		}
	}
	return true
}

// mix combines two hashes into one with the finaliser of SplitMix64.
func mix(a, b uint64) uint64 {
	z := a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2))
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// unitInterval maps a hash to the open interval (0, 1).
func unitInterval(h uint64) float64 {
	const bits = 53
	return (float64(h>>(64-bits)) + 0.5) / (1 << bits)
}
