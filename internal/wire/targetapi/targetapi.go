// Package targetapi holds the JSON messages that targets (model engines,
// encoders, retrievers, rerankers and plain services) accept and return over
// HTTP. docs/STANDINS.md describes the calls. The protocol is defined by the
// targets; lynxhill only implements it.
package targetapi

import "encoding/json"

// Paths of the calls that a target answers.
const (
	PathRun         = "/v1/run"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathState       = "/v1/state"
	PathOrders      = "/v1/orders"
	PathCacheEvents = "/v1/cache-events"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
	// PathRuns lists every run that a stand-in has recorded. Only stand-ins
	// have it; lynxhill itself never calls it.
	PathRuns = "/standin/runs"
)

// Names of the server-sent events in a streamed run.
const (
	EventFrame = "frame"
	EventEnd   = "end"
	EventError = "error"
)

// RunRequest asks a target to run one stage of one request. With Stream set
// the answer is server-sent events (frame*, then end or error); otherwise it
// is one RunReply.
type RunRequest struct {
	RequestID    string          `json:"request_id"`
	AttemptID    string          `json:"attempt_id"`
	Organisation string          `json:"organisation"`
	Stage        string          `json:"stage"`
	Kind         string          `json:"kind"` // encode, retrieve, rerank, generate or service
	Model        string          `json:"model,omitempty"`
	Version      string          `json:"version,omitempty"`
	Adapter      string          `json:"adapter,omitempty"`
	Key          string          `json:"key,omitempty"` // idempotency key of the request, for the target's own record
	Input        json.RawMessage `json:"input"`         // the caller's input
	Previous     json.RawMessage `json:"previous,omitempty"`
	Prefix       string          `json:"prefix,omitempty"` // shared prompt prefix, for the prefix cache
	MaxTokens    int             `json:"max_tokens,omitempty"`
	Priority     int             `json:"priority"`      // higher runs first
	RemainingMS  int64           `json:"remaining_ms"`  // time left until the deadline
	ResumeOffset int             `json:"resume_offset"` // bytes of the answer that were already delivered
	Resume       string          `json:"resume,omitempty"`
	Stream       bool            `json:"stream"`
}

// RunReply is the whole answer of a stage that does not stream.
type RunReply struct {
	RequestID string          `json:"request_id"`
	AttemptID string          `json:"attempt_id"`
	Output    json.RawMessage `json:"output"`
	Cost      float64         `json:"cost"` // in units of the target's price list
	ServiceMS float64         `json:"service_ms"`
	Load      *LoadReport     `json:"load,omitempty"`
}

// Frame is a piece of a streamed response. Offset is the position, in bytes of
// the whole response, of the first byte of Text.
type Frame struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Offset    int    `json:"offset"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

// End is the last event of a streamed response. Length is the length of the
// whole response in bytes, so that a truncated response can be detected.
type End struct {
	RequestID string      `json:"request_id"`
	AttemptID string      `json:"attempt_id"`
	Length    int         `json:"length"`
	Tokens    int         `json:"tokens"`
	Cost      float64     `json:"cost"`
	ServiceMS float64     `json:"service_ms"`
	Load      *LoadReport `json:"load,omitempty"`
}

// Refusal codes of a target.
const (
	CodeBusy      = "busy"
	CodeLeaving   = "leaving"
	CodeNotLoaded = "not_loaded"
	CodeBadInput  = "bad_input"
	CodeOldFence  = "old_fence"
	CodeFailed    = "failed"
)

// Refusal is the body of every response whose status is not 2xx, and of an error event.
// Ran is false only if the target has run nothing of the call.
type Refusal struct {
	RequestID string `json:"request_id,omitempty"`
	AttemptID string `json:"attempt_id,omitempty"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	Ran       bool   `json:"ran"`
}

// CancelRequest stops an attempt. Cancelling an unknown attempt succeeds.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// LoadReport is a target's own report of its load. It may be stale: AtMS is the
// time that it describes, in milliseconds since the Unix epoch.
type LoadReport struct {
	Target    string        `json:"target"`
	Seq       uint64        `json:"seq"`
	AtMS      int64         `json:"at_ms"`
	Running   int           `json:"running"`
	Queued    int           `json:"queued"`
	Slots     int           `json:"slots"`
	KVUsed    float64       `json:"kv_used"` // share of the KV memory in use, 0 to 1
	MeanMS    float64       `json:"mean_ms"` // recent mean service time
	Leaving   bool          `json:"leaving"`
	Role      string        `json:"role"`
	Models    []LoadedModel `json:"models,omitempty"`
	HighFence uint64        `json:"high_fence"` // highest fencing number seen
}

// LoadedModel is a model version with its adapters on an engine.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Ready    bool     `json:"ready"` // false while its weights are loading
}

// Order kinds.
const (
	OrderLoad          = "load"
	OrderUnload        = "unload"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderRole          = "role"
)

// Order tells an engine to change its models, adapters or role. It names the
// desired state, so that an order is idempotent.
type Order struct {
	Fence   uint64 `json:"fence"`
	Giver   string `json:"giver"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// CacheEvent reports that a prefix entered or left an engine's prefix cache.
// Seq increases by one per event; a gap means that events were lost.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  string `json:"prefix"` // hash of the prefix, hexadecimal
	Evicted bool   `json:"evicted"`
}

// KVBlob carries the KV cache of a prefix from one engine to another.
type KVBlob struct {
	Model  string `json:"model"`
	Prefix string `json:"prefix"`
	Data   []byte `json:"data"`
}

// RunRecord is a stand-in's record of one run, so that an experiment can count
// duplicate runs.
type RunRecord struct {
	RequestID    string `json:"request_id"`
	AttemptID    string `json:"attempt_id"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Stage        string `json:"stage"`
	Target       string `json:"target"`
	Finished     bool   `json:"finished"`
	Cancelled    bool   `json:"cancelled"`
}
