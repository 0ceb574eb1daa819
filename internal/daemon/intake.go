package daemon

import (
	"fmt"
	"net/http"

	"lynxhill.example/lynxhill/internal/intake"
)

// operatorDivisor divides the memory for requests: one part is for operators, so that they
// are answered although callers use up the others.
const operatorDivisor = 8

// intakeOf is what limits one listener.
type intakeOf struct {
	memory  *intake.Memory
	limiter *intake.Limiter
}

// newIntake applies the limits of memory and descriptors in the settings.
func (d *Daemon) newIntake() (callers, operators intakeOf) {
	limits := d.cfg.Limits
	if d.opts.LimitMemory != nil {
		d.opts.LimitMemory(intake.RuntimeLimit(limits.MemoryMB))
	}
	bounds := intake.BoundsOf(limits.MemoryMB, limits.Descriptors)
	meter := intake.NewMeter(d.metrics)
	callers = d.newIntakeOf("caller", meter, d.tls.caller != nil)
	callers.memory.SetLimit(bounds.Held - bounds.Held/operatorDivisor)
	callers.limiter.SetLimit(bounds.Connections)
	callers.limiter.SetBuffers(bounds.BufferBytes())
	operators = d.newIntakeOf("admin", meter, d.tls.admin != nil)
	operators.memory.SetLimit(bounds.Held / operatorDivisor)
	operators.limiter.SetLimit(bounds.QueryConnections)
	operators.limiter.SetBuffers(bounds.BufferBytes())
	return callers, operators
}

func (d *Daemon) newIntakeOf(name string, meter *intake.Meter, encrypted bool) intakeOf {
	memory := new(intake.Memory)
	o := intake.Options{Name: name, Memory: memory, Meter: meter, Clock: d.opts.Clock, Logger: d.logger}
	if !encrypted {
		o.FullResponse = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), fullRetrySeconds)
	}
	return intakeOf{memory, intake.NewLimiter(o)}
}

// fullRetrySeconds is the retry delay given to a caller whose connection is rejected: the
// shortest that whole seconds can express.
const fullRetrySeconds = 1
