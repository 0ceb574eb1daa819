// Package intake bounds what clients can occupy before their requests are whole: memory,
// file descriptors, and time.
//
// A Limiter bounds the connections of a listener, a Memory the bytes that requests occupy.
// Where one of them is used up, a connection is closed whose client has fallen behind
// instead of refusing a new one, see Limiter. docs/design/intake.md has the reasons.
package intake
