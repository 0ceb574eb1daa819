package slotqueue

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

var (
	metricAcquired = metrics.Define("slots_acquired_total", "requests", "Requests of this instance for a slot of a plain target, by how they ended: granted, refused, given_up (by the caller or its deadline), own_unheard, own_slow, own_lost, own_none (this instance chose the target itself); unused counts grants that were released because they came too late or were not used.")
	metricStreams  = metrics.Define("slots_streams", "streams", "Open streams of this instance to coordinators of slots, its own included.")
	metricEnded    = metrics.Define("slots_streams_ended_total", "streams", "Streams to coordinators of slots that ended, by reason: closed, idle, failed, silent, elsewhere.")
)

// Reasons why the owner of a request chooses its target, as they are logged and counted.
const (
	ownUnheard       = "unheard" // no message about the request in time
	ownSlow          = "slow"    // no message about another request in time
	ownLost          = "lost"    // several coordinators were lost
	ownNoCoordinator = "none"    // no instance can be asked
)

// maxOwnChoiceLines bounds the lines about own choices in a second. While a coordinator is
// slow each request makes one.
const maxOwnChoiceLines = 10

// ownChoiceLines limits the rate of the lines about own choices.
type ownChoiceLines struct {
	until            time.Time // end of the current second
	written, omitted int
}

// ownChoice returns a slot for which the owner chooses the target.
func (c *Client) ownChoice(req Request, cause string) *Slot {
	c.count("own_" + cause)
	c.mu.Lock()
	l, now := &c.ownChoices, c.o.Clock.Now()
	omitted := 0
	if now.After(l.until) {
		omitted = l.omitted
		*l = ownChoiceLines{until: now.Add(time.Second)}
	}
	l.written++
	write := l.written <= maxOwnChoiceLines
	if !write {
		l.omitted++
	}
	c.mu.Unlock()
	if write {
		c.o.Logger.Log(event.SlotsOwnChoice, "service", req.Service, "shard", req.Shard, "route", req.Route, "cause", cause, "omitted", omitted)
	}
	return &Slot{client: c, req: req}
}

func (c *Client) count(result string) {
	if c.o.Metrics != nil {
		c.o.Metrics.Labelled(metricAcquired).Add(result, 1)
	}
}

func (c *Client) countEnd(reason string) {
	if c.o.Metrics != nil {
		c.o.Metrics.Labelled(metricEnded).Add(reason, 1)
	}
}
