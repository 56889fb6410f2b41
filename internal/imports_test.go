// Package internal_test holds the rules about which part of the code may use which.
package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/lapisvane/lapisvane/"

// allowedImports lists for each plane the planes that its programs may use besides
// itself; docs/ARCHITECTURE.md draws them. The request path and the distribution do not
// use one another: they meet in what is in force, which is the model's.
var allowedImports = map[string][]string{
	"shared":       {},
	"model":        {"shared"},
	"transport":    {"shared", "model"},
	"requestpath":  {"shared", "model", "transport"},
	"distribution": {"shared", "model", "transport"},
	"operators":    {"shared", "model", "transport", "distribution"},
	"daemon":       {"shared", "model", "transport", "requestpath", "distribution", "operators"},
	"platform":     {"shared", "model", "transport", "requestpath", "distribution", "daemon"},
	"lab":          {"shared", "model", "transport", "requestpath", "distribution", "operators", "daemon", "platform"},
	"cmd":          {"daemon", "operators", "lab", "platform"},
}

// daemonPackagesOfPlatform are the only packages of the daemon that the adapter of a
// platform may use: what the daemon asks of it.
var daemonPackagesOfPlatform = []string{"internal/daemon/platformapi"}

// planeOf returns the plane of a package, which is given by its path below the module.
func planeOf(path string) string {
	parts := strings.Split(path, "/")
	if parts[0] == "internal" && len(parts) > 1 {
		return parts[1]
	}
	return parts[0]
}

// importsOf calls visit for each file that is not a test, with the packages of this module
// that it imports, given by their paths below the module.
func importsOf(t *testing.T, visit func(file string, paths []string)) {
	t.Helper()
	for _, root := range []string{".", "../cmd", "../platform"} {
		err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			var paths []string
			for _, imported := range parsed.Imports {
				path, err := strconv.Unquote(imported.Path.Value)
				if err != nil {
					return err
				}
				if below, ours := strings.CutPrefix(path, module); ours {
					paths = append(paths, below)
				}
			}
			visit(filepath.ToSlash(filepath.Join("internal", name)), paths)
			return nil
		})
		assert.NilError(t, err)
	}
}

func TestPlanesUseOnlyWhatTheyMay(t *testing.T) {
	seen := map[string]bool{}
	importsOf(t, func(file string, paths []string) {
		user := planeOf(file)
		seen[user] = true
		allowed, known := allowedImports[user]
		assert.Check(t, known, "%s is in no plane", file)
		for _, path := range paths {
			used := planeOf(path)
			if used == user || path == "api/lapisv1" {
				continue
			}
			assert.Check(t, slices.Contains(allowed, used), "%s uses %s", file, path)
			if user == "platform" && used == "daemon" {
				assert.Check(t, slices.Contains(daemonPackagesOfPlatform, path), "%s uses %s", file, path)
			}
		}
	})
	for plane := range allowedImports {
		assert.Check(t, seen[plane], "no file of plane %s was read", plane)
	}
}
