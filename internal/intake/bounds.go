package intake

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
