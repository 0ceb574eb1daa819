package service

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/standin/targetbase"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Errors of CheckOutput.
var (
	ErrMalformed = errors.New("service: output is cut or altered")
	ErrNotOwn    = errors.New("service: output belongs to another request")
)

// Sizes of the made-up content.
const (
	vectorLength  = 8
	documentCount = 5
	documents     = 10000
)

// Result is the output of a stage.
type Result struct {
	// Own says whose it is: targetbase.OwnDigest of organisation and input.
	Own string `json:"own"`
	// Digest covers kind, stage, organisation, key, input and previous.
	Digest    string    `json:"digest"`
	Kind      string    `json:"kind"`
	Stage     string    `json:"stage"`
	Vector    []float64 `json:"vector,omitempty"`    // encode
	Documents []string  `json:"documents,omitempty"` // retrieve and rerank
	Reference string    `json:"reference,omitempty"` // service
}

// Output returns what any stand-in service answers to a request: the same
// bytes for every attempt.
func Output(kind, stage string, req *targetapi.RunRequest) json.RawMessage {
	digest := targetbase.Digest(
		[]byte(kind), []byte(stage), []byte(req.Organisation), []byte(req.Key),
		targetbase.Compact(req.Input), targetbase.Compact(req.Previous),
	)
	result := Result{
		Own:    targetbase.OwnDigest(req.Organisation, req.Input),
		Digest: digest,
		Kind:   kind,
		Stage:  stage,
	}
	result.fill()
	output, _ := json.Marshal(result)
	return output
}

// fill makes up the content from the digest.
func (r *Result) fill() {
	seed := xxhash.Sum64String(r.Digest)
	switch r.Kind {
	case KindEncode:
		r.Vector = make([]float64, vectorLength)
		for i := range r.Vector {
			r.Vector[i] = float64(byte(seed>>(8*i))) / 255
		}
	case KindRetrieve, KindRerank:
		r.Documents = make([]string, documentCount)
		for i := range r.Documents {
			r.Documents[i] = fmt.Sprintf("doc-%04d", (seed>>(12*i))%documents)
		}
	default:
		r.Reference = "REF-" + r.Digest[:8]
	}
}

// CheckOutput verifies that an output is whole and the one to this
// organisation's input.
func CheckOutput(output json.RawMessage, organisation string, input json.RawMessage) error {
	var result Result
	if err := json.Unmarshal(output, &result); err != nil || len(result.Digest) == 0 {
		return ErrMalformed
	}
	again := Result{Own: result.Own, Digest: result.Digest, Kind: result.Kind, Stage: result.Stage}
	again.fill()
	want, _ := json.Marshal(again)
	if string(want) != string(targetbase.Compact(output)) {
		return ErrMalformed
	}
	if result.Own != targetbase.OwnDigest(organisation, input) {
		return ErrNotOwn
	}
	return nil
}
