// Package endpoint keeps what a daemon knows of back-end instances. Statements of the daemon
// beside an instance, its owner, are ordered by that daemon's incarnation and sequence
// number; another daemon may only suspect an instance or mark it as draining, which the
// owner refutes with a newer statement.
//
// It owns one daemon's registry, in memory; no goroutines, connections or files. It relies
// on package tree to call it under the node's lock and to pass on what changed.
//
// What must hold: merging is commutative and idempotent, so that statements may come late,
// twice or crossed; an entry is replaced and never changed in place; every change has a
// number of its own, from which a link computes what its peer lacks.
package endpoint

import (
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Key names one instance.
type Key struct {
	Service  string
	Instance string
}

// KeyOf returns the key of an endpoint.
func KeyOf(endpoint *lapisv1.Endpoint) Key {
	return Key{Service: endpoint.GetService(), Instance: endpoint.GetInstance()}
}

// Entry is one endpoint with what this daemon knows of its statement.
type Entry struct {
	Endpoint *lapisv1.Endpoint
	// Change is the registry's change number at the entry's last change.
	Change uint64
	// Via is the child through which the entry came; empty when it came from
	// above or from another reader.
	Via string
	// ChangedAt is the local time of the last change.
	ChangedAt time.Time
}

// viaObserver marks an entry whose state this daemon itself changed, so that the change
// is sent to the parent like a statement from the own subtree. No node has this name.
const viaObserver = "."

// Registry holds endpoints. It is not safe for concurrent use. Entries are
// replaced, never changed in place, so that readers may keep them.
type Registry struct {
	change  uint64
	entries map[Key]Entry
	// serviceChange gives the change number of each service's last change.
	serviceChange map[string]uint64
	byService     map[string]map[string]struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries:       map[Key]Entry{},
		serviceChange: map[string]uint64{},
		byService:     map[string]map[string]struct{}{},
	}
}

// Change returns the number of the last change.
func (r *Registry) Change() uint64 { return r.change }

// ServiceChange returns the number of the last change in a service.
func (r *Registry) ServiceChange(service string) uint64 { return r.serviceChange[service] }

// Newer reports whether statement a supersedes statement b about the same instance. It
// looks at the incarnation first, then the sequence number, then the state. States rank
// as in the enumeration, so that draining, suspect and gone, in this order, supersede the
// owner's statement of the same sequence.
func Newer(a, b *lapisv1.Endpoint) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetState() > b.GetState()
}

// Merge applies a statement that came through child via, "" for none, and reports whether
// it superseded what was known. An equal statement that came through another child updates
// Via, because that child is the one whose loss matters.
func (r *Registry) Merge(endpoint *lapisv1.Endpoint, via string, now time.Time) bool {
	key := KeyOf(endpoint)
	present, known := r.entries[key]
	if known && !Newer(endpoint, present.Endpoint) {
		if via != "" && present.Via != via && !Newer(present.Endpoint, endpoint) {
			present.Via = via
			r.put(key, present)
		}
		return false
	}
	r.put(key, Entry{Endpoint: endpoint, Via: via, ChangedAt: now})
	return true
}

func (r *Registry) put(key Key, entry Entry) {
	r.change++
	entry.Change = r.change
	r.entries[key] = entry
	r.serviceChange[key.Service] = r.change
	instances, ok := r.byService[key.Service]
	if !ok {
		instances = map[string]struct{}{}
		r.byService[key.Service] = instances
	}
	instances[key.Instance] = struct{}{}
}

func (r *Registry) drop(key Key) {
	delete(r.entries, key)
	delete(r.byService[key.Service], key.Instance)
	if len(r.byService[key.Service]) == 0 {
		delete(r.byService, key.Service)
	}
	r.change++
	r.serviceChange[key.Service] = r.change
}

// Service returns the endpoints of a service in order of instance.
func (r *Registry) Service(service string) []*lapisv1.Endpoint {
	instances := slices.Sorted(maps.Keys(r.byService[service]))
	endpoints := make([]*lapisv1.Endpoint, 0, len(instances))
	for _, instance := range instances {
		endpoints = append(endpoints, r.entries[Key{service, instance}].Endpoint)
	}
	return endpoints
}

// Services returns the services with any endpoint, in order.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.byService)) }

