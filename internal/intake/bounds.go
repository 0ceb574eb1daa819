package intake

import "math"

// Bounds limit the memory and the connections that clients can occupy. A field that is 0
// means no limit.
type Bounds struct {
	// Held is the number of bytes that the requests in flight may occupy, see Memory.
	Held int64
	// Connections is the maximum number of connections of callers.
	Connections int
	// QueryConnections is the maximum number of connections of each listener that
	// answers only short queries.
	QueryConnections int
}

// Shares of a process's resources.
const (
	// heldShare is the share of the memory for requests in flight. The rest is for the
	// program itself, its state, connections, responses in progress, and garbage that
	// is not collected yet.
	heldShare = 0.4
	// filesReserve is the number of file descriptors that are not used for sockets.
	filesReserve = 200
	// connectionShare is the share of the descriptors for callers. A request needs a
	// second one for its target, so targets get the same share; the rest is for the
	// store and other instances.
	connectionShare = 0.4
	// queryShare is the share for each listener that answers only short queries.
	queryShare = 0.05
	// runtimeShare is the share that the runtime may use. The rest is for the program
	// itself and the kernel's buffers.
	runtimeShare = 0.7
	// bufferShare is the share of the memory for the kernel's buffers of callers'
	// connections.
	bufferShare = 0.1
)

// Bounds of the kernel's buffer for one direction of a connection, in bytes. With less
// than the minimum a connection over a long distance would be slow.
const (
	minBuffer = 16 << 10
	maxBuffer = 256 << 10
)

// BoundsOf returns the bounds of a process with the given memory, in MiB, and number of
// file descriptors; 0 = no limit.
func BoundsOf(memoryMB, descriptors int) Bounds {
	b := Bounds{Held: int64(heldShare * float64(memoryMB) * (1 << 20))}
	if descriptors > 0 {
		sockets := float64(max(descriptors-filesReserve, 0))
		b.Connections = max(int(connectionShare*sockets), 1)
		b.QueryConnections = max(int(queryShare*sockets), 1)
	}
	return b
}

// RuntimeLimit returns the limit, in bytes, of the runtime's memory in a process with the
// given memory, in MiB; 0 = no limit.
//
// By default the runtime lets garbage grow to the size of the live heap, and the process is
// killed although little of its memory is needed.
func RuntimeLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return math.MaxInt64
	}
	return int64(runtimeShare * float64(memoryMB) * (1 << 20))
}

// BufferBytes returns the size, in bytes, of the kernel's buffer for each direction of a
// connection; 0 = the system's default.
func (b Bounds) BufferBytes() int {
	if b.Held == 0 || b.Connections == 0 {
		return 0
	}
	const directions = 2
	buffers := bufferShare / heldShare * float64(b.Held)
	perBuffer := int(buffers) / (b.Connections + 2*b.QueryConnections) / directions
	return min(max(perBuffer, minBuffer), maxBuffer)
}
