package engine

import (
	"encoding/json"
	"strings"

	"lynxhill.example/lynxhill/internal/standin/targetbase"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// runner implements targetbase.Runner for an engine.
type runner Server

// Check implements targetbase.Runner.
func (r *runner) Check(req *targetapi.RunRequest) *targetapi.Refusal {
	if req.Kind != kindGenerate {
		return &targetapi.Refusal{Code: targetapi.CodeBadInput, Message: "an engine only generates"}
	}
	if req.ResumeOffset < 0 || req.ResumeOffset > len(AnswerOf(req)) {
		return &targetapi.Refusal{Code: targetapi.CodeBadInput, Message: "resume offset out of the answer"}
	}
	if !r.models.ready(req.Model, req.Version, req.Adapter) {
		return &targetapi.Refusal{Code: targetapi.CodeNotLoaded, Message: "model, version or adapter not ready"}
	}
	return nil
}

// Detached implements targetbase.Runner: an engine stops a run when the
// caller goes away.
func (r *runner) Detached() bool { return false }

// Describe implements targetbase.Runner.
func (r *runner) Describe(report *targetapi.LoadReport) {
	report.KVUsed = r.cache.usedShare()
	r.models.describe(report)
}

// Lost implements targetbase.Runner.
func (r *runner) Lost() {
	(*Server)(r).endLife(false)
	r.cache.clear()
	r.models.reset()
}

// Serve implements targetbase.Runner.
func (r *runner) Serve(call *targetbase.Call) {
	answer := AnswerOf(call.Req)
	rest := tokensOf(answer[call.Req.ResumeOffset:])
	if call.Req.ResumeOffset == len(answer) {
		rest = nil
	}
	prompt, ok := r.prefill(call, answer[:call.Req.ResumeOffset])
	if !ok {
		call.Cancelled()
		return
	}
	if call.Plan.Fail {
		call.Refuse(targetapi.CodeFailed, "engine failed", true)
		return
	}
	cost := (float64(len(rest)) + promptPrice*float64(prompt)) * r.opts.Price / tokensPriced
	if call.Req.Stream {
		r.stream(call, answer, rest, cost)
		return
	}
	r.whole(call, answer, rest, cost)
}

// prefill reads the prompt, and for a resumed answer what was delivered of
// it. It returns the prompt tokens that were not cached.
func (r *runner) prefill(call *targetbase.Call, delivered string) (fresh int, ok bool) {
	req := call.Req
	prefix := promptTokens([]byte(req.Prefix))
	prompt := prefix + promptTokens(req.Input, req.Previous, []byte(delivered))
	key := prefixKey{model: req.Model, prefix: PrefixHash(req.Prefix)}
	cached, hit := 0, false
	if prefix > 0 {
		cached, hit = r.cache.lookup(key)
	}
	if !call.Sleep(r.opts.Time.Prefill(prompt, cached)) {
		return 0, false
	}
	if prefix > 0 && !hit {
		r.cache.store(key, prefix)
	}
	return max(0, prompt-cached), true
}

// decode writes the tokens in groups, each as long as the batch at that
// moment makes it.
func (r *runner) decode(call *targetbase.Call, tokens []string, each func(text string, count int) bool) bool {
	for len(tokens) > 0 {
		count := min(r.opts.FrameTokens, len(tokens))
		batch := (*Server)(r).Running()
		if !call.Sleep(r.opts.Time.Decode(count, batch)) {
			return false
		}
		if !each(strings.Join(tokens[:count], ""), count) {
			return false
		}
		tokens = tokens[count:]
	}
	return true
}

func (r *runner) stream(call *targetbase.Call, answer string, rest []string, cost float64) {
	stream := call.Stream()
	offset := call.Req.ResumeOffset
	done := r.decode(call, rest, func(text string, count int) bool {
		sent := stream.Frame(offset, text, count)
		offset += len(text)
		return sent
	})
	if !done {
		stream.Cancelled()
		return
	}
	call.Finish()
	stream.End(len(answer), len(rest), cost)
}

func (r *runner) whole(call *targetbase.Call, answer string, rest []string, cost float64) {
	done := r.decode(call, rest, func(string, int) bool { return true })
	if !done {
		call.Cancelled()
		return
	}
	call.Finish()
	output, _ := json.Marshal(answer)
	call.Reply(output, cost)
}
