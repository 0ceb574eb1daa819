// Package relay holds the types of plain HTTP requests on their way from a
// caller to a target, and the interfaces behind which the wire lies: Codec for
// the messages, StageClient for stage targets, Decoder for the configuration.
// Package forwarding carries the requests.
package relay
