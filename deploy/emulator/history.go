package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// Arrival is a request of a client at a server, whether the server ran it or not.
type Arrival struct {
	Server, Service, Version string
	Connection               string // address of its other end
	Before                   int    // requests of clients that had arrived on the connection
	At                       time.Time
	Run                      string // id of the run; "" = it did not run
	Refused                  int    // status of the refusal; 0 = it was not refused
}

// arrived adds a request to the history of its attempt.
func (j *Journal) arrived(t TargetOptions, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	j.mu.Lock()
	defer j.mu.Unlock()
	connection := t.Instance + " " + r.RemoteAddr
	j.history[attempt] = append(j.history[attempt], Arrival{
		Server: t.Instance, Service: t.Service, Version: t.Version, Connection: r.RemoteAddr,
		Before: j.onConnection[connection], At: time.Now(),
	})
	j.onConnection[connection]++
}

// decided changes the newest arrival of an attempt on the connection of r.
func (j *Journal) decided(r *http.Request, change func(*Arrival)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.history[r.Header.Get("Attempt-Id")]
	for n := len(history) - 1; n >= 0; n-- {
		if history[n].Connection == r.RemoteAddr {
			change(&history[n])
			return
		}
	}
}

// History returns the arrivals of an attempt, in their order.
func (j *Journal) History(attempt string) []Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Arrival(nil), j.history[attempt]...)
}

// Describe returns a line for an arrival, with times since zero.
func (j *Journal) Describe(a Arrival, zero time.Time) string {
	at := fmt.Sprintf("[%s %s/%s connection %s (%d before) at %.4f ", a.Server, a.Service, a.Version, a.Connection, a.Before, a.At.Sub(zero).Seconds())
	switch {
	case a.Refused != 0:
		return at + fmt.Sprintf("ran - status %d]", a.Refused)
	case a.Run == "":
		return at + "ran -]"
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, run := range j.runs {
		if run.ID != a.Run {
			continue
		}
		at += fmt.Sprintf("ran %.4f ", run.Began.Sub(zero).Seconds())
		if run.Ended.IsZero() {
			return at + "end -]"
		}
		return at + fmt.Sprintf("end %.4f status %d %s]", run.Ended.Sub(zero).Seconds(), run.Status, run.Outcome)
	}
	return at + "ran " + a.Run + "]"
}
