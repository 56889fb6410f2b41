// Package endpoint keeps a daemon's registry of backend instances. The daemon on an instance's
// machine is its owner; the owner's statements are ordered by its incarnation and sequence number.
// Other daemons may only mark an instance as suspect or draining, which the owner can refute with a
// newer statement.
//
// The package keeps one daemon's registry in memory. It has no goroutines, connections or files.
// Package tree calls it under the node's lock and forwards the changes.
//
// Invariants: merging is commutative and idempotent, so that statements may arrive late, repeatedly
// or out of order; a stored endpoint is replaced and never modified in place; every change has its
// own number, by which a link determines what its peer lacks.
package endpoint

import (
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Key identifies an instance.
type Key struct {
	Service  string
	Instance string
}

// KeyOf returns the key of an endpoint.
func KeyOf(endpoint *lapisv1.Endpoint) Key {
	return Key{Service: endpoint.GetService(), Instance: endpoint.GetInstance()}
}

// Entry is an endpoint with the origin and the time of its last statement.
type Entry struct {
	Endpoint *lapisv1.Endpoint
	// Change is the registry's change number at the entry's last change.
	Change uint64
	// Via is the child through which the entry came. It is empty if the entry came from the parent
	// or another reader.
	Via string
	// ChangedAt is the local time of the last change.
	ChangedAt time.Time
}

// viaLocalChange is the Via of an entry whose state this daemon changed itself. The change is sent
// to the parent like a statement from this daemon's subtree. No node has this name.
const viaLocalChange = "."

// Registry holds endpoints. It is not safe for concurrent use. Endpoints are replaced, never
// modified in place, so that readers may keep them.
type Registry struct {
	change  uint64
	entries map[Key]Entry
	// lastServiceChange is the number of the last change by service.
	lastServiceChange map[string]uint64
	byService         map[string]map[string]struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries:           map[Key]Entry{},
		lastServiceChange: map[string]uint64{},
		byService:         map[string]map[string]struct{}{},
	}
}

// Change returns the number of the last change.
func (r *Registry) Change() uint64 { return r.change }

// ServiceChange returns the number of the last change in a service.
func (r *Registry) ServiceChange(service string) uint64 { return r.lastServiceChange[service] }

// Newer reports whether statement a supersedes statement b about the same instance. It compares the
// incarnation first, then the sequence number, then the state. States are ordered as in the
// enumeration: draining, suspect and gone, in this order, supersede the owner's statement with the
// same sequence number.
func Newer(a, b *lapisv1.Endpoint) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetState() > b.GetState()
}

// Merge applies a statement received through child via ("" if it came from elsewhere) and reports
// whether it superseded the current one. An equal statement that came through another child updates
// Via, because the loss of that child now affects the entry.
func (r *Registry) Merge(endpoint *lapisv1.Endpoint, via string, now time.Time) bool {
	key := KeyOf(endpoint)
	current, known := r.entries[key]
	if known && !Newer(endpoint, current.Endpoint) {
		if via != "" && current.Via != via && !Newer(current.Endpoint, endpoint) {
			current.Via = via
			r.put(key, current)
		}
		return false
	}
	r.put(key, Entry{Endpoint: endpoint, Via: via, ChangedAt: now})
	return true
}

// put stores an entry with the next change number.
func (r *Registry) put(key Key, entry Entry) {
	r.change++
	entry.Change = r.change
	r.entries[key] = entry
	r.lastServiceChange[key.Service] = r.change
	instances, ok := r.byService[key.Service]
	if !ok {
		instances = map[string]struct{}{}
		r.byService[key.Service] = instances
	}
	instances[key.Instance] = struct{}{}
}

// remove deletes an entry, which counts as a change of its service.
func (r *Registry) remove(key Key) {
	delete(r.entries, key)
	delete(r.byService[key.Service], key.Instance)
	if len(r.byService[key.Service]) == 0 {
		delete(r.byService, key.Service)
	}
	r.change++
	r.lastServiceChange[key.Service] = r.change
}

// Service returns the endpoints of a service, ordered by instance.
func (r *Registry) Service(service string) []*lapisv1.Endpoint {
	instances := slices.Sorted(maps.Keys(r.byService[service]))
	endpoints := make([]*lapisv1.Endpoint, 0, len(instances))
	for _, instance := range instances {
		endpoints = append(endpoints, r.entries[Key{service, instance}].Endpoint)
	}
	return endpoints
}

