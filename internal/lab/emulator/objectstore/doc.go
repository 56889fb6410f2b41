// Package objectstore is a stand-in for the platform's metadata store: kinds of
// objects with revisions, status and finalizers, conditional writes, lists in
// pages, watches with a bounded history, rates, and faults that are switched on
// at run time.
package objectstore
