package bench

import (
	"encoding/json"
	"errors"
	"fmt"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/standin/engine"
	"lynxhill.example/lynxhill/internal/standin/service"
)

// What can be wrong with an answer.
var (
	// ErrNotWhole: something of the answer is missing, repeated or altered.
	ErrNotWhole = errors.New("bench: the answer is not whole")
	// ErrNotOwn: the answer belongs to another request.
	ErrNotOwn = errors.New("bench: the answer belongs to another request")
	// ErrDoubled: a part of the answer was delivered more than once.
	ErrDoubled = errors.New("bench: a part of the answer was delivered twice")
)

// CheckWhole verifies that a result is the whole answer to the organisation's
// own input. The stand-ins' answers carry a digest of what they answer.
func CheckWhole(result client.Result, last profile.Stage, organisation string, input json.RawMessage) error {
	var err error
	if last.Kind == profile.KindGenerate {
		err = engine.CheckAnswer(result.Text, organisation, input)
	} else {
		err = service.CheckOutput(result.Reply.Output, organisation, input)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, engine.ErrNotOwn), errors.Is(err, service.ErrNotOwn):
		return fmt.Errorf("%w: %w", ErrNotOwn, err)
	default:
		return fmt.Errorf("%w: %w", ErrNotWhole, err)
	}
}

// singleRunServices are the plain services of both deployments whose calls
// may not be repeated, by the profiles that the bench declares.
func singleRunServices(list []profile.Profile) []string {
	var services []string
	for _, p := range list {
		for _, stage := range p.Stages {
			if stage.Idempotent {
				continue
			}
			for _, provider := range stage.Providers {
				services = append(services, provider.Service)
			}
		}
	}
	return services
}
