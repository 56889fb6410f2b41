package changelog

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys in the object API.
const (
	// HeadKey is the accept register.
	HeadKey = "log/head"
	// HeadPrefix is the prefix to watch for accepted revisions.
	HeadPrefix = "log/"

	revisionPrefix = "revisions/"
	snapshotPrefix = "snapshots/"
	proposalPrefix = "proposals/"
)

func revisionKey(number uint64) string { return fmt.Sprintf("%s%020d", revisionPrefix, number) }

func snapshotKey(number uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, number) }

func proposalKey(operation string) string { return proposalPrefix + operation }

// parseNumber returns the number at the end of a revision or snapshot key.
func parseNumber(key string) (uint64, bool) {
	index := strings.LastIndexByte(key, '/')
	number, err := strconv.ParseUint(key[index+1:], 10, 64)
	return number, err == nil
}
