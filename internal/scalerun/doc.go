// Package scalerun drives scale runs, hollow daemons in several processes beside
// real ones, and reports their slopes.
package scalerun
