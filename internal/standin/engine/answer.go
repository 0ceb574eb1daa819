package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/standin/targetbase"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Length of an answer in tokens. A token is a word with the space after it.
const (
	minTokens     = 16 // the opening and closing words among them
	defaultTokens = 96
	frameWords    = 8 // tokens of the opening and closing
)

var vocabulary = strings.Fields(`flight creative banner order curve band gain filter report dealer fitter headset
	campaign publisher rule line item note desk zone review level tone shelf treble bass profile pair saved answer`)

// Errors of CheckAnswer.
var (
	ErrMalformed = errors.New("engine: answer is cut or altered")
	ErrNotOwn    = errors.New("engine: answer belongs to another request")
)

// AnswerInput is the part of a request that decides whose answer it is, in
// the form that AnswerText takes.
func AnswerInput(organisation string, input json.RawMessage) string {
	return targetbase.OwnDigest(organisation, input)
}

// AnswerText returns the whole answer of any engine to an input: the same
// text for every attempt, so that a resumed stream can be checked byte for
// byte. The input is that of AnswerInput.
func AnswerText(model, version, adapter, input string) string {
	return AnswerTextMax(model, version, adapter, input, 0)
}

// AnswerTextMax is AnswerText for a request with MaxTokens, which bounds the
// length (never below 16 tokens). 0 means 96.
func AnswerTextMax(model, version, adapter, input string, maxTokens int) string {
	if maxTokens <= 0 {
		maxTokens = defaultTokens
	}
	maxTokens = max(maxTokens, minTokens)
	least := max(minTokens, maxTokens/2)
	own := targetbase.Digest([]byte(input))
	tokens := least + int(xxhash.Sum64String(own)%uint64(maxTokens-least+1))
	return compose(model, version, adapter, own, tokens)
}

// AnswerOf returns the answer to a run request.
func AnswerOf(req *targetapi.RunRequest) string {
	input := AnswerInput(req.Organisation, req.Input)
	return AnswerTextMax(req.Model, req.Version, req.Adapter, input, req.MaxTokens)
}

// compose writes an answer of exactly that many tokens. Opening and closing
// hold the owner's digest, the closing also the length in bytes.
func compose(model, version, adapter, own string, tokens int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[answer own=%s model=%s version=%s adapter=%s tokens=%d]",
		own, url.QueryEscape(model), url.QueryEscape(version), url.QueryEscape(adapter), tokens)
	seed := xxhash.Sum64String(b.String())
	rng := rand.New(rand.NewPCG(seed, seed))
	for range tokens - frameWords {
		b.WriteString(" " + vocabulary[rng.IntN(len(vocabulary))])
	}
	fmt.Fprintf(&b, " [end %d]", b.Len())
	return b.String()
}

// CheckAnswer verifies that a text is a whole answer (nothing missing,
// repeated or altered) and the one to this organisation's input.
func CheckAnswer(text, organisation string, input json.RawMessage) error {
	fields := strings.Fields(text)
	if len(fields) < frameWords {
		return ErrMalformed
	}
	own := strings.TrimPrefix(fields[1], "own=")
	model, errModel := field(fields[2], "model=")
	version, errVersion := field(fields[3], "version=")
	adapter, errAdapter := field(fields[4], "adapter=")
	count, _ := field(strings.TrimSuffix(fields[5], "]"), "tokens=")
	tokens, errTokens := strconv.Atoi(count)
	if err := errors.Join(errModel, errVersion, errAdapter, errTokens); err != nil {
		return ErrMalformed
	}
	if tokens != len(fields) || text != compose(model, version, adapter, own, tokens) {
		return ErrMalformed
	}
	if own != targetbase.Digest([]byte(AnswerInput(organisation, input))) {
		return ErrNotOwn
	}
	return nil
}

func field(word, name string) (string, error) {
	value, ok := strings.CutPrefix(word, name)
	if !ok {
		return "", ErrMalformed
	}
	return url.QueryUnescape(value)
}

// tokensOf cuts a text into tokens; joined they give the text.
func tokensOf(text string) []string { return strings.SplitAfter(text, " ") }
