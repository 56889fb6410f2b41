// Package internal_test checks the import rules between the parts of the code, and that the pages
// match the code.
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

// allowedImports lists for each plane the other planes that its packages may import;
// docs/ARCHITECTURE.md shows the diagram. The request path and the distribution must not import
// each other: they share data only through the configuration in force, which is in the model.
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

// daemonPackagesOfPlatform are the only packages of the daemon that a platform adapter may
// import: the interface that the adapter implements.
var daemonPackagesOfPlatform = []string{"internal/daemon/platformapi"}

// planeOf returns the plane of a package, given by its path below the module.
func planeOf(path string) string {
	parts := strings.Split(path, "/")
	if parts[0] == "internal" && len(parts) > 1 {
		return parts[1]
	}
	return parts[0]
}

// importsOf calls visit for each Go file that is not a test, with the packages of this module
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
		assert.Check(t, known, "%s does not belong to a plane of allowedImports", file)
		for _, path := range paths {
			used := planeOf(path)
			if used == user || path == "api/lapisv1" {
				continue
			}
			assert.Check(t, slices.Contains(allowed, used), "%s imports %s", file, path)
			if user == "platform" && used == "daemon" {
				assert.Check(t, slices.Contains(daemonPackagesOfPlatform, path), "%s imports %s", file, path)
			}
		}
	})
	for plane := range allowedImports {
		assert.Check(t, seen[plane], "no file of plane %s was read", plane)
	}
}
