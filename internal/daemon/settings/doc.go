// Package settings reads the settings files of the programs. Files are strict:
// an unknown key, a bad address, a missing value or a number out of range is
// refused at start with a numbered error that names the key.
package settings
