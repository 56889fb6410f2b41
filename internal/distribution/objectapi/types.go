package objectapi

import "context"

// Versions with a special meaning for Put.
const (
	// VersionAbsent requires that the object does not exist.
	VersionAbsent int64 = 0
	// VersionAny writes regardless of the current version.
	VersionAny int64 = -1
)

// Object is one stored object.
type Object struct {
	Key string `json:"key"`
	// Version is the store-wide version of the last write of Value.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	// Status is written separately from Value; a write of it does not change Version.
	Status []byte `json:"status,omitempty"`
}

// ListResult is a consistent list of objects.
type ListResult struct {
	Objects []Object `json:"objects"`
	// Version is the store-wide version at the time of the list.
	Version int64 `json:"version"`
	// More is true when the limit truncated the list.
	More bool `json:"more"`
}

// EventType is the kind of a watch event.
type EventType string

// Types of watch events.
const (
	EventPut      EventType = "PUT"
	EventDelete   EventType = "DELETE"
	EventBookmark EventType = "BOOKMARK"
)

// Event is one watch event. A bookmark contains only the version up to which all events were sent.
type Event struct {
	Type    EventType `json:"type"`
	Object  Object    `json:"object"`
	Version int64     `json:"version"`
}

// MachineState is the state of a machine in the machine list.
type MachineState string

// States in the machine list.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list.
type Machine struct {
	Node    string       `json:"node"`
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Region  string       `json:"region"`
	State   MachineState `json:"state"`
}

// Store is the interface of the object API. It is safe for concurrent use. Errors have the codes
// PlatformUnavailable, PlatformConflict, PlatformNotFound, PlatformCompacted, PlatformTooManyWatch
// and PlatformBadAnswer; see the package documentation for failed writes.
type Store interface {
	// Get returns an object. Errors: PlatformNotFound and those above.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the current version of the object is expected, and returns the new
	// version.
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	// PutStatus writes the status part if the current version of the object is expected, so that a
	// former lease holder cannot write.
	PutStatus(ctx context.Context, key string, status []byte, expected int64) error
	// Delete removes an object if its current version is expected. Errors: PlatformNotFound and
	// those above.
	Delete(ctx context.Context, key string, expected int64) error
	// List returns the objects whose key has prefix and is not below start, sorted by key; limit 0
	// means no limit.
	List(ctx context.Context, prefix, start string, limit int) (ListResult, error)
	// Watch streams the events after version for keys with one of prefixes, until ctx ends or Close
	// is called. Errors: PlatformCompacted when events after version are no longer stored,
	// PlatformTooManyWatch, and those above.
	Watch(ctx context.Context, prefixes []string, version int64) (Watch, error)
	// Machines returns the machine list; zone "" means all zones.
	Machines(ctx context.Context, zone string) ([]Machine, error)
}

// Watch is a stream of events. Next blocks until an event, an error, or the end of the context
// passed to Store.Watch. Only one goroutine may call Next; Close may be called from another.
type Watch interface {
	Next() (Event, error)
	Close()
}
