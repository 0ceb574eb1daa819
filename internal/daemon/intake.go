package daemon

import (
	"fmt"
	"net/http"

	"lynxhill.example/lynxhill/internal/intake"
)

// memoryShare is the part of the process's memory that the runtime may use. The rest is for
// the program itself and the kernel's socket buffers.
const memoryShare = 0.7

// newIntake applies the limits of memory and descriptors in the settings. The memory for
// requests is shared by callers and operators.
func (d *Daemon) newIntake() (memory *intake.Memory, callers, operators *intake.Limiter) {
	limits := d.cfg.Limits
	if d.opts.LimitMemory != nil && limits.MemoryMB > 0 {
		d.opts.LimitMemory(int64(memoryShare * float64(limits.MemoryMB) * (1 << 20)))
	}
	bounds := intake.BoundsOf(limits.MemoryMB, limits.Descriptors)
	memory = new(intake.Memory)
	memory.SetLimit(bounds.Held)
	meter := intake.NewMeter(d.metrics)
	callers = d.newLimiter("caller", memory, meter, d.tls.caller == nil)
	callers.SetLimit(bounds.Connections)
	operators = d.newLimiter("admin", memory, meter, d.tls.admin == nil)
	operators.SetLimit(bounds.QueryConnections)
	for _, l := range []*intake.Limiter{callers, operators} {
		l.SetBuffers(bounds.BufferBytes())
	}
	return memory, callers, operators
}

func (d *Daemon) newLimiter(name string, memory *intake.Memory, meter *intake.Meter, clear bool) *intake.Limiter {
	o := intake.Options{Name: name, Memory: memory, Meter: meter, Clock: d.opts.Clock, Logger: d.logger}
	if clear {
		o.FullResponse = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), fullRetrySeconds)
	}
	return intake.NewLimiter(o)
}

// fullRetrySeconds is the retry delay given to a caller whose connection is rejected: the
// shortest that whole seconds can express.
const fullRetrySeconds = 1
