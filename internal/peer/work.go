package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/stagework"
)

// Timeouts of a job at another instance.
const (
	// workAcceptTimeout is how long a dispatcher may take to accept or reject the job.
	workAcceptTimeout = 400 * time.Millisecond
	// workHeartbeatInterval is the interval of the dispatcher's heartbeats while a job
	// waits. If the owner receives nothing for workSilenceTimeout, it submits the job to
	// another dispatcher.
	workHeartbeatInterval = 250 * time.Millisecond
	workSilenceTimeout    = 900 * time.Millisecond
	// messagesPerOwnerHeartbeat is the number of the dispatcher's messages after which the
	// owner sends a heartbeat. If the dispatcher receives nothing for ownerSilenceTimeout,
	// which covers more than two lost heartbeats, it ends the job.
	messagesPerOwnerHeartbeat = 3
	ownerSilenceTimeout       = 2200 * time.Millisecond
)

var errDispatcherSilent = errors.New("peer: the dispatcher is silent")

// Submit implements stagework.Remote.
func (c *Client) Submit(ctx context.Context, instance string, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	address, err := c.addressOf(instance)
	if err != nil {
		return nil, nil, err
	}
	start := time.Now()
	// A dispatcher that receives a job twice ends the one whose stream is reset.
	started, end, err := hedge(ctx, c, address, func(ctx context.Context, l *link) (startedWork, error) {
		return c.startWork(ctx, l, job, workAcceptTimeout-time.Since(start))
	})
	if err != nil {
		c.o.Metrics.Labelled(metricCalls).Add("work_failed", 1)
		return nil, nil, fromConnect(err)
	}
	c.o.Metrics.Labelled(metricCalls).Add("work_ok", 1)
	if started.first.GetReason() != "" {
		end()
		return nil, refusalOf(started.first), nil
	}
	w := &remoteWork{instance: instance, stream: started.stream, cancel: end, decisions: make(chan stagework.Decision, 16), results: newResults()}
	w.onSilence = func() {
		c.recordSilent(started.observation, "work", started.link, workSilenceTimeout, errDispatcherSilent)
	}
	if started.first.GetTarget() != "" {
		w.decisions <- decisionOf(started.first)
	}
	go w.read()
	return w, nil, nil
}

// startedWork is a job that was submitted to a dispatcher, with the first response.
type startedWork struct {
	stream      *workStream
	first       *peerpb.WorkDown
	link        *link
	observation *observation
}

// startWork submits the job and waits, for at most wait, until it is accepted or refused.
func (c *Client) startWork(ctx context.Context, l *link, job stagework.Job, wait time.Duration) (started startedWork, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	observed, observation := observe(ctx)
	defer func() {
		if err == nil {
			return
		}
		cause := cmp.Or(context.Cause(ctx), err)
		c.recordUnanswered(observation, "work", l, cause)
		if cause == errDispatcherSilent {
			err = fmt.Errorf("%w for %v: %w", errDispatcherSilent, time.Since(observation.startedAt), err)
		}
		cancel(err)
	}()
	stream, err := l.client.Work(observed)
	if err != nil {
		return startedWork{}, err
	}
	silence := time.AfterFunc(wait, func() {
		cancel(errDispatcherSilent)
		_ = stream.CloseRequest()
	})
	defer silence.Stop()
	// A failed send shows only that the stream has ended; Receive returns the reason.
	// The caller has to learn of a refused connection.
	if err := stream.Send(&peerpb.WorkUp{Job: jobToProto(job, time.Now())}); err != nil && !errors.Is(err, io.EOF) {
		return startedWork{}, err
	}
	first, err := stream.Receive()
	return startedWork{stream, first, l, observation}, err
}

// workStream is the owner's side of the stream of a job.
type workStream = connect.BidiStreamForClientSimple[peerpb.WorkUp, peerpb.WorkDown]

// remoteWork is a job at another instance's dispatcher.
type remoteWork struct {
	instance  string
	stream    *workStream
	cancel    context.CancelFunc
	onSilence func() // called when the stream receives nothing for workSilenceTimeout
	decisions chan stagework.Decision
	results   *results

	mu    sync.Mutex // serialises Send
	ended bool
}

