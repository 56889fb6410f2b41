// Package testsite starts a small site for tests: stand-ins for the
// object API and back ends, real daemons, and operators.
package testsite