// ServicesSince returns the services that changed after change, in order.
func (r *Registry) ServicesSince(change uint64) []string {
	var services []string
	for service, changed := range r.serviceChange {
		if changed > change {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Len returns the number of entries.
func (r *Registry) Len() int { return len(r.entries) }

// ServiceSince returns the endpoints of service that changed after change.
func (r *Registry) ServiceSince(service string, change uint64) []*lapisv1.Endpoint {
	if r.serviceChange[service] <= change {
		return nil
	}
	var endpoints []*lapisv1.Endpoint
	for instance := range r.byService[service] {
		if entry := r.entries[Key{service, instance}]; entry.Change > change {
			endpoints = append(endpoints, entry.Endpoint)
		}
	}
	return endpoints
}

// BelowSince returns the endpoints that came through children or belong to
// self and changed after change.
func (r *Registry) BelowSince(self string, change uint64) []*lapisv1.Endpoint {
	if r.change <= change {
		return nil
	}
	var endpoints []*lapisv1.Endpoint
	for _, entry := range r.entries {
		if entry.Change > change && (entry.Via != "" || entry.Endpoint.GetNode() == self) {
			endpoints = append(endpoints, entry.Endpoint)
		}
	}
	return endpoints
}

// SetComplete makes endpoints the complete set of service as the parent knows it: entries
// that are neither in it nor come from the own subtree are dropped.
func (r *Registry) SetComplete(service, self string, endpoints []*lapisv1.Endpoint) {
	named := map[string]bool{}
	for _, endpoint := range endpoints {
		if endpoint.GetService() == service {
			named[endpoint.GetInstance()] = true
		}
	}
	for instance := range maps.Clone(r.byService[service]) {
		entry := r.entries[Key{service, instance}]
		fromBelow := entry.Via != "" || entry.Endpoint.GetNode() == self
		if !named[instance] && !fromBelow {
			r.drop(Key{service, instance})
		}
	}
}

// ChildLost returns the keys of the entries that came through child and marks them as no
// longer coming from the own subtree.
func (r *Registry) ChildLost(child string) []Key {
	var lost []Key
	for key, entry := range r.entries {
		if entry.Via == child {
			entry.Via = ""
			r.entries[key] = entry
			lost = append(lost, key)
		}
	}
	return lost
}

// Suspect marks the entry as suspect and reports whether it did. It does not when the
// entry came through a child again, when a newer statement than that of incarnation and
// sequence arrived, or when it is suspect or gone already.
func (r *Registry) Suspect(key Key, incarnation, sequence uint64, now time.Time) bool {
	entry, ok := r.entries[key]
	if !ok || entry.Via != "" || entry.Endpoint.GetIncarnation() != incarnation || entry.Endpoint.GetSequence() != sequence {
		return false
	}
	if isDown(entry.Endpoint) {
		return false
	}
	r.put(key, Entry{Endpoint: withState(entry.Endpoint, lapisv1.Endpoint_STATE_SUSPECT), Via: viaObserver, ChangedAt: now})
	return true
}

// Drain marks a ready endpoint as draining on behalf of the machine list,
// unless a newer statement came since. It reports whether it did.
func (r *Registry) Drain(statement *lapisv1.Endpoint, now time.Time) bool {
	key := KeyOf(statement)
	entry, ok := r.entries[key]
	if !ok || entry.Endpoint != statement {
		return false
	}
	r.put(key, Entry{Endpoint: withState(statement, lapisv1.Endpoint_STATE_DRAINING), Via: viaObserver, ChangedAt: now})
	return true
}

// Get returns the endpoint of key; ok is false when it is not known.
func (r *Registry) Get(key Key) (endpoint *lapisv1.Endpoint, ok bool) {
	entry, ok := r.entries[key]
	return entry.Endpoint, ok
}

// Expire drops entries that have been suspect or gone since before deadline and reports
// how many. Until then a late statement about them is recognised as old.
func (r *Registry) Expire(deadline time.Time) int {
	count := 0
	for key, entry := range r.entries {
		if isDown(entry.Endpoint) && entry.ChangedAt.Before(deadline) {
			r.drop(key)
			count++
		}
	}
	return count
}

func withState(endpoint *lapisv1.Endpoint, state lapisv1.Endpoint_State) *lapisv1.Endpoint {
	return &lapisv1.Endpoint{
		Service: endpoint.GetService(), Instance: endpoint.GetInstance(),
		Node: endpoint.GetNode(), Address: endpoint.GetAddress(), Zone: endpoint.GetZone(), Region: endpoint.GetRegion(),
		Incarnation: endpoint.GetIncarnation(), Sequence: endpoint.GetSequence(),
		State: state, StartedUnixMillis: endpoint.GetStartedUnixMillis(),
	}
}

// MustRefute reports whether a received statement is wrong about an instance beside this
// daemon, which must then announce its own instances again. node and incarnation are this
// daemon's, local the instances beside it with the states that it announces. In this order:
//
//  1. A statement about an instance of another daemon is not this daemon's to refute.
//  2. One of a newer process on this machine holds: this process is the one that ends.
//  3. One that says suspect or gone of an instance that is there is refuted. A drain is
//     not: it may come from a reader that knows that the machine is leaving.
func MustRefute(statement *lapisv1.Endpoint, node string, incarnation uint64, local []*lapisv1.Endpoint) bool {
	if statement.GetNode() != node || statement.GetIncarnation() > incarnation {
		return false
	}
	for _, own := range local {
		if KeyOf(own) == KeyOf(statement) {
			return isDown(statement) && !isDown(own)
		}
	}
	return false
}

// isDown reports whether an endpoint is suspect or gone.
func isDown(endpoint *lapisv1.Endpoint) bool {
	return endpoint.GetState() >= lapisv1.Endpoint_STATE_SUSPECT
}
