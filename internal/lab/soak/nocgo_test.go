//go:build !cgo

package soak_test

// cgoEnabled reports whether the tests and lapisvaned are built with cgo.
const cgoEnabled = false
