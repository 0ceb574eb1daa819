package emulator

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ServiceOptions of a plain service.
type ServiceOptions struct {
	Work        time.Duration // of one request
	Spread      float64       // the work time varies by this share, up and down
	FailShare   float64       // share of requests that run and get a 500
	AnswerBytes int           // least size of a body
}

// Service is a plain service: slots, a queue, work time.
type Service struct {
	*Target
	plain ServiceOptions
}

// NewService returns a plain server.
func NewService(o TargetOptions, plain ServiceOptions) *Service {
	return &Service{Target: newTarget(o, 0), plain: plain}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.arrive(w, r) {
		return
	}
	k := s.start(w, r, 5, 0)
	if k == nil {
		return
	}
	defer k.release()
	if k.spoil(w) != nil {
		return
	}
	length := float64(s.plain.Work) * (1 + s.plain.Spread*(2*s.float()-1))
	if sleep(k.ctx, k.faults.scale(time.Duration(length))) != nil {
		_ = k.stopped(w, false) // recorded there
		return
	}
	status := http.StatusOK
	if s.float() < s.plain.FailShare {
		status = http.StatusInternalServerError
	}
	k.answer(w, status, plainBody(k.run, s.plain.AnswerBytes))
}

// plainBody names the attempt and the run, so that no two bodies are equal.
func plainBody(run *Run, size int) string {
	body := fmt.Sprintf("%s %s\n", run.Attempt, run.ID)
	return body + strings.Repeat("x", max(0, size-len(body)))
}
