package routing

import (
	"fmt"
	"testing"

	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

var benchSizes = []int{12, 100, 600}

// BenchmarkChoose measures one choice by policy and number of targets. There are
// nine models, of which each target has two loaded.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range Policies() {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("%s/targets=%d", policy, n), func(b *testing.B) {
				p := modelPick(policy)
				benchChoose(b, n, p)
			})
		}
	}
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("prefix/targets=%d", n), func(b *testing.B) {
			p := modelPick(PolicyTwoChoices)
			p.Query.Prefix = "system prompt"
			benchChoose(b, n, p)
		})
	}
}

func modelPick(policy Policy) ChooseParams {
	p := newPick(fixedView{})
	p.Policy = policy
	p.Provider = profile.Provider{Name: "p", Service: "pool", Model: "m4", Version: "1"}
	return p
}

func benchChoose(b *testing.B, n int, p ChooseParams) {
	bd := newBoard(n, "a1", "a2", "a3", "a4", "b1", "b2", "b3")
	for i := range n {
		held := []targetapi.LoadedModel{
			{Model: fmt.Sprintf("m%d", i%9), Version: "1", Ready: true},
			{Model: fmt.Sprintf("m%d", (i/9)%9), Version: "1", Ready: true},
		}
		putLoad(bd, fmt.Sprintf("t%03d", i), i%8, start, held...)
	}
	c := newChooser(bd)
	b.ReportAllocs()
	for b.Loop() {
		p.Turn++
		if _, verdict := c.Choose(p); verdict != Chosen {
			b.Fatalf("verdict %d", verdict)
		}
	}
}

// BenchmarkIndexBuild measures the rebuild of the index that the first choice
// after a change of a target has to do.
func BenchmarkIndexBuild(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			x := NewIndex(newBoard(n, "a1", "a2", "b1"))
			b.ReportAllocs()
			for b.Loop() {
				x.build()
			}
		})
	}
}
