// Package lab is the emulator and experiment tool: stand-ins for the platform,
// back ends and callers, and the experiments and benches over them.
package lab
