// Package lynxapi holds the JSON messages of lynxhill's own caller API and
// admin API, shared by the daemon, lynxctl and lynxbench. docs/API.md
// describes the calls. Errors are errkind.Body.
package lynxapi

import "encoding/json"

// Paths of the caller API.
const (
	PathAddress  = "/v1/address"
	PathRequests = "/v1/profiles/:profile/requests" // POST
	PathOutcome  = "/v1/requests/:key"              // GET ?organisation=
	PathReady    = "/readyz"
	PathAlive    = "/livez"
)

// Names of the server-sent events of a streamed response. A response that does
// not end with EventEnd or EventError is truncated.
const (
	EventAccepted  = "accepted"
	EventFrame     = "frame"
	EventHeartbeat = "heartbeat"
	EventEnd       = "end"
	EventError     = "error" // data: errkind.Body
)

// AddressAnswer tells a caller which instances to use.
type AddressAnswer struct {
	Addresses []Address `json:"addresses"` // pick by weight; on failure try the next
	KeepMS    int64     `json:"keep_ms"`   // how long to cache the answer, in milliseconds
	// Ticket binds the idempotency keys sent with it to the instance TicketHome.
	Ticket          string `json:"ticket,omitempty"`
	TicketHome      string `json:"ticket_home,omitempty"`
	TicketExpiresMS int64  `json:"ticket_expires_ms,omitempty"` // Unix milliseconds
	// TicketAdvised advises the caller to create new keys under the ticket, since
	// the store that records other keys is down.
	TicketAdvised bool `json:"ticket_advised,omitempty"`
}

// Address is one instance.
type Address struct {
	ID      string  `json:"id"`
	Address string  `json:"address"` // IP:port
	Zone    string  `json:"place"`
	Region  string  `json:"region"`
	Weight  float64 `json:"weight"`
}

// SendRequest is the body of a request to a profile.
type SendRequest struct {
	Organisation string          `json:"organisation"`
	Key          string          `json:"key,omitempty"`         // idempotency key
	DeadlineMS   int64           `json:"deadline_ms,omitempty"` // from arrival; 0 = the profile's
	DeadlineAt   int64           `json:"deadline_at,omitempty"` // Unix milliseconds; the earlier of the two holds
	Input        json.RawMessage `json:"input"`
	Prefix       string          `json:"prefix,omitempty"`
	Ticket       string          `json:"ticket,omitempty"`
	Stream       bool            `json:"stream,omitempty"`
}

// Accepted is the first event of a stream.
type Accepted struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Instance  string `json:"instance"`
}

// Frame is a piece of a streamed response; offsets are contiguous from 0.
type Frame struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// SendReply is the complete response, and the last event of a stream.
type SendReply struct {
	RequestID      string          `json:"request_id"`
	Key            string          `json:"key"`
	Instance       string          `json:"instance"`
	Profile        string          `json:"profile"`
	ProfileVersion uint64          `json:"profile_version"`
	Output         json.RawMessage `json:"output,omitempty"` // not repeated when it was streamed
	Streamed       bool            `json:"streamed"`
	Length         int             `json:"length"` // bytes streamed
	Tokens         int             `json:"tokens"`
	Repeated       bool            `json:"repeated"`
	FirstTokenMS   float64         `json:"first_token_ms"`
	TotalMS        float64         `json:"total_ms"`
	Stages         []StageCost     `json:"stages"`
}

// StageCost is the cost and duration of one stage.
type StageCost struct {
	Stage      string  `json:"stage"`
	Kind       string  `json:"kind"`
	Provider   string  `json:"provider"`
	Service    string  `json:"service"`
	Target     string  `json:"target"`
	Attempts   int     `json:"attempts"`
	Hedges     int     `json:"hedges"`
	Resumes    int     `json:"resumes"`
	Cost       float64 `json:"cost"`
	Wasted     float64 `json:"wasted"`
	Tokens     int     `json:"tokens"`
	DurationMS float64 `json:"duration_ms"`
}

// Outcome states of a key.
const (
	OutcomeRunning  = "running"
	OutcomeDone     = "done"
	OutcomeFailed   = "failed"
	OutcomeUnknown  = "unknown"
	OutcomeNoRecord = "no_record"
)

// OutcomeReply is the outcome of the request with a key.
type OutcomeReply struct {
	Key       string          `json:"key"`
	State     string          `json:"state"`
	RequestID string          `json:"request_id,omitempty"`
	Output    json.RawMessage `json:"output,omitempty"`
	ErrorKind string          `json:"error_kind,omitempty"`
	RunState  string          `json:"run_state,omitempty"`
}