var _ stagework.Assignment = (*remoteWork)(nil)

// read delivers decisions until the stream ends or receives nothing for
// workSilenceTimeout.
func (w *remoteWork) read() {
	silence := time.AfterFunc(workSilenceTimeout, func() {
		w.onSilence()
		w.deliver(stagework.Decision{LostDispatcher: w.instance})
	})
	defer silence.Stop()
	defer w.cancel()
	for received := 1; ; received++ {
		m, err := w.stream.Receive()
		if err != nil {
			if silence.Stop() {
				w.deliver(stagework.Decision{LostDispatcher: w.instance})
			}
			return
		}
		silence.Reset(workSilenceTimeout)
		if received%messagesPerOwnerHeartbeat == 0 {
			w.send(peerpb.WorkEvent_WORK_EVENT_UNSPECIFIED)
		}
		w.results.put(m.GetMade(), time.Now())
		if m.GetTarget() != "" || m.GetReason() != "" || m.GetElsewhere() != "" {
			w.deliver(decisionOf(m))
		}
	}
}

func (w *remoteWork) deliver(d stagework.Decision) {
	select {
	case w.decisions <- d:
	default: // the owner no longer reads them
	}
}

// Decisions implements stagework.Assignment.
func (w *remoteWork) Decisions() <-chan stagework.Decision { return w.decisions }

// AnswerStarted implements stagework.Assignment.
func (w *remoteWork) AnswerStarted(load *relay.Load) {
	w.sendUp(&peerpb.WorkUp{Event: peerpb.WorkEvent_WORK_EVENT_BEGUN, Load: targetLoadToProto(load)})
}

// Rejected implements stagework.Assignment.
func (w *remoteWork) Rejected(gone, failed bool) {
	switch {
	case gone:
		w.send(peerpb.WorkEvent_WORK_EVENT_GONE)
	case failed:
		w.send(peerpb.WorkEvent_WORK_EVENT_FAILED)
	default:
		w.send(peerpb.WorkEvent_WORK_EVENT_REJECTED)
	}
}

// EngineFailed implements stagework.Assignment.
func (w *remoteWork) EngineFailed() { w.send(peerpb.WorkEvent_WORK_EVENT_BROKE) }

// Results implements stagework.Assignment.
func (w *remoteWork) Results() []stagework.ResultRef { return w.results.list(time.Now()) }

// Dispatcher implements stagework.Assignment.
func (w *remoteWork) Dispatcher() string { return w.instance }

// Transferred implements stagework.Assignment. A dispatcher that is paused has to read this
// event, once it resumes, before the end of the stream.
func (w *remoteWork) Transferred() {
	w.send(peerpb.WorkEvent_WORK_EVENT_MOVED)
	w.End()
}

// End implements stagework.Assignment.
func (w *remoteWork) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	// Earlier events must arrive, so the stream is not reset: the other side ends
	// it, or the timer does.
	_ = w.stream.CloseRequest()
	time.AfterFunc(workSilenceTimeout, w.cancel)
}

// send sends an event. If that fails, the dispatcher is detected as lost.
func (w *remoteWork) send(e peerpb.WorkEvent) { w.sendUp(&peerpb.WorkUp{Event: e}) }

func (w *remoteWork) sendUp(m *peerpb.WorkUp) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		_ = w.stream.Send(m)
	}
}

// Work serves a job of another instance. The job ends with the stream, or when nothing
// is received from its owner for ownerSilenceTimeout. Without that timeout, the jobs of an
// instance that is cut off would continue, and their results would use capacity, until the
// connection is detected as dead. If it is this instance that was cut off or paused, the
// owner continues elsewhere with the results, so they are not released.
func (h *service) Work(ctx context.Context, stream *connect.BidiStream[peerpb.WorkUp, peerpb.WorkDown]) error {
	h.count("work")
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if h.o.Work == nil || first.GetJob() == nil {
		return connect.NewError(connect.CodeUnimplemented, errors.New("no stage work here"))
	}
	t, refusal := h.o.Work(jobFromProto(first.GetJob(), time.Now()))
	switch {
	case refusal != nil:
		return stream.Send(workRefusalToProto(refusal))
	case t == nil:
		return connect.NewError(connect.CodeUnavailable, errors.New("this instance is stopping"))
	}
	defer t.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(ownerSilenceTimeout, func() {
		if h.o.CutOff != nil && h.o.CutOff() {
			t.Transferred()
		}
		cancel()
	})
	defer silence.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			m, err := stream.Receive()
			if err != nil {
				return
			}
			silence.Reset(ownerSilenceTimeout)
			applyEvent(t, m)
		}
	}()
	return sendDecisions(ctx, stream, t, ended)
}

