// Package requestbench measures the request path: latency, shares, drains and
// overload, against calls made directly.
package requestbench
