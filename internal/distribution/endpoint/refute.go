package endpoint

import "github.com/lapisvane/lapisvane/api/lapisv1"

// MustRefute reports whether a received statement is wrong about an instance beside this
// daemon, which must then announce its own instances again. node and incarnation are this
// daemon's, local the instances beside it with the states that it announces. In this order:
//
//  1. A statement about an instance of another daemon is not this daemon's to refute.
//  2. One of a newer process on this machine stands: this process is the one that ends.
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
