// Package lab is the command line of the stand-ins and experiments; each of them
// has a package of its own.
package lab
