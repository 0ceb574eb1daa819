package event

// Events of the request path.
const (
	PipelineRequestFailed ID = 2401
)

var _ = define(
	Definition{PipelineRequestFailed, Warn, "pipeline_request_failed", "A request ended with an error after work was dispatched. The kind is the one that the caller got; check the targets of the stage named in the caller's message."},
)
