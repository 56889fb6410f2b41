// Package lab is the command line of lapislab: stand-ins for the platform, back ends
// and callers, days on the emulated platform, and tools that read the logs of daemons.
// It owns no state; each stand-in has a package of its own.
package lab
