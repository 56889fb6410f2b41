// Package simulation plays the distribution tree of a whole fleet under virtual
// time.
package simulation
