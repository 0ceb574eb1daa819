package stages

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// kind is a sort of request.
type kind struct {
	share           int // of a hundred
	priority        int
	aim, deadline   time.Duration
	cuts, finer     [2]int // least and most pieces
	looks           [2]int
	tokens, tokensO int // of the request's own prompt part, and of its answer
}

// kinds are the callers' requests: talks without pieces, pictures, documents,
// and large documents that nobody waits for.
var kinds = []kind{
	{share: 30, priority: 0, aim: 500 * time.Millisecond, deadline: 2 * time.Second, tokens: 200, tokensO: 60},
	{share: 25, priority: 0, aim: 1200 * time.Millisecond, deadline: 3 * time.Second, looks: [2]int{1, 3}, tokens: 300, tokensO: 60},
	{share: 35, priority: 1, aim: 2500 * time.Millisecond, deadline: 6 * time.Second, cuts: [2]int{2, 6}, looks: [2]int{1, 3}, tokens: 600, tokensO: 90},
	{share: 10, priority: 2, aim: 6 * time.Second, deadline: 15 * time.Second, cuts: [2]int{6, 12}, finer: [2]int{3, 6}, looks: [2]int{2, 4}, tokens: 1500, tokensO: 120},
}

// documentStages is a document's way: what was cut is looked at.
var documentStages = []route.Stage{
	{Service: cutService, ResultBytes: 2 * mb},
	{Service: lookService, After: []int{0}, ResultBytes: mb},
}

// largeStages is the way of a large document: what was cut is cut finer, by the
// same service, and then looked at.
var largeStages = []route.Stage{
	{Service: cutService, ResultBytes: 2 * mb},
	{Service: cutService, After: []int{0}, ResultBytes: mb},
	{Service: lookService, After: []int{1}, ResultBytes: mb},
}

// pictureStages is the way of a request without cuts.
var pictureStages = []route.Stage{{Service: lookService, ResultBytes: mb}}

// Rate of the callers at load 1, in requests a second; for burstFor of every
// burstEvery it is burstFactor times as high.
const (
	callerRate  = 45.0
	burstEvery  = 8 * time.Second
	burstFor    = 2 * time.Second
	burstFactor = 2.5
)

// Sessions, and the sizes of the prompt parts that requests share, in tokens.
const (
	sessions      = 120
	commonTokens  = 800
	sessionTokens = 2000
)

// callers draws all requests of the day before it begins: they do not depend on
// the policy.
func (d *day) callers() {
	r := rand.New(rand.NewPCG(d.o.Seed, 1))
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := callerRate * d.o.Load
		if at%burstEvery < burstFor {
			rate *= burstFactor
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= d.o.Length {
			return
		}
		q := d.request(r, n)
		d.after(at, q.arrive)
	}
}

// request draws one request.
func (d *day) request(r *rand.Rand, n int) *request {
	k := drawKind(r)
	session := fmt.Sprint("session-", r.IntN(sessions))
	id := fmt.Sprintf("r%06d", n)
	q := &request{day: d, kind: k, owner: d.instances[r.IntN(len(d.instances))], pieces: make(map[[2]int]bool)}
	parts := []relay.PromptPart{{ID: "common", Tokens: commonTokens}, {ID: session, Tokens: sessionTokens}, {ID: id, Tokens: k.tokens}}
	q.job = stagework.Job{
		ID: id, Key: id, Priority: k.priority, Service: modelName, Zone: q.owner.zone,
		Prompt: &relay.Prompt{Parts: parts, TokensIn: commonTokens + sessionTokens + k.tokens, TokensOut: k.tokensO},
	}
	switch {
	case k.finer[1] > 0:
		q.job.Stages, q.job.Pieces = largeStages, []int{between(r, k.cuts), between(r, k.finer), between(r, k.looks)}
	case k.cuts[1] > 0:
		q.job.Stages, q.job.Pieces = documentStages, []int{between(r, k.cuts), between(r, k.looks)}
	case k.looks[1] > 0:
		q.job.Stages, q.job.Pieces = pictureStages, []int{between(r, k.looks)}
	}
	d.requests[id] = q
	return q
}

func drawKind(r *rand.Rand) kind {
	u := r.IntN(100)
	for _, k := range kinds {
		if u -= k.share; u < 0 {
			return k
		}
	}
	return kinds[0]
}

func between(r *rand.Rand, bounds [2]int) int { return bounds[0] + r.IntN(bounds[1]-bounds[0]+1) }
