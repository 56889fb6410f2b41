// Package operator serves the operators' interface of a daemon: it
// authenticates operators by token, checks that they touch only objects of
// their own group, and reads and extends the log of accepted configurations.
// Any daemon can serve it, because all it needs is in the platform.
package operator
