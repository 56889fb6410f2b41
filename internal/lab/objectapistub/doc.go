// Package objectapistub is a stand-in for the platform: an object API with
// versions, compare-and-swap, watches and compaction, and a lagging machine
// list, served over HTTP/JSON. Faults can be switched on while it runs. It
// deliberately shares no HTTP code with the product's servers.
package objectapistub
