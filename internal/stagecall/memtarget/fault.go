package memtarget

import "time"

// Fault is what goes wrong with one call.
type Fault int

// Faults.
const (
	None Fault = iota
	// ConnectFail: no connection is made; nothing runs.
	ConnectFail
	// Refuse: the target answers that it runs nothing.
	Refuse
	// Silent: the call is sent and nothing comes back. A target may run it.
	Silent
	// Break: the connection breaks after Plan.AfterBytes of the answer.
	Break
	// WrongIDs: the first frame carries the ids of another attempt.
	WrongIDs
	// Gap: a frame skips bytes.
	Gap
	// Truncated: frames are missing before the end mark, which gives the length
	// of the whole answer.
	Truncated
	// NoEnd: all frames come, the end mark does not.
	NoEnd
	// Straggle: the call takes Plan.Slow times as long.
	Straggle
	// LostReply: the target runs the whole call and the connection breaks
	// before any of the answer.
	LostReply
	// Fail: the target runs and answers that it failed.
	Fail
	// Die: the target's process ends; all calls on it break.
	Die
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

// Faults returns every fault.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for i := range all {
		all[i] = Fault(i)
	}
	return all
}

// Plan is what happens to one call.
type Plan struct {
	Fault      Fault
	AfterBytes int     // for Break and Truncated: bytes of this call's answer that come before
	Slow       float64 // for Straggle; 0 = 20
	Code       string  // for Refuse; "" = busy
	// OldConnection limits Silent to calls that may use a kept connection, as
	// when something between the two ends has lost track of it.
	OldConnection bool
	Service       time.Duration // service time of the whole call; 0 = the fleet's
}
