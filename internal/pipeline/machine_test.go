package pipeline

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagecall/memtarget"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// machine is the system under test: two instances with shared claims and one
// fleet, with random faults of every kind.
type machine struct {
	*testEnv
	other    *Runner
	inFlight sync.WaitGroup

	chanceMu sync.Mutex // guards random and faults
	random   *rand.Rand
	faults   float64 // probability that a call fails; a claim or a slot fails with a fifth of it

	mu    sync.Mutex // guards ended
	ended []*sentRequest
}

// sentRequest is a request with the result that its caller got.
type sentRequest struct {
	req      Request
	sink     recorder
	out      Outcome
	err      error
	returned bool
	late     bool // the sink was called after the answer
}

func newMachine(seed uint64) *machine {
	m := &machine{random: rand.New(rand.NewPCG(seed, 1))}
	m.testEnv = newTestEnv(memtarget.Options{Plan: m.plan, CrashMarker: "poison", RestartAfter: 300 * time.Millisecond})
	m.gate.timeouts.HedgeDelay = 15 * time.Millisecond
	m.gate.refuse = func(admission.SlotRequest) error { return m.sometimes(errkind.NoTarget) }
	m.claims.fail = func() error { return m.sometimes(errkind.StoreUnavailable) }
	m.other = m.newRunner("other")
	return m
}

func (m *machine) plan(_ stagecall.Target, _ targetapi.RunRequest) memtarget.Plan {
	m.chanceMu.Lock()
	defer m.chanceMu.Unlock()
	if m.random.Float64() >= m.faults {
		return memtarget.Plan{}
	}
	faults := memtarget.Faults()
	return memtarget.Plan{
		Fault:                faults[m.random.IntN(len(faults))],
		AfterBytes:           m.random.IntN(80),
		PooledConnectionOnly: m.random.IntN(2) == 0,
	}
}

func (m *machine) sometimes(kind errkind.Kind) error {
	m.chanceMu.Lock()
	defer m.chanceMu.Unlock()
	if m.random.Float64() < m.faults/5 {
		return errkind.New(kind, "at random")
	}
	return nil
}

// send is a command that sends a request with the key to one instance, or to both
// at once. The callers may disconnect.
type send struct {
	profile         string
	key             int
	deadline        time.Duration
	disconnectAfter time.Duration // time after which the caller disconnects; 0 = never
	both            bool
	poison          bool // the request crashes targets
	wait            bool // wait for the answers before the next command
}

func (c send) String() string {
	return fmt.Sprintf("send(%s key=%d deadline=%v goesAway=%v both=%v poison=%v wait=%v)", c.profile, c.key, c.deadline, c.disconnectAfter, c.both, c.poison, c.wait)
}

func (c send) Run(sut commands.SystemUnderTest) commands.Result {
	m := sut.(*machine)
	m.start(c, m.runner)
	if c.both {
		m.start(c, m.other)
	}
	if c.wait {
		m.inFlight.Wait()
	}
	return m
}

func (c send) NextState(state commands.State) commands.State { return state }
func (c send) PreCondition(commands.State) bool              { return true }

func (c send) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	return verdict(result.(*machine).wrong(false))
}

func (m *machine) start(c send, runner *Runner) {
	s := &sentRequest{req: m.request(c.profile, fmt.Sprintf("%s-%d", c.profile, c.key))}
	s.req.Deadline = s.req.Received.Add(c.deadline)
	if c.poison {
		s.req.Key += "-poison"
		s.req.Input = json.RawMessage(`"poison"`)
	}
	s.sink.onFrame = func() error { s.late = s.late || s.returned; return nil }
	ctx, cancel := context.WithCancel(context.Background())
	if c.disconnectAfter > 0 {
		time.AfterFunc(c.disconnectAfter, cancel)
	}
	m.inFlight.Add(1)
	go func() {
		defer m.inFlight.Done()
		defer cancel()
		s.out, s.err = runner.Run(ctx, s.req, &s.sink)
		s.returned = true
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ended = append(m.ended, s)
	}()
}

// setFaults is a command that changes the probability of faults and lets time
// pass.
type setFaults struct {
	faults float64
	pass   time.Duration
}

func (c setFaults) String() string { return fmt.Sprintf("setFaults(%.2f, %v)", c.faults, c.pass) }

func (c setFaults) Run(sut commands.SystemUnderTest) commands.Result {
	m := sut.(*machine)
	m.chanceMu.Lock()
	m.faults = c.faults
	m.chanceMu.Unlock()
	time.Sleep(c.pass)
	return m
}

func (c setFaults) NextState(state commands.State) commands.State { return state }
func (c setFaults) PreCondition(commands.State) bool              { return true }

func (c setFaults) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	return verdict(result.(*machine).wrong(false))
}

func verdict(wrong []string) *gopter.PropResult {
	if len(wrong) == 0 {
		return &gopter.PropResult{Status: gopter.PropTrue}
	}
	return &gopter.PropResult{Status: gopter.PropFalse, Labels: wrong}
}