// sendDecisions sends the decisions on the job, and heartbeats between them.
func sendDecisions(ctx context.Context, stream *connect.BidiStream[peerpb.WorkUp, peerpb.WorkDown], t stagework.Assignment, ended <-chan struct{}) error {
	heartbeat := time.NewTicker(workHeartbeatInterval)
	defer heartbeat.Stop()
	// A placement that is available at once is the first message, which saves one message.
	select {
	case d := <-t.Decisions():
		if done, err := sendDecision(stream, d); done || err != nil {
			return err
		}
	default:
		if err := stream.Send(&peerpb.WorkDown{}); err != nil {
			return err
		}
	}
	for {
		select {
		case d := <-t.Decisions():
			if done, err := sendDecision(stream, d); done || err != nil {
				return err
			}
		case <-heartbeat.C:
			if err := stream.Send(&peerpb.WorkDown{}); err != nil {
				return err
			}
		case <-ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sendDecision(stream *connect.BidiStream[peerpb.WorkUp, peerpb.WorkDown], d stagework.Decision) (done bool, err error) {
	if d.NextDispatcher != "" {
		return true, stream.Send(&peerpb.WorkDown{Elsewhere: d.NextDispatcher})
	}
	if d.Results != nil {
		return false, stream.Send(&peerpb.WorkDown{Made: madeToProto(d.Results)})
	}
	if d.Refusal != nil {
		return true, stream.Send(workRefusalToProto(d.Refusal))
	}
	return false, stream.Send(&peerpb.WorkDown{Target: d.Target, Address: d.Address, Inputs: d.Inputs, HasInputs: d.Inputs != nil})
}

func applyEvent(t stagework.Assignment, m *peerpb.WorkUp) {
	switch m.GetEvent() {
	case peerpb.WorkEvent_WORK_EVENT_BEGUN:
		t.AnswerStarted(targetLoadFromProto(m.GetLoad()))
	case peerpb.WorkEvent_WORK_EVENT_REJECTED:
		t.Rejected(false, false)
	case peerpb.WorkEvent_WORK_EVENT_GONE:
		t.Rejected(true, false)
	case peerpb.WorkEvent_WORK_EVENT_FAILED:
		t.Rejected(false, true)
	case peerpb.WorkEvent_WORK_EVENT_BROKE:
		t.EngineFailed()
	case peerpb.WorkEvent_WORK_EVENT_MOVED:
		t.Transferred()
	}
}

func workRefusalToProto(r *stagework.Refusal) *peerpb.WorkDown {
	return &peerpb.WorkDown{Reason: r.Reason, RetryAfterMs: uint32(max(r.RetryAfter.Milliseconds(), 0)), Elsewhere: r.FirstRanked, Reserved: r.Reserved, ReservedOnTime: r.ReservedOnTime}
}

func refusalOf(m *peerpb.WorkDown) *stagework.Refusal {
	return &stagework.Refusal{Reason: m.GetReason(), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond, FirstRanked: m.GetElsewhere(), Reserved: m.GetReserved(), ReservedOnTime: m.GetReservedOnTime()}
}

func decisionOf(m *peerpb.WorkDown) stagework.Decision {
	if m.GetReason() != "" {
		return stagework.Decision{Refusal: refusalOf(m)}
	}
	if m.GetElsewhere() != "" {
		return stagework.Decision{NextDispatcher: m.GetElsewhere()}
	}
	d := stagework.Decision{Placement: stagework.Placement{Target: m.GetTarget(), Address: m.GetAddress(), Inputs: m.GetInputs()}}
	if m.GetHasInputs() && d.Inputs == nil {
		d.Inputs = []string{}
	}
	return d
}
