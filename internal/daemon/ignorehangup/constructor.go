//go:build cgo

package ignorehangup

import "C" // Compiles constructor.c.
