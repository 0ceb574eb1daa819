// Package relay defines the types for plain HTTP requests that are forwarded
// from a caller to a target, and the interfaces that hide the wire formats:
// Codec for messages, StageClient for stage targets, Decoder for the
// configuration. Package forwarding forwards the requests.
package relay
