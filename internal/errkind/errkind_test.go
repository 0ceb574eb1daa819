package errkind_test

import (
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

func TestEveryKindHasItsAnswerAndItsEvent(t *testing.T) {
	names := make(map[string]bool)
	for _, k := range errkind.Kinds() {
		a := k.Answer()
		if a.Name == "" || a.Meaning == "" || a.RunState == "" || a.Resend == "" || a.Status < 400 || a.Status > 599 {
			t.Errorf("kind %d has an incomplete or invalid row: %+v", k, a)
		}
		if names[a.Name] {
			t.Errorf("two kinds have the name %s", a.Name)
		}
		names[a.Name] = true
		def := event.Lookup(event.ID(a.Event))
		if def.Name != "request_"+a.Name || def.Meaning != a.Meaning {
			t.Errorf("kind %s has event %d %s: %s", a.Name, a.Event, def.Name, def.Meaning)
		}
		if back, ok := errkind.ParseKind(a.Name); !ok || back != k {
			t.Errorf("name %s is parsed as %v", a.Name, back)
		}
	}
}

// Guards against advice that causes a second run: a caller may be advised to
// retry at another instance without querying the outcome only with not_run.
func TestAdviceToResendElsewhereGoesWithNotRun(t *testing.T) {
	for _, k := range errkind.Kinds() {
		if a := k.Answer(); a.Resend == errkind.ResendElsewhere && a.RunState != errkind.NotRun {
			t.Errorf("%s: %s with %s", a.Name, a.Resend, a.RunState)
		}
	}
}

func TestBodyCarriesAnErrorOverTheWire(t *testing.T) {
	err := errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "queue of %s", "lynx-pool"), 2*time.Second)
	body := errkind.BodyOf(err, "r1")
	back := body.Err()
	if !errkind.Is(back, errkind.Overloaded) || errkind.RetryAfter(back) != 2*time.Second || !strings.Contains(back.Error(), "lynx-pool") {
		t.Fatalf("body %+v, back %v", body, back)
	}
}

func TestInternalDetailsStayInTheLog(t *testing.T) {
	if body := errkind.BodyOf(errkind.New(errkind.Internal, "secret detail"), ""); strings.Contains(body.Message, "secret") {
		t.Fatalf("body %+v", body)
	}
}