// Services returns the services with at least one endpoint, in order.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.byService)) }

// ServicesSince returns the services that changed after change, in order.
func (r *Registry) ServicesSince(change uint64) []string {
	var services []string
	for service, changed := range r.lastServiceChange {
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
	if r.lastServiceChange[service] <= change {
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

// SubtreeSince returns the endpoints of this daemon's subtree that changed after change: those that
// came through children, were changed by this daemon, or belong to self.
func (r *Registry) SubtreeSince(self string, change uint64) []*lapisv1.Endpoint {
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

// SetComplete removes the endpoints of service that are neither in endpoints, the parent's complete
// set, nor from this daemon's subtree.
func (r *Registry) SetComplete(service, self string, endpoints []*lapisv1.Endpoint) {
	listed := map[string]bool{}
	for _, endpoint := range endpoints {
		if endpoint.GetService() == service {
			listed[endpoint.GetInstance()] = true
		}
	}
	for instance := range maps.Clone(r.byService[service]) {
		entry := r.entries[Key{service, instance}]
		fromBelow := entry.Via != "" || entry.Endpoint.GetNode() == self
		if !listed[instance] && !fromBelow {
			r.remove(Key{service, instance})
		}
	}
}

// ChildLost returns the keys of the entries that came through child, and clears their Via.
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

// Suspect marks an entry as suspect and reports whether it did. It does nothing if the entry came
// through a child again, if a statement newer than the given incarnation and sequence number
// arrived, or if the entry is already suspect or gone.
func (r *Registry) Suspect(key Key, incarnation, sequence uint64, now time.Time) bool {
	entry, ok := r.entries[key]
	if !ok || entry.Via != "" || entry.Endpoint.GetIncarnation() != incarnation || entry.Endpoint.GetSequence() != sequence {
		return false
	}
	if isDown(entry.Endpoint) {
		return false
	}
	r.put(key, Entry{Endpoint: withState(entry.Endpoint, lapisv1.Endpoint_STATE_SUSPECT), Via: viaLocalChange, ChangedAt: now})
	return true
}

// Drain marks a ready endpoint as draining because of the machine list, and reports whether it did.
// It does nothing if the statement is no longer the current one.
func (r *Registry) Drain(statement *lapisv1.Endpoint, now time.Time) bool {
	key := KeyOf(statement)
	entry, ok := r.entries[key]
	if !ok || entry.Endpoint != statement {
		return false
	}
	r.put(key, Entry{Endpoint: withState(statement, lapisv1.Endpoint_STATE_DRAINING), Via: viaLocalChange, ChangedAt: now})
	return true
}

// Get returns the endpoint of key. ok is false if it is unknown.
func (r *Registry) Get(key Key) (endpoint *lapisv1.Endpoint, ok bool) {
	entry, ok := r.entries[key]
	return entry.Endpoint, ok
}

// Expire removes entries that have been suspect or gone since before deadline, and returns their
// number. Until then, a late statement about such an instance is recognized as outdated.
func (r *Registry) Expire(deadline time.Time) int {
	removed := 0
	for key, entry := range r.entries {
		if isDown(entry.Endpoint) && entry.ChangedAt.Before(deadline) {
			r.remove(key)
			removed++
		}
	}
	return removed
}

func withState(endpoint *lapisv1.Endpoint, state lapisv1.Endpoint_State) *lapisv1.Endpoint {
	return &lapisv1.Endpoint{
		Service: endpoint.GetService(), Instance: endpoint.GetInstance(),
		Node: endpoint.GetNode(), Address: endpoint.GetAddress(), Zone: endpoint.GetZone(), Region: endpoint.GetRegion(),
		Incarnation: endpoint.GetIncarnation(), Sequence: endpoint.GetSequence(),
		State: state, StartedUnixMillis: endpoint.GetStartedUnixMillis(),
	}
}

// ShouldRefute reports whether a received statement about an instance on this machine is wrong, so
// that this daemon must announce its own instances again. node and incarnation are this daemon's;
// local holds its instances with the states that it announces. The rules are:
//
//  1. A statement about an instance of another daemon is never refuted.
//  2. A statement of a newer process on this machine is not refuted, because this process is the
//     one that ends.
//  3. A statement that a running instance is suspect or gone is refuted. A drain is not, because it
//     may come from a reader that knows that the machine is leaving.
func ShouldRefute(statement *lapisv1.Endpoint, node string, incarnation uint64, local []*lapisv1.Endpoint) bool {
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
