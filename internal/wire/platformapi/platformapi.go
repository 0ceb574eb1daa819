// Package platformapi holds the JSON messages of the platform's object API
// and instance list. docs/STANDINS.md describes the calls. The protocol is
// defined by the platform; lynxhill only implements it.
package platformapi

// Paths of the platform's calls.
const (
	// PathObjects with a key after it: GET reads, PUT writes, DELETE removes.
	// Without a key, GET ?prefix= lists.
	PathObjects = "/v1/objects/"
	// PathWatch ?prefix=&after=VERSION waits up to ?wait_ms= for changes.
	PathWatch = "/v1/watch"
	// PathInstances lists instances; POST registers or refreshes one's own.
	PathInstances = "/v1/instances"
)

// ParamIfVersion is the query parameter of PUT and DELETE: the version the
// object must have now; 0 means that it must not exist.
const ParamIfVersion = "if_version"

// Object is a stored value. Versions come from one counter of the whole store,
// so a later write of any key has a higher version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ObjectList is the answer to a list or a watch. Version is the store's
// version at which it was taken: the next watch continues from there.
type ObjectList struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
	// Compacted reports that the watch started from a version whose history has
	// been compacted; the caller must list again.
	Compacted bool `json:"compacted,omitempty"`
}

// Instance states.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is an entry of the platform's instance list: one machine of one
// service, be it lynxhill's own or a target.
type Instance struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Kind     string `json:"kind"` // lynxhill, generate, encode, retrieve, rerank or service
	Address  string `json:"address"`
	Peer     string `json:"peer,omitempty"` // lynxhill only: address of the peer listener
	Zone     string `json:"place"`
	Region   string `json:"region"`
	Provider string `json:"provider,omitempty"`
	State    string `json:"state"`
	// ChecksFence reports that the engine refuses orders with an old fencing
	// number.
	ChecksFence bool `json:"checks_fence"`
	// Capacity is an instance's processor time in cores; 0 = unknown. lynxhill
	// only.
	Capacity float64 `json:"capacity,omitempty"`
}

// InstanceList is the answer of PathInstances.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// Error codes.
const (
	CodeConflict    = "conflict"
	CodeNotFound    = "not_found"
	CodeThrottled   = "throttled"
	CodeUnavailable = "unavailable"
	CodeTooLarge    = "too_large"
)

// Error is the body of every response whose status is not 2xx. For a conflict,
// Current is the current object.
type Error struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Current *Object `json:"current,omitempty"`
}
