package memtarget

import "time"

// Fault is the fault injected into one call.
type Fault int

// Faults.
const (
	None Fault = iota
	// ConnectFail: the connection cannot be established; nothing runs.
	ConnectFail
	// Refuse: the target replies that it runs nothing.
	Refuse
	// Silent: the request is sent and no response arrives. The target may run
	// it.
	Silent
	// Break: the connection breaks after Plan.AfterBytes of the response.
	Break
	// WrongIDs: frames from Plan.AfterBytes on carry the IDs of another
	// attempt.
	WrongIDs
	// Gap: a frame skips some bytes of the response.
	Gap
	// Truncated: frames are missing before the end marker, which states the
	// length of the complete response.
	Truncated
	// NoEnd: all frames arrive, but the end marker does not.
	NoEnd
	// Straggle: the call takes Plan.Slowdown times as long.
	Straggle
	// LostReply: the target runs the whole call, and the connection breaks
	// before any part of the response arrives.
	LostReply
	// Fail: the target runs the request and replies that it failed.
	Fail
	// Crash: the target's process crashes; all its calls in progress break.
	Crash
	faultCount
)

var faultNames = [faultCount]string{
	"none", "connect_fail", "refuse", "silent", "break", "wrong_ids", "gap",
	"truncated", "no_end", "straggle", "lost_reply", "fail", "die",
}

// String returns the fault's name.
func (f Fault) String() string {
	if f >= 0 && f < faultCount {
		return faultNames[f]
	}
	return "unknown"
}

// Faults returns all faults, None included.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for i := range all {
		all[i] = Fault(i)
	}
	return all
}

// Plan describes how one call proceeds.
type Plan struct {
	Fault      Fault
	AfterBytes int     // for faults within the response: bytes of this call's response that are sent before the fault
	Slowdown   float64 // for Straggle: factor of the service time; 0 = 20
	Code       string  // for Refuse; "" = busy
	// PooledConnectionOnly restricts Silent to calls that may use a pooled connection,
	// as when a middlebox has dropped the connection's state.
	PooledConnectionOnly bool
	Service              time.Duration // service time of the whole call; 0 = Options.Service
}