// wrong lists the violated guarantees. At the end, when no request is running, it
// also compares the answers with the runs that the targets recorded.
func (m *machine) wrong(end bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var wrong []string
	for _, v := range m.violated.Violations() {
		wrong = append(wrong, string(v.Rule)+": "+v.Detail)
	}
	runs, bookings := make(map[string]int), make(map[string]int)
	for _, run := range m.fleet.Runs() {
		runs[run.Request.RequestID]++
		if run.Request.Stage == stageBook {
			bookings[run.Request.Key]++
		}
	}
	for key, n := range bookings {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("%s was booked %d times", key, n))
		}
	}
	for _, s := range m.ended {
		if what := s.wrong(); what != "" {
			wrong = append(wrong, s.req.ID+": "+what)
		}
		if s.err != nil && errkind.Of(s.err).RunState() == errkind.NotRun && runs[s.req.ID] > 0 {
			wrong = append(wrong, fmt.Sprintf("%s: %v, yet it ran", s.req.ID, s.err))
		}
		if end && s.err == nil && s.req.Profile == "book" && bookings[s.req.Key] != 1 {
			wrong = append(wrong, s.req.ID+": answered without a booking")
		}
	}
	return wrong
}

// wrong describes the violated guarantee of one answer, or returns "".
func (s *sentRequest) wrong() string {
	whole := wholeDraft(s.req)
	switch {
	case s.late:
		return "a frame came after the answer"
	case s.out.Total > s.req.Deadline.Sub(s.req.Received):
		return "answered after the deadline"
	case s.req.Profile == "book" && s.err == nil && string(s.out.Output) != wholeBooking(s.req):
		return fmt.Sprintf("foreign booking %s", s.out.Output)
	case s.req.Profile == "draft" && s.err == nil && s.sink.text != whole:
		return fmt.Sprintf("answer is not whole: %q", s.sink.text)
	case !strings.HasPrefix(whole, s.sink.text):
		return fmt.Sprintf("not a part of the answer: %q", s.sink.text)
	case errkind.Is(s.err, errkind.Internal):
		return s.err.Error()
	}
	return ""
}

func genCommand(commands.State) gopter.Gen {
	sends := gen.Struct(reflect.TypeOf(generated{}), map[string]gopter.Gen{
		"Booking": gen.Bool(), "Key": gen.IntRange(0, 5), "DeadlineMS": gen.IntRange(20, 3000),
		"GoesAway": gen.Frequency(map[int]gopter.Gen{4: gen.Const(0), 1: gen.IntRange(1, 60)}),
		"Both":     gen.Bool(), "Poison": gen.IntRange(0, 15), "Wait": gen.Bool(),
	}).Map(func(g generated) send { return g.command() })
	faultChanges := gopter.CombineGens(gen.Float64Range(0, 0.7), gen.IntRange(0, 2000)).Map(func(v []any) setFaults {
		return setFaults{faults: v[0].(float64), pass: time.Duration(v[1].(int)) * time.Millisecond}
	})
	return gen.Weighted([]gen.WeightedGen{{Weight: 6, Gen: sends}, {Weight: 1, Gen: faultChanges}})
}

type generated struct {
	Booking, Both, Wait               bool
	Key, DeadlineMS, GoesAway, Poison int
}

func (g generated) command() send {
	c := send{profile: "draft", key: g.Key, deadline: time.Duration(g.DeadlineMS) * time.Millisecond,
		disconnectAfter: time.Duration(g.GoesAway) * time.Millisecond, both: g.Both, poison: g.Poison == 0, wait: g.Wait}
	if g.Booking {
		c.profile = "book"
	}
	return c
}

// TestMachine runs thousands of requests through two instances under random faults
// of all kinds. It checks these guarantees: an answer belongs to its request and
// is complete and contiguous; a request gets one answer and no frame after it;
// "not run" is reported only if nothing ran; there is at most one booking per key;
// a request ends within its deadline.
func TestMachine(t *testing.T) {
	requests, kinds := 0, make(map[string]int)
	machineCommands := &commands.ProtoCommands{
		InitialStateGen: gen.UInt64(),
		NewSystemUnderTestFunc: func(state commands.State) commands.SystemUnderTest {
			return newMachine(state.(uint64))
		},
		DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
			m := sut.(*machine)
			m.inFlight.Wait()
			m.runner.Wait()
			m.other.Wait()
			for _, what := range m.wrong(true) {
				t.Error(what)
			}
			for _, s := range m.ended {
				requests++
				kinds[endOfSent(s)]++
			}
		},
		GenCommandFunc: genCommand,
	}
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests, parameters.MinSize, parameters.MaxSize, parameters.MaxShrinkCount = 120, 30, 60, 20
	synctest.Test(t, func(t *testing.T) {
		properties := gopter.NewProperties(parameters)
		properties.Property("guarantees hold", commands.Prop(machineCommands))
		properties.TestingRun(t)
	})
	t.Logf("%d requests: %v", requests, kinds)
	if requests < 5000 || kinds["ok draft"] < requests/10 || kinds["ok book"] < requests/20 {
		t.Error("too few requests were run or succeeded")
	}
}

func endOfSent(s *sentRequest) string {
	if s.err != nil {
		return errkind.Of(s.err).String()
	}
	return "ok " + s.req.Profile
}
