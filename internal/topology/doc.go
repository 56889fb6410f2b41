// Package topology puts delays and cuts between the zones and regions of an
// experiment that runs on one machine.
package topology
