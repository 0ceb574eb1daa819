// Package relay carries one plain HTTP request from its caller to a target and
// the answer back: route, key, stages, choice of target, repeats, the stream as
// it comes. It decides; the wire is behind Codec, StageClient and exchange.
package relay
