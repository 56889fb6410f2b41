// Package gateway takes callers' HTTP requests, finds their route in the
// configuration in force and sees each call through: it chooses an instance,
// hands the call to the daemon beside it, and tries again only when that is
// safe. Every answer of the system's own carries a numbered result and says
// whether the call was not run or may have run.
package gateway
