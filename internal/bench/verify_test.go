package bench

import (
	"encoding/json"
	"errors"
	"testing"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/standin/engine"
	"lynxhill.example/lynxhill/internal/standin/service"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// The symptom would be cut or strange answers that count as whole. Cause: a
// check that looks at less than the whole text.
func TestCheckWholeFindsCutAlteredAndStrangeAnswers(t *testing.T) {
	input := json.RawMessage(`{"creative":"banner"}`)
	text := engine.AnswerText("lynx-large", "1", "", engine.AnswerInput("agency-1", input))
	stage := profile.Stage{Kind: profile.KindGenerate}
	check := func(text, organisation string) error {
		return CheckWhole(client.Result{Text: text}, stage, organisation, input)
	}
	if err := check(text, "agency-1"); err != nil {
		t.Fatalf("a whole answer: %v", err)
	}
	if err := check(text, "agency-2"); !errors.Is(err, ErrNotOwn) {
		t.Errorf("another organisation's answer: %v", err)
	}
	for cut := range len(text) {
		if err := check(text[:cut], "agency-1"); !errors.Is(err, ErrNotWhole) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
	}
	half := len(text) / 2
	if err := check(text[:half]+text[half-5:], "agency-1"); !errors.Is(err, ErrNotWhole) {
		t.Errorf("a part repeated: %v", err)
	}
}

func TestCheckWholeOfAServiceThatIsNotStreamed(t *testing.T) {
	input := json.RawMessage(`{"order":7}`)
	req := &targetapi.RunRequest{Organisation: "agency-1", Input: input}
	output := service.Output(service.KindService, "book", req)
	stage := profile.Stage{Kind: profile.KindService}
	check := func(output json.RawMessage, organisation string) error {
		return CheckWhole(client.Result{Reply: lynxapi.SendReply{Output: output}}, stage, organisation, input)
	}
	if err := check(output, "agency-1"); err != nil {
		t.Fatalf("a whole answer: %v", err)
	}
	if err := check(output, "agency-2"); !errors.Is(err, ErrNotOwn) {
		t.Errorf("another organisation's answer: %v", err)
	}
	if err := check(nil, "agency-1"); !errors.Is(err, ErrNotWhole) {
		t.Errorf("no answer: %v", err)
	}
}
